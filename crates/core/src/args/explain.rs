//! `explain`: the lines of one request, from the logs of all processes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use serde_json::Value;

use super::{output, Error, Result};

#[derive(clap::Args, Debug)]
pub(super) struct Args {
    /// The request's id, as callers know it
    id: String,
    /// Logs of entries, agents and control instances, written as JSON
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// A line that is about the request.
struct Line {
    time: String,
    text: String,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let mut lines = Vec::new();
        for path in &self.files {
            let file = |source| Error::File {
                path: path.display().to_string(),
                source,
            };
            for line in BufReader::new(File::open(path).map_err(file)?).lines() {
                lines.extend(read(&line.map_err(file)?, &self.id));
            }
        }
        if lines.is_empty() {
            let id = &self.id;
            return Err(Error::Check(format!("no line is about request {id:?}")));
        }
        lines.sort_by(|a, b| a.time.cmp(&b.time));
        lines
            .iter()
            .try_for_each(|line| output::print_line(&line.text))
    }
}

/// The line, if it is one about the request. What stands before its object,
/// such as the name of the process, is kept.
fn read(line: &str, id: &str) -> Option<Line> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let named = |field: &str| value[field] == id;
    let told = named("request") || named("request_id");
    let time = value["timestamp"].as_str().unwrap_or_default().to_owned();
    told.then(|| Line {
        time,
        text: line.trim().to_owned(),
    })
}

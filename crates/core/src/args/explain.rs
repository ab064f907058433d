//! `explain`: collects the log lines of one request from the logs of all processes.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;

use serde_json::Value;

use super::{output, Error, Result};

#[derive(clap::Args, Debug)]
pub(super) struct Args {
    /// Id of the request, as known to its caller
    id: String,
    /// JSON logs of entries, agents and control instances
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// A log line that names the request.
struct LogLine {
    timestamp: String,
    text: String,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let mut lines = Vec::new();
        for path in &self.files {
            let file_error = |source| Error::File {
                path: path.display().to_string(),
                source,
            };
            for line in BufReader::new(File::open(path).map_err(file_error)?).lines() {
                lines.extend(parse_line(&line.map_err(file_error)?, &self.id));
            }
        }
        if lines.is_empty() {
            let id = &self.id;
            return Err(Error::Check(format!("no line is about request {id:?}")));
        }
        lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
        lines
            .iter()
            .try_for_each(|line| output::print_line(&line.text))
    }
}

/// Parses a line and returns it if it names the request `id`. Text before the
/// JSON object, such as a process name, is kept.
fn parse_line(line: &str, id: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let value: Value = serde_json::from_str(&line[start..]).ok()?;
    let is_id = |field: &str| value[field] == id;
    let about_request = is_id("request") || is_id("request_id");
    let timestamp = value["timestamp"].as_str().unwrap_or_default().to_owned();
    about_request.then(|| LogLine {
        timestamp,
        text: line.trim().to_owned(),
    })
}

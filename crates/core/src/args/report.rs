//! `report`: error budget burn of services and teams, over all entries.

use std::path::PathBuf;

use http::Method;
use strum::{Display, EnumString, VariantNames};

use super::{operator, output, Error, Result};
use crate::client::BaseUrl;
use crate::report::{Report, Snapshot};

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Examples:
  gentiancove report --entries http://127.0.0.1:8080
  gentiancove report --entries http://10.0.0.1:8080,http://10.0.0.2:8080 --format html \\
      --output burn.html

Each entry counts its own answers and loses its counts when it restarts. With --check the
exit code is 5 while an alert fires.")]
pub(super) struct Args {
    /// Base URLs of all entries
    #[arg(long, value_name = "URL,...", value_delimiter = ',', required = true)]
    entries: Vec<BaseUrl>,
    /// Format of the report: text, json or html
    #[arg(long, default_value_t)]
    format: Format,
    /// File to write to instead of standard output
    #[arg(long, value_name = "FILE")]
    output: Option<PathBuf>,
    /// Exits with 5 if an alert fires
    #[arg(long)]
    check: bool,
}

#[derive(Clone, Copy, Debug, Default, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
enum Format {
    #[default]
    Text,
    Json,
    Html,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let snapshots: Vec<_> = self
            .entries
            .iter()
            .map(fetch_snapshot)
            .collect::<Result<_>>()?;
        let report = Report::new(&snapshots);
        let text = match self.format {
            Format::Text => report.to_text(),
            Format::Json => report.to_json() + "\n",
            Format::Html => report.to_html(),
        };
        match &self.output {
            Some(path) => output::write_file(path, &text)?,
            None => output::print(&text)?,
        }
        match report.alerts().count() {
            firing if self.check && firing > 0 => {
                Err(Error::Check(format!("{firing} alerts fire")))
            }
            _ => Ok(()),
        }
    }
}

fn fetch_snapshot(entry: &BaseUrl) -> Result<Snapshot> {
    let answer = operator::call(entry, &Method::GET, "/v1/slo", None)?;
    answer.parse()
}

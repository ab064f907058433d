//! `run`: the roles that a settings file names.

use std::path::PathBuf;

use super::Result;
use crate::run;
use crate::settings::Settings;

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Example:
  gentiancove run --settings entry.json

Prints for each role a line with the addresses that it listens on. SIGTERM or SIGINT stops it once the requests in progress have been answered.")]
pub(super) struct Args {
    /// The JSON settings file
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let settings = Settings::read(&self.settings)?;
        Ok(run::run(&settings)?)
    }
}

//! `run`: the roles of one process.

use std::path::PathBuf;

use super::Result;
use crate::run;
use crate::settings::Settings;

#[derive(clap::Args, Debug)]
pub(super) struct Args {
    /// The JSON settings file
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let settings = Settings::read(&self.settings)?;
        Ok(run::run(&settings, &self.settings)?)
    }
}

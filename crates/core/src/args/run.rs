//! `run`: runs the roles that a settings file configures.

use std::path::PathBuf;

use super::Result;
use crate::run;
use crate::settings::Settings;

#[derive(clap::Args, Debug)]
pub(super) struct Args {
    /// Settings file in JSON
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let settings = Settings::read(&self.settings)?;
        Ok(run::run(&settings, &self.settings)?)
    }
}

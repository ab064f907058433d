//! `check-settings`: validates a settings file without starting any role.

use std::path::PathBuf;

use super::{output, Result};
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
        output::print_line(&settings.to_json())
    }
}

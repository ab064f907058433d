//! `check-settings`: checks a file without starting anything.

use std::path::PathBuf;

use super::{output, Result};
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
        output::print_line(&settings.to_json())
    }
}

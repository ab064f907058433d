//! The log: lines for changes of state only, each with the ids it is about.
//!
//! What happens per request is counted in the metrics instead. Lines of
//! libraries are left out, since theirs are about single connections.

use std::fs::OpenOptions;
use std::io;
use std::path::PathBuf;

use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};

use crate::settings::Log;

/// Prefix of the targets whose lines are written.
const TARGET: &str = "gentian";

/// A log that can't be written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The file can't be opened.
    #[error("cannot append to log.file {path:?}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        source: io::Error,
    },
    /// There is a log already.
    #[error(transparent)]
    Twice(#[from] log::SetLoggerError),
}

/// A result whose error is a log that can't be written.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Writes the log as the settings say from now on.
pub(crate) fn start(settings: &Log) -> Result<()> {
    match &settings.file {
        None => WriteLogger::init(settings.level, config(), io::stderr())?,
        Some(path) => {
            let file = OpenOptions::new().append(true).create(true).open(path);
            let file = file.map_err(|source| Error::File {
                path: path.clone(),
                source,
            })?;
            WriteLogger::init(settings.level, config(), file)?;
        }
    }
    Ok(())
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build()
}

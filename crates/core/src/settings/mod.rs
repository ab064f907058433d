//! Settings of one process, read from a JSON file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gentian::wire::id;
use gentian::wire::size::Bytes;
use serde::Deserialize;

/// A settings file that can't be used.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The file can't be read.
    #[error("can't read settings file {path:?}: {source}")]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file holds no settings.
    #[error("settings file {path:?}: {source}")]
    Parse {
        path: PathBuf,
        source: serde_json::Error,
    },
}

/// A result whose error is an unusable settings file.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The settings of one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Settings {
    pub(crate) name: id::Node,
    pub(crate) data_center: id::DataCenter,
    pub(crate) rack: id::Rack,
    pub(crate) region: id::Region,
    /// Peer addresses of the control instances.
    #[serde(default)]
    pub(crate) control: Vec<SocketAddr>,
    pub(crate) entry: Option<Entry>,
    pub(crate) agent: Option<Agent>,
    pub(crate) controller: Option<Controller>,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Entry {
    pub(crate) http: SocketAddr,
    #[serde(default = "default_body")]
    pub(crate) max_body: Bytes,
    #[serde(default = "default_connections")]
    pub(crate) max_connections: usize,
}

/// Settings of the agent role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Agent {
    pub(crate) http: SocketAddr,
    pub(crate) peer: SocketAddr,
}

/// Settings of the control role.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct Controller {
    pub(crate) http: SocketAddr,
    pub(crate) peer: SocketAddr,
}

impl Settings {
    /// Reads a settings file.
    pub(crate) fn read(path: &Path) -> Result<Settings> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_str(&text).map_err(|source| Error::Parse {
            path: path.to_owned(),
            source,
        })
    }
}

/// Longest time a request may take where its caller names none.
pub(crate) const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);

fn default_body() -> Bytes {
    Bytes(1 << 20)
}

fn default_connections() -> usize {
    4096
}

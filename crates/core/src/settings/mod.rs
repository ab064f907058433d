//! Settings of one process, read from a JSON file.
//!
//! Reading has two steps. [`raw`] deserializes the file with any JSON value in
//! any field, so that one pass can report every invalid field. [`validate`] then
//! converts it to [`Settings`], which hold only allowed values and have the
//! defaults filled in.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use gentian_wire::id;
use gentian_wire::size::Bytes;
use serde::{Serialize, Serializer};

mod error;
mod raw;
mod validate;

pub(crate) use error::{Error, FieldError, Result};

/// Protocol that a role speaks with callers, upstreams or operators. Entries,
/// agents and control instances always use the same protocol with each other.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Dialect {
    /// Gentiancove's own HTTP interface.
    #[default]
    Native,
    /// The published protocol of the platform.
    Platform,
}

/// The settings of one process.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Settings {
    /// Name of the process, unique in the system.
    pub(crate) name: id::Node,
    /// Data centre that it runs in.
    pub(crate) data_center: id::DataCenter,
    /// Rack that it runs in.
    pub(crate) rack: id::Rack,
    /// Region that holds the data centre.
    pub(crate) region: id::Region,
    /// Peer addresses of the control instances. May be empty only if this process
    /// is itself the only control instance.
    pub(crate) control: Vec<SocketAddr>,
    /// Settings of the entry role, if the process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) entry: Option<Entry>,
    /// Settings of the agent role, if the process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) agent: Option<Agent>,
    /// Settings of the control role, if the process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) controller: Option<Controller>,
    /// Settings of the log.
    pub(crate) log: Log,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    /// Listen address for callers.
    pub(crate) http: SocketAddr,
    /// Protocol of the callers.
    pub(crate) dialect: Dialect,
    /// Listen address of the readiness check, which only reports whether the entry
    /// accepts new connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) ready: Option<SocketAddr>,
    /// Maximum size of a request body.
    pub(crate) max_body: Bytes,
    /// Maximum number of connections open at once.
    pub(crate) max_connections: usize,
    /// Maximum time to receive the complete header of a request.
    #[serde(serialize_with = "write_duration")]
    pub(crate) header_timeout: Duration,
    /// Maximum time to receive the complete body of a request.
    #[serde(serialize_with = "write_duration")]
    pub(crate) body_timeout: Duration,
    /// Deadline of requests that do not set one.
    #[serde(serialize_with = "write_duration")]
    pub(crate) default_deadline: Duration,
    /// Maximum time that a job waits for the first configuration of an entry that has just
    /// started (platform dialect).
    #[serde(serialize_with = "write_duration")]
    pub(crate) config_wait: Duration,
    /// Maximum time to wait for requests in progress when the process stops.
    #[serde(serialize_with = "write_duration")]
    pub(crate) drain_timeout: Duration,
}

/// Settings of the agent role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Agent {
    /// Listen address for the local upstream.
    pub(crate) http: SocketAddr,
    /// Listen address for entries.
    pub(crate) peer: SocketAddr,
    /// Protocol of the upstream.
    pub(crate) dialect: Dialect,
    /// Maximum number of slots to use of an upstream, even if it announces more.
    pub(crate) max_slots: u32,
    /// Maximum number of connections to an upstream, even if it announces more.
    pub(crate) max_connections: u32,
    /// Maximum time to wait for tasks in progress when the process stops.
    #[serde(serialize_with = "write_duration")]
    pub(crate) drain_timeout: Duration,
}

/// Settings of the control role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Controller {
    /// Listen address for operators.
    pub(crate) http: SocketAddr,
    /// Listen address for entries, agents and other control instances.
    pub(crate) peer: SocketAddr,
    /// Protocol of the operators.
    pub(crate) dialect: Dialect,
    /// Directory that holds all state of this instance.
    pub(crate) data: PathBuf,
    /// Whether the instances listed in `control` form a new cluster if none of
    /// them has any state yet.
    pub(crate) found: bool,
    /// Number of simultaneous instance failures to tolerate; the cluster then
    /// manages its membership itself. If none, operators manage the membership.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) tolerates: Option<u64>,
    /// Data centres that may be drained, besides those that agents run in.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub(crate) data_centers: BTreeSet<id::DataCenter>,
}

/// Format of log lines.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LogFormat {
    /// Plain text, written to standard error unless a file is set.
    #[default]
    Text,
    /// One JSON object per line, written to standard output unless a file is set.
    Json,
}

/// Default of [`Log::sample`].
const DEFAULT_SAMPLE: u64 = 16;

/// Settings of the log.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Log {
    /// Lines less severe than this level are not written.
    #[serde(serialize_with = "write_level")]
    pub(crate) level: log::LevelFilter,
    /// Format of the lines.
    pub(crate) format: LogFormat,
    /// One in this many requests has its successful steps logged, too; failures
    /// are logged for every request.
    pub(crate) sample: u64,
    /// File to append to. If none, lines go to the standard stream of `format`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            level: log::LevelFilter::Info,
            format: LogFormat::default(),
            sample: DEFAULT_SAMPLE,
            file: None,
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    pub(crate) fn read(path: &Path) -> Result<Settings> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Parses and validates settings; error messages give `name` as their origin.
    pub(crate) fn parse(name: &str, text: &str) -> Result<Settings> {
        let raw: raw::Settings =
            serde_json::from_str(text).map_err(|source| Error::syntax(name, text, &source))?;
        validate::settings(raw).map_err(|errors| Error::Invalid {
            name: name.to_owned(),
            errors,
        })
    }

    /// The settings, defaults included, as JSON that parses to the same settings.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("settings have text keys only")
    }

    /// The addresses that the process listens on, each with its field.
    fn listen_addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let entry = self.entry.iter().flat_map(|e| {
            let ready = e.ready.map(|ready| ("entry.ready", ready));
            std::iter::once(("entry.http", e.http)).chain(ready)
        });
        let agent = self.agent.iter();
        let agent = agent.flat_map(|a| [("agent.http", a.http), ("agent.peer", a.peer)]);
        let controller = self.controller.iter();
        let controller =
            controller.flat_map(|c| [("controller.http", c.http), ("controller.peer", c.peer)]);
        entry.chain(agent).chain(controller).collect()
    }

    /// Listen addresses that an earlier field has already, each with the later
    /// field. Port 0 is exempt: the system picks a free port for each.
    fn duplicate_listen_addresses(&self) -> Vec<(&'static str, SocketAddr)> {
        let mut seen = BTreeSet::new();
        let mut addresses = self.listen_addresses();
        addresses.retain(|(_, address)| address.port() != 0 && !seen.insert(*address));
        addresses
    }
}

fn write_duration<S: Serializer>(
    duration: &Duration,
    serializer: S,
) -> std::result::Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*duration))
}

fn write_level<S: Serializer>(
    level: &log::LevelFilter,
    serializer: S,
) -> std::result::Result<S::Ok, S::Error> {
    serializer.serialize_str(&level.as_str().to_ascii_lowercase())
}

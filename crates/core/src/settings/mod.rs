//! Settings of one process, read from a JSON file.
//!
//! There are two layers. [`raw`] holds the file as it was raw, with any
//! value in any field, so that one reading finds every mistake. [`validate`] turns
//! it into [`Settings`], where each value is allowed and defaults are filled in.

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

/// Whom a role speaks to, beside the system's own processes.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Dialect {
    /// Whoever uses the product's own interface.
    #[default]
    Native,
    /// The platform, through its published protocol.
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
    /// Peer addresses of the control instances. Empty only where this process
    /// is the one control instance itself.
    pub(crate) control: Vec<SocketAddr>,
    /// The entry role, where this process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) entry: Option<Entry>,
    /// The agent role, where this process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) agent: Option<Agent>,
    /// The control role, where this process has it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) controller: Option<Controller>,
    /// Where log lines go.
    pub(crate) log: Log,
}

/// Settings of the entry role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    /// Address for callers.
    pub(crate) http: SocketAddr,
    /// What callers speak.
    pub(crate) dialect: Dialect,
    /// Address that only tells whether the entry wants new connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) ready: Option<SocketAddr>,
    /// Longest body that is read.
    pub(crate) max_body: Bytes,
    /// Connections that may be open at once.
    pub(crate) max_connections: usize,
    /// Longest time for a request's header to come whole.
    #[serde(serialize_with = "write_duration")]
    pub(crate) header_timeout: Duration,
    /// Longest time for a request's body to come whole.
    #[serde(serialize_with = "write_duration")]
    pub(crate) body_timeout: Duration,
    /// Deadline of a request that names none.
    #[serde(serialize_with = "write_duration")]
    pub(crate) default_deadline: Duration,
    /// Longest time for requests in progress to end when the process stops.
    #[serde(serialize_with = "write_duration")]
    pub(crate) drain_timeout: Duration,
}

/// Settings of the agent role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Agent {
    /// Address for the upstream beside the agent.
    pub(crate) http: SocketAddr,
    /// Address for entries.
    pub(crate) peer: SocketAddr,
    /// What the upstream speaks.
    pub(crate) dialect: Dialect,
    /// Slots of an upstream that are used at most, whatever it announces.
    pub(crate) max_slots: u32,
    /// Connections to an upstream that are opened at most, whatever it announces.
    pub(crate) max_connections: u32,
    /// Longest time for tasks in progress to end when the process stops.
    #[serde(serialize_with = "write_duration")]
    pub(crate) drain_timeout: Duration,
}

/// Settings of the control role.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Controller {
    /// Address for operators.
    pub(crate) http: SocketAddr,
    /// Address for entries, agents and other control instances.
    pub(crate) peer: SocketAddr,
    /// What operators speak.
    pub(crate) dialect: Dialect,
    /// Folder that holds all state of this instance.
    pub(crate) data: PathBuf,
    /// Whether the instances of `control` form a new system, where none has
    /// any state yet.
    pub(crate) found: bool,
    /// Lost instances that the system is to bear at once, for which it keeps
    /// its members by itself; operators keep them where this is absent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) tolerates: Option<u64>,
}

/// How log lines are written.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, strum::Display, strum::EnumString,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum LogFormat {
    /// As text, to standard error unless a file is named.
    #[default]
    Text,
    /// As one JSON object a line, to standard output unless a file is named.
    Json,
}

/// One request in so many has lines for what went well with it.
const SAMPLE: u64 = 16;

/// Settings of the log.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Log {
    /// Least severe level that is written.
    #[serde(serialize_with = "write_level")]
    pub(crate) level: log::LevelFilter,
    /// How lines are written.
    pub(crate) format: LogFormat,
    /// One request in so many has lines for what went well with it.
    pub(crate) sample: u64,
    /// File to append to; standard error where there is none.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) file: Option<PathBuf>,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            level: log::LevelFilter::Info,
            format: LogFormat::default(),
            sample: SAMPLE,
            file: None,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
    pub(crate) fn read(path: &Path) -> Result<Settings> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        Settings::parse(&path.display().to_string(), &text)
    }

    /// Reads and checks settings; `name` tells in errors where they came from.
    pub(crate) fn parse(name: &str, text: &str) -> Result<Settings> {
        let raw: raw::Settings =
            serde_json::from_str(text).map_err(|source| Error::syntax(name, text, &source))?;
        validate::settings(raw).map_err(|mistakes| Error::Invalid {
            name: name.to_owned(),
            mistakes,
        })
    }

    /// The settings in force as a JSON file that gives the same settings again.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("settings have text keys only")
    }

    /// The addresses that the process listens on.
    fn listeners(&self) -> Vec<(&'static str, SocketAddr)> {
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

    /// Each address that is listened on twice, with the field that repeats it.
    fn repeated_listeners(&self) -> Vec<(&'static str, SocketAddr)> {
        let mut seen = BTreeSet::new();
        let mut listeners = self.listeners();
        listeners.retain(|(_, address)| address.port() != 0 && !seen.insert(*address));
        listeners
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

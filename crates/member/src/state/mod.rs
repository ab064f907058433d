//! What the control instances replicate: the configuration and the views.
//!
//! One log carries both, so a lease that names a version and a view names one
//! point of the log.

use gentian_config::ledger::{self, Answer, Ledger, Proposal};
use gentian_wire::id::View;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::view::{self, Event, Window, WindowSnapshot};

/// A result whose error is a log or snapshot that this release can't read.
pub type Result<T> = std::result::Result<T, Error>;

/// A log or snapshot that this release can't read.
///
/// Replicas that skip what they can't read would part ways, so a process that
/// meets one of these has to stop.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A command in the log is unreadable.
    #[error("log entry {index} is unreadable: {source}")]
    Command {
        /// Its place in the log.
        index: u64,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// A command or a reply can't be written.
    #[error("a command or reply can't be written: {0}")]
    Json(serde_json::Error),
    /// A snapshot is unreadable.
    #[error("snapshot is unreadable: {0}")]
    Snapshot(serde_json::Error),
    /// The configuration in a snapshot is broken.
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
    /// The views in a snapshot are broken.
    #[error("snapshot has broken views: {0}")]
    Window(#[from] view::Error),
}

/// An entry of the log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Changes the configuration.
    Patch(Proposal),
    /// Changes the view.
    View(Event),
}

/// What an entry of the log led to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// What became of the patch.
    Patch(Answer),
    /// The view in force after the event.
    View(View),
}

/// The replicated state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct State {
    ledger: Ledger,
    window: Window,
}

#[derive(Deserialize, Serialize)]
struct Snapshot {
    ledger: Box<RawValue>,
    window: WindowSnapshot,
}

impl Command {
    /// The command as an entry of the log.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(Error::Json)
    }
}

impl Reply {
    /// Reads what [`State::apply`] returned.
    pub fn decode(bytes: &[u8]) -> Result<Reply> {
        serde_json::from_slice(bytes).map_err(Error::Json)
    }
}

impl State {
    /// The configuration.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The views.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Applies an entry of the log and returns the reply, encoded.
    pub fn apply(&mut self, index: u64, payload: &[u8]) -> Result<Vec<u8>> {
        let command =
            serde_json::from_slice(payload).map_err(|source| Error::Command { index, source })?;
        let reply = self.execute(command);
        serde_json::to_vec(&reply).map_err(Error::Json)
    }

    /// Applies a command.
    pub fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Patch(proposal) => Reply::Patch(self.ledger.apply(proposal)),
            Command::View(event) => {
                self.window.apply(event);
                Reply::View(self.window.number())
            }
        }
    }

    /// The state as bytes; equal states give equal bytes.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let ledger = String::from_utf8_lossy(&self.ledger.snapshot()?).into_owned();
        let snapshot = Snapshot {
            ledger: RawValue::from_string(ledger).map_err(Error::Snapshot)?,
            window: self.window.snapshot(),
        };
        serde_json::to_vec(&snapshot).map_err(Error::Json)
    }

    /// Rebuilds the state from [`State::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<State> {
        let snapshot: Snapshot = serde_json::from_slice(bytes).map_err(Error::Snapshot)?;
        Ok(State {
            ledger: Ledger::restore(snapshot.ledger.get().as_bytes())?,
            window: Window::try_from(snapshot.window)?,
        })
    }
}

//! The state that the control instances replicate: configuration and views.
//!
//! Both change through entries of the same log, so a lease that names a
//! configuration version and a view refers to a single position in the log.

use gentian_config::ledger::{self, Answer, Ledger, Proposal, Sealed};
use gentian_wire::id::View;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::view::{self, Event, Window, WindowSnapshot};

/// The result of reading or writing log entries and snapshots.
pub type Result<T> = std::result::Result<T, Error>;

/// A log entry or snapshot that this release can't read or write.
///
/// A replica that skipped an unreadable entry would diverge from the others, so
/// the process must stop instead.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A log entry is not a valid command.
    #[error("log entry {index} is unreadable: {source}")]
    Command {
        /// Index of the entry in the log.
        index: u64,
        /// Why it could not be parsed.
        source: serde_json::Error,
    },
    /// A command, reply or snapshot could not be written, or a reply not parsed.
    #[error("JSON of the replicated state could not be written or read: {0}")]
    Json(serde_json::Error),
    /// A snapshot is not valid JSON of the expected form.
    #[error("snapshot is unreadable: {0}")]
    Snapshot(serde_json::Error),
    /// The configuration in a snapshot is unreadable or fails its digest check.
    #[error(transparent)]
    Ledger(#[from] ledger::Error),
    /// The views in a snapshot are not consecutive.
    #[error("snapshot has inconsistent views: {0}")]
    Window(#[from] view::Error),
}

/// A command, the payload of a log entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// Proposes a configuration patch.
    Patch(Proposal),
    /// Applies a membership event.
    View(Event),
}

/// The result of applying a command.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// Whether the patch was accepted, and why not if it was refused.
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
    /// Encodes the command as the payload of a log entry.
    pub fn encode(&self) -> Result<Vec<u8>> {
        serde_json::to_vec(self).map_err(Error::Json)
    }
}

impl Reply {
    /// Decodes a reply returned by [`State::apply`].
    pub fn decode(bytes: &[u8]) -> Result<Reply> {
        serde_json::from_slice(bytes).map_err(Error::Json)
    }
}

impl State {
    /// Returns the configuration and its history.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Returns the membership views.
    pub fn window(&self) -> &Window {
        &self.window
    }

    /// Removes old records of the configuration's history from the state, if they take much
    /// room, and returns them. To be called after each entry on every replica.
    pub fn seal(&mut self) -> Result<Option<Sealed>> {
        Ok(self.ledger.seal()?)
    }

    /// Decodes and applies a log entry, and returns the encoded reply.
    pub fn apply(&mut self, index: u64, payload: &[u8]) -> Result<Vec<u8>> {
        let command =
            serde_json::from_slice(payload).map_err(|source| Error::Command { index, source })?;
        let reply = self.execute(command);
        serde_json::to_vec(&reply).map_err(Error::Json)
    }

    /// Applies a command and returns the reply.
    pub fn execute(&mut self, command: Command) -> Reply {
        match command {
            Command::Patch(proposal) => Reply::Patch(self.ledger.apply(proposal)),
            Command::View(event) => {
                self.window.apply(event);
                Reply::View(self.window.number())
            }
        }
    }

    /// Encodes the state. Equal states have equal encodings.
    pub fn snapshot(&self) -> Result<Vec<u8>> {
        let ledger = String::from_utf8_lossy(&self.ledger.snapshot()?).into_owned();
        let snapshot = Snapshot {
            ledger: RawValue::from_string(ledger).map_err(Error::Snapshot)?,
            window: self.window.snapshot(),
        };
        serde_json::to_vec(&snapshot).map_err(Error::Json)
    }

    /// Decodes a state encoded by [`State::snapshot`].
    pub fn restore(bytes: &[u8]) -> Result<State> {
        let snapshot: Snapshot = serde_json::from_slice(bytes).map_err(Error::Snapshot)?;
        Ok(State {
            ledger: Ledger::restore(snapshot.ledger.get().as_bytes())?,
            window: Window::try_from(snapshot.window)?,
        })
    }
}

//! The state of a control instance: the replicated state, and the leader's state
//! that is not replicated.

mod leader_state;
mod replicated_log;

use std::sync::{Arc, OnceLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

use crate::control::archive::Archive;
use crate::panics::RwLock;
use bytes::Bytes;
use gentian::config::document::Document;
use gentian::member::state::State;
use gentian::member::view::ViewAges;
use gentian::quorum::state_machine::{RestoreError, StateMachine};
use gentian::wire::id::{Version, View};
use serde_json::Value;

pub(crate) use leader_state::{LeaderState, LEASE_DURATION, LOAN_DURATION};
pub(crate) use replicated_log::{Backlog, Error, Leader, ReplicatedLog};

/// The replicated state, shared between the log that applies entries to it and its
/// readers.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    origin: Instant,
    applied: Arc<RwLock<AppliedState>>,
    archive: Archive,
}

/// The state after the entries applied so far, and values derived from it.
#[derive(Debug)]
pub(crate) struct AppliedState {
    pub(crate) state: State,
    /// The configuration in force; `None` inside if this release can't read it. It is read
    /// when it is first asked for: of the versions that an instance applies at a start or to
    /// catch up, only the last one matters.
    document: OnceLock<Option<Document>>,
    /// The configuration in force as JSON, as nodes get it.
    node_document: OnceLock<Bytes>,
    view_ages: ViewAges,
}

impl SharedState {
    /// Creates the state before the first entry of the log. Old records of the
    /// configuration's history go to `archive`.
    pub(crate) fn new(archive: Archive) -> SharedState {
        let applied = AppliedState {
            state: State::default(),
            document: OnceLock::new(),
            node_document: OnceLock::new(),
            view_ages: ViewAges::default(),
        };
        SharedState {
            origin: Instant::now(),
            applied: Arc::new(RwLock::new(applied)),
            archive,
        }
    }

    /// Returns the old records of the configuration's history.
    pub(crate) fn archive(&self) -> &Archive {
        &self.archive
    }

    /// Returns the monotonic time since this value was created.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Locks the state for reading.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, AppliedState> {
        self.applied.read()
    }

    /// Returns the view before which all views were replaced at least `keep` ago, if
    /// there are such views, and forgets their ages.
    pub(crate) fn take_outdated_views(&self, keep: Duration) -> Option<View> {
        let now = self.now();
        let mut applied = self.write();
        applied.view_ages.take_outdated(now, keep)
    }

    fn write(&self) -> RwLockWriteGuard<'_, AppliedState> {
        self.applied.write()
    }
}

impl AppliedState {
    /// Returns a lower bound of the time that the current view has been in force.
    pub(crate) fn view_age(&self, now: Duration) -> Duration {
        self.view_ages.current_age(now)
    }

    /// Returns the configuration in force, or `None` if this release can't read it.
    pub(crate) fn document(&self) -> Option<&Document> {
        let read = || {
            let ledger = self.state.ledger();
            let document = Document::read(ledger.document());
            let log_problems = |problems: &_| {
                let version = ledger.version();
                log::error!("configuration version {version} can't be read: {problems:?}");
            };
            document.inspect_err(log_problems).ok()
        };
        self.document.get_or_init(read).as_ref()
    }

    /// Returns the configuration in force as JSON, without the text of a release, which is as
    /// large as all else and of no use to nodes.
    pub(crate) fn node_document(&self) -> Bytes {
        let encode = || {
            let mut document = self.state.ledger().document().clone();
            if let Some(text) = document.pointer_mut("/release/body") {
                *text = Value::String(String::new());
            }
            Bytes::from(document.to_string())
        };
        self.node_document.get_or_init(encode).clone()
    }

    /// Updates the derived values after an entry or a snapshot was applied to a state
    /// with configuration version `previous`.
    fn update_derived(&mut self, previous: Version, now: Duration) {
        self.view_ages.observe(now, self.state.window().number());
        if self.state.ledger().version() != previous {
            self.document = OnceLock::new();
            self.node_document = OnceLock::new();
        }
    }
}

impl StateMachine for SharedState {
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        let now = self.now();
        let mut applied = self.write();
        let previous = applied.state.ledger().version();
        let reply = applied.state.apply(index, payload);
        applied.update_derived(previous, now);
        let sealed = applied.state.seal();
        drop(applied);
        match sealed {
            Ok(sealed) => sealed
                .into_iter()
                .for_each(|sealed| self.archive.save(sealed)),
            // It depends on the state alone, so no replica has sealed anything.
            Err(error) => log::error!("old versions stay in the state: {error}"),
        }
        // A replica that skipped an entry would diverge from the others.
        reply.unwrap_or_else(|error| panic!("{error}"))
    }

    fn may_compact(&mut self) -> bool {
        self.archive.is_saved()
    }

    fn snapshot(&self) -> Vec<u8> {
        let bytes = self.read().state.snapshot();
        bytes.expect("the state can be written as JSON")
    }

    fn restore(&mut self, bytes: &[u8]) -> gentian::quorum::state_machine::Result<()> {
        let state = State::restore(bytes).map_err(|error| RestoreError(error.to_string()))?;
        let now = self.now();
        let mut applied = self.write();
        let previous = applied.state.ledger().version();
        applied.state = state;
        applied.update_derived(previous, now);
        Ok(())
    }
}

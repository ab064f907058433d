//! The state of a control instance: the replicated state, and the leader's state
//! that is not replicated.

mod leader_state;
mod replicated_log;

use std::sync::{Arc, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

use crate::panics::RwLock;
use gentian::config::document::Document;
use gentian::member::state::State;
use gentian::member::view::ViewAges;
use gentian::quorum::state_machine::{RestoreError, StateMachine};
use gentian::wire::id::{Version, View};

pub(crate) use leader_state::{LeaderState, LEASE_DURATION, LOAN_DURATION};
pub(crate) use replicated_log::{Error, Leader, ReplicatedLog};

/// The replicated state, shared between the log that applies entries to it and its
/// readers.
#[derive(Clone, Debug)]
pub(crate) struct SharedState {
    origin: Instant,
    applied: Arc<RwLock<AppliedState>>,
}

/// The state after the entries applied so far, and values derived from it.
#[derive(Debug)]
pub(crate) struct AppliedState {
    pub(crate) state: State,
    /// The configuration in force; `None` if this release can't read it.
    pub(crate) document: Option<Document>,
    view_ages: ViewAges,
}

impl SharedState {
    /// Creates the state before the first entry of the log.
    pub(crate) fn new() -> SharedState {
        let applied = AppliedState {
            state: State::default(),
            document: Some(Document::default()),
            view_ages: ViewAges::default(),
        };
        SharedState {
            origin: Instant::now(),
            applied: Arc::new(RwLock::new(applied)),
        }
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

    /// Updates the derived values after an entry or a snapshot was applied to a state
    /// with configuration version `previous`.
    fn update_derived(&mut self, previous: Version, now: Duration) {
        self.view_ages.observe(now, self.state.window().number());
        let ledger = self.state.ledger();
        if ledger.version() != previous {
            self.document = match Document::read(ledger.document()) {
                Ok(document) => Some(document),
                Err(problems) => {
                    let version = ledger.version();
                    log::error!("configuration version {version} can't be read: {problems:?}");
                    None
                }
            };
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
        // A replica that skipped an entry would diverge from the others.
        reply.unwrap_or_else(|error| panic!("{error}"))
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

//! What a control instance knows: the replicated state, and the leader's own
//! books that are not replicated.

mod book;
mod log;

use std::sync::{Arc, RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

use gentian::config::document::Document;
use gentian::member::state::State;
use gentian::member::view::ViewAges;
use gentian::quorum::state_machine::{RestoreError, StateMachine};
use gentian::wire::id::{Version, View};

pub(crate) use book::{Book, LEASE, LOAN};
pub(crate) use log::{Error, Leader, Log};

/// The replicated state, shared between the log that feeds it and its readers.
#[derive(Clone, Debug)]
pub(crate) struct Shared {
    origin: Instant,
    inner: Arc<RwLock<Inner>>,
}

/// The state, and how long its view has been in force.
#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) state: State,
    /// The document in force; nothing where this release can't read it.
    pub(crate) document: Option<Document>,
    age: ViewAges,
}

impl Shared {
    /// The state before the first entry of the log.
    pub(crate) fn new() -> Shared {
        let inner = Inner {
            state: State::default(),
            document: Some(Document::default()),
            age: ViewAges::default(),
        };
        Shared {
            origin: Instant::now(),
            inner: Arc::new(RwLock::new(inner)),
        }
    }

    /// Monotonic time since this process made the state.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// The state as it is now.
    pub(crate) fn read(&self) -> RwLockReadGuard<'_, Inner> {
        self.inner.read().expect("no thread panics with this lock")
    }

    /// The view before which all were replaced at least `keep` ago.
    pub(crate) fn outdated(&self, keep: Duration) -> Option<View> {
        let now = self.now();
        let mut inner = self.write();
        inner.age.take_outdated(now, keep)
    }

    fn write(&self) -> RwLockWriteGuard<'_, Inner> {
        self.inner.write().expect("no thread panics with this lock")
    }
}

impl Inner {
    /// How long the view has been in force, at least.
    pub(crate) fn view_age(&self, now: Duration) -> Duration {
        self.age.current_age(now)
    }

    /// Notes what an entry or a snapshot has changed.
    fn changed(&mut self, before: Version, now: Duration) {
        self.age.observe(now, self.state.window().number());
        let ledger = self.state.ledger();
        if ledger.version() != before {
            self.document = Document::read(ledger.document()).ok();
        }
    }
}

impl StateMachine for Shared {
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8> {
        let now = self.now();
        let mut inner = self.write();
        let before = inner.state.ledger().version();
        let reply = inner.state.apply(index, payload);
        inner.changed(before, now);
        // Skipping what others apply would make the replicas part ways.
        reply.unwrap_or_else(|error| panic!("{error}"))
    }

    fn snapshot(&self) -> Vec<u8> {
        let bytes = self.read().state.snapshot();
        bytes.expect("the state can be written as JSON")
    }

    fn restore(&mut self, bytes: &[u8]) -> gentian::quorum::state_machine::Result<()> {
        let state = State::restore(bytes).map_err(|error| RestoreError(error.to_string()))?;
        let now = self.now();
        let mut inner = self.write();
        let before = inner.state.ledger().version();
        inner.state = state;
        inner.changed(before, now);
        Ok(())
    }
}

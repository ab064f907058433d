//! A store in memory, for tests and experiments.

use super::{Result, Store, StoredState, Write};
use crate::id;

/// A store in memory that keeps unsynced writes apart, so that tests can simulate
/// a crash.
#[derive(Clone, Debug)]
pub struct MemoryStore {
    synced: StoredState,
    pending: Vec<Write>,
}

impl MemoryStore {
    /// An empty store of a new member.
    pub fn new(id: id::Member) -> Self {
        Self {
            synced: StoredState::empty(id),
            pending: Vec::new(),
        }
    }

    /// Simulates a crash that only the first `kept` unsynced writes survive, and
    /// returns the state with which the store is opened again.
    pub fn crash(&mut self, kept: usize) -> StoredState {
        for write in self.pending.drain(..).take(kept) {
            self.synced.apply(&write);
        }
        self.synced.clone()
    }

    /// Number of writes since the last sync.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

impl Store for MemoryStore {
    fn write(&mut self, write: &Write) -> Result<()> {
        self.pending.push(write.clone());
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        for write in self.pending.drain(..) {
            self.synced.apply(&write);
        }
        Ok(())
    }
}

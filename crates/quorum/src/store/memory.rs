//! A store that forgets with the process, for tests and embedders' trials.

use super::{Result, Store, StoredState, Write};
use crate::id;

/// Keeps synced and unsynced state apart, so that a crash can be played.
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

    /// Drops the last writes so that only the first `kept` unsynced ones survive, and reopens.
    pub fn crash(&mut self, kept: usize) -> StoredState {
        for write in self.pending.drain(..).take(kept) {
            self.synced.apply(&write);
        }
        self.synced.clone()
    }

    /// Writes taken since the last sync.
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

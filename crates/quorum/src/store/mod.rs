//! Durable storage of one member.
//!
//! A store takes writes in order and makes them durable in groups, since one
//! sync costs far more than the bytes it covers.

pub mod disk;
pub mod file;
mod memory;

use std::io;

pub use file::FileStore;
pub use memory::MemoryStore;

use crate::{
    entry::{Entry, HardState, Snapshot},
    id,
};

/// What an opened store holds.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    /// Id of the member, drawn when the store was created.
    pub id: id::Member,
    /// Hard state.
    pub hard_state: HardState,
    /// Latest snapshot; its default if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// An empty store of a new member.
    pub fn empty(id: id::Member) -> Self {
        Self {
            id,
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
        }
    }

    /// Applies a write, as every store must.
    ///
    /// # Panics
    ///
    /// If the entries leave a gap after those held.
    pub fn apply(&mut self, write: &Write) {
        self.hard_state = write.hard_state;
        if let Some(snapshot) = &write.snapshot {
            let keep = self
                .entries
                .iter()
                .any(|e| e.index == snapshot.index && e.term == snapshot.term);
            let covered = if keep { snapshot.index } else { u64::MAX };
            self.entries.retain(|e| e.index > covered);
            self.snapshot = snapshot.clone();
        }
        for entry in &write.entries {
            self.put(entry.clone());
        }
    }

    pub(crate) fn put(&mut self, entry: Entry) {
        assert!(self.takes(&entry), "entry leaves a gap in the store");
        while self.entries.last().is_some_and(|e| e.index >= entry.index) {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    /// Whether the entry follows the snapshot and those held, or replaces one of them.
    pub(crate) fn takes(&self, entry: &Entry) -> bool {
        let last = self.entries.last().map_or(self.snapshot.index, |e| e.index);
        (self.snapshot.index + 1..=last + 1).contains(&entry.index)
    }
}

/// One write, atomic only together with the sync that follows.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Counts the writes of this process from 1.
    pub number: u64,
    /// Hard state.
    pub hard_state: HardState,
    /// A new snapshot, which replaces the entries it covers; entries that
    /// follow an entry it doesn't match are dropped.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace all from the first one's index on.
    pub entries: Vec<Entry>,
}

/// What went wrong with a store.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a file or folder failed.
    #[error("{operation} {name}: {source}")]
    Io {
        /// What was tried.
        operation: &'static str,
        /// File within the data folder.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// Synced bytes are not what was written.
    #[error("{name} is damaged at offset {offset}: {reason}")]
    Damaged {
        /// File within the data folder.
        name: String,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// What doesn't fit.
        reason: &'static str,
    },
    /// Another process uses the folder.
    #[error("data folder is in use by another process")]
    Locked,
    /// An earlier operation failed; the store must be opened again.
    #[error("store failed earlier and must be opened again")]
    Failed,
}

impl Error {
    /// Whether the disk had no room.
    pub fn is_full(&self) -> bool {
        matches!(self, Self::Io { source, .. } if source.kind() == io::ErrorKind::StorageFull)
    }
}

/// `Result` of a store's operations.
pub type Result<T> = std::result::Result<T, Error>;

/// Durable storage of one member.
///
/// After an error nothing more may be promised: the member halts, and the store
/// is opened again.
pub trait Store {
    /// Takes a write; it is not durable yet.
    fn write(&mut self, write: &Write) -> Result<()>;

    /// Makes all earlier writes durable.
    fn sync(&mut self) -> Result<()>;
}

//! Durable storage of one member.
//!
//! A store accepts writes in order and makes a group of them durable with one
//! sync, since a sync costs far more than writing the bytes that it covers.

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

/// The state that a store holds.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    /// Id of the member, generated when the store was created.
    pub id: id::Member,
    /// Hard state.
    pub hard_state: HardState,
    /// Latest snapshot, or the default if there is none.
    pub snapshot: Snapshot,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// The state of a new member, with an empty log.
    pub fn empty(id: id::Member) -> Self {
        Self {
            id,
            hard_state: HardState::default(),
            snapshot: Snapshot::default(),
            entries: Vec::new(),
        }
    }

    /// Applies a write; defines what a write means for every store.
    ///
    /// # Panics
    ///
    /// If the entries leave a gap in the log.
    pub fn apply(&mut self, write: &Write) {
        self.hard_state = write.hard_state;
        if let Some(snapshot) = &write.snapshot {
            let matches = self
                .entries
                .iter()
                .any(|e| e.index == snapshot.index && e.term == snapshot.term);
            let last_covered = if matches { snapshot.index } else { u64::MAX };
            self.entries.retain(|e| e.index > last_covered);
            self.snapshot = snapshot.clone();
        }
        for entry in &write.entries {
            self.put_entry(entry.clone());
        }
    }

    /// Adds an entry, replacing those from its index on.
    pub(crate) fn put_entry(&mut self, entry: Entry) {
        assert!(self.accepts(&entry), "entry leaves a gap in the store");
        while self.entries.last().is_some_and(|e| e.index >= entry.index) {
            self.entries.pop();
        }
        self.entries.push(entry);
    }

    /// Whether the entry directly follows the log or replaces an entry of it.
    pub(crate) fn accepts(&self, entry: &Entry) -> bool {
        let last = self.entries.last().map_or(self.snapshot.index, |e| e.index);
        (self.snapshot.index + 1..=last + 1).contains(&entry.index)
    }
}

/// One write to a store. Until the store is synced, a crash may lose the write,
/// wholly or in part.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Number of the write, counted by the replica from 1.
    pub number: u64,
    /// Replaces the stored hard state.
    pub hard_state: HardState,
    /// A new snapshot, which replaces the entries up to its index. The entries
    /// after it are kept only if the log holds the snapshot's last entry.
    pub snapshot: Option<Snapshot>,
    /// Entries that replace all those from the index of the first one on.
    pub entries: Vec<Entry>,
}

/// Why a store operation failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An operation on a file or folder failed.
    #[error("{operation} {name}: {source}")]
    Io {
        /// The operation that failed.
        operation: &'static str,
        /// Name of the file within the data folder.
        name: String,
        /// The cause.
        source: io::Error,
    },
    /// Bytes that were synced have changed since.
    #[error("{name} is damaged at offset {offset}: {reason}")]
    Damaged {
        /// Name of the file within the data folder.
        name: String,
        /// Offset of the damaged record in bytes.
        offset: u64,
        /// The check that failed.
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
    /// Whether the disk, or what this process may use of it, is full.
    pub fn is_full(&self) -> bool {
        use io::ErrorKind::{FileTooLarge, QuotaExceeded, StorageFull};
        let Self::Io { source, .. } = self else {
            return false;
        };
        matches!(source.kind(), StorageFull | QuotaExceeded | FileTooLarge)
    }
}

/// `Result` of a store operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Durable storage of one member.
///
/// After an error it is unknown what is durable, so the member must halt and the
/// store must be opened again.
pub trait Store {
    /// Accepts a write, which need not be durable before the next [`sync`](Self::sync).
    fn write(&mut self, write: &Write) -> Result<()>;

    /// Makes all earlier writes durable.
    fn sync(&mut self) -> Result<()>;
}

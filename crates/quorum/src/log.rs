//! The log in memory: a snapshot and the entries after it.
//!
//! The log is small by design, since the state machine is compacted often, so
//! it is held in memory whole and the store is read only at open.

use bytes::Bytes;

use crate::{
    entry::{Body, Entry, Snapshot},
    members::Members,
};

/// A snapshot followed by consecutive entries.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    changes: Vec<u64>,
}

impl Log {
    /// Builds the log from what a store recovered.
    ///
    /// # Panics
    ///
    /// If the entries don't follow the snapshot without a gap.
    pub fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            snapshot,
            ..Self::default()
        };
        for entry in entries {
            log.push(entry);
        }
        log
    }

    /// The snapshot that the entries follow.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// Last index, 0 for the empty log.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Term of the last entry, 0 for the empty log.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of the entry at `index`, unless it is compacted or not there yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.get(index).map(|e| e.term)
    }

    /// The entry at `index`.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        let at = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(usize::try_from(at).ok()?)
    }

    /// Entries from `index` on.
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let at = index.saturating_sub(self.snapshot.index + 1) as usize;
        &self.entries[at.min(self.entries.len())..]
    }

    /// Appends one entry.
    ///
    /// # Panics
    ///
    /// If it doesn't follow the last one.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entry leaves a gap in the log"
        );
        if matches!(entry.body, Some(Body::Members(_))) {
            self.changes.push(entry.index);
        }
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.snapshot.index + 1) as usize;
        self.entries.truncate(keep);
        self.changes.retain(|c| *c < index);
    }

    /// Members in force, committed or not.
    pub fn members(&self) -> &Members {
        self.members_at(u64::MAX)
    }

    /// Members as of `index`.
    pub fn members_at(&self, index: u64) -> &Members {
        let at = self.changes.iter().rev().find(|c| **c <= index);
        match at
            .and_then(|at| self.get(*at))
            .and_then(|e| e.body.as_ref())
        {
            Some(Body::Members(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// Index of the latest change of the members, 0 if it is in the snapshot.
    pub fn members_index(&self) -> u64 {
        self.changes.last().copied().unwrap_or(0)
    }

    /// Replaces the entries up to `index` by the state `data` after them.
    ///
    /// Returns false if `index` is not in the log.
    pub fn compact(&mut self, index: u64, data: Bytes) -> bool {
        let Some(term) = self.term(index) else {
            return false;
        };
        let members = self.members_at(index).clone();
        let drop = (index - self.snapshot.index) as usize;
        self.entries.drain(..drop);
        self.changes.retain(|c| *c > index);
        self.snapshot = Snapshot {
            index,
            term,
            members,
            data,
        };
        true
    }

    /// Replaces the whole log by a snapshot.
    pub fn reset(&mut self, snapshot: Snapshot) {
        *self = Self::new(snapshot, Vec::new());
    }
}

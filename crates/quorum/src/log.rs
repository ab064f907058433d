//! The log in memory: a snapshot and the entries after it.
//!
//! Compaction keeps the log small, so all of it is kept in memory. The store is read once,
//! when it is opened.

use bytes::Bytes;

use crate::{
    entry::{Body, Entry, Snapshot},
    members::Members,
};

/// Number of applied entries after the snapshot at which the log is compacted. Each costs the
/// state machine some time at a start.
const MAX_APPLIED_ENTRIES: u64 = 128;
/// Size of the applied entries below which the log is not compacted for its size, in bytes.
const MIN_COMPACTED_BYTES: usize = 1 << 20;

/// A snapshot followed by consecutive entries.
#[derive(Clone, Debug, Default)]
pub struct Log {
    snapshot: Snapshot,
    entries: Vec<Entry>,
    /// Total encoded size of the entries.
    bytes: usize,
    /// Indexes of the entries that change the members.
    change_indexes: Vec<u64>,
}

impl Log {
    /// Builds the log from the state that a store recovered.
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

    /// Total encoded size of the entries after the snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Total encoded size of the entries after the snapshot up to `index`.
    fn bytes_until(&self, index: u64) -> usize {
        let covered = self.entries.iter().take_while(|entry| entry.index <= index);
        covered.map(Entry::size).sum()
    }

    /// Whether the entries up to `applied` are to be replaced by a snapshot.
    ///
    /// A member that starts or catches up reads the snapshot and all entries after it, so both
    /// the number and the size of these entries are bounded. A snapshot is written as often
    /// as it pays: the entries that it replaces are at least as large as the one before.
    pub fn is_compaction_due(&self, applied: u64) -> bool {
        if applied >= self.snapshot.index + MAX_APPLIED_ENTRIES {
            return true;
        }
        let max_bytes = self.snapshot.data.len().max(MIN_COMPACTED_BYTES);
        self.bytes >= max_bytes && self.bytes_until(applied) >= max_bytes
    }

    /// Term of the last entry, 0 for the empty log.
    pub fn last_term(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.term, |e| e.term)
    }

    /// Term of the entry at `index`, or `None` if the entry is compacted or
    /// after the end.
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

    /// All entries from `index` on that are not compacted.
    pub fn entries_from(&self, index: u64) -> &[Entry] {
        let at = index.saturating_sub(self.snapshot.index + 1) as usize;
        &self.entries[at.min(self.entries.len())..]
    }

    /// Appends one entry.
    ///
    /// # Panics
    ///
    /// If the entry's index is not one above the last index.
    pub fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entry leaves a gap in the log"
        );
        if matches!(entry.body, Some(Body::Members(_))) {
            self.change_indexes.push(entry.index);
        }
        self.bytes += entry.size();
        self.entries.push(entry);
    }

    /// Drops the entries from `index` on.
    pub fn truncate(&mut self, index: u64) {
        let kept = index.saturating_sub(self.snapshot.index + 1) as usize;
        let dropped = self.entries.drain(kept.min(self.entries.len())..);
        self.bytes -= dropped.map(|entry| entry.size()).sum::<usize>();
        self.change_indexes.retain(|c| *c < index);
    }

    /// The members in force: those of the latest change, committed or not.
    pub fn members(&self) -> &Members {
        self.members_at(u64::MAX)
    }

    /// The members that were in force at `index`.
    pub fn members_at(&self, index: u64) -> &Members {
        let change = self.change_indexes.iter().rev().find(|c| **c <= index);
        match change
            .and_then(|at| self.get(*at))
            .and_then(|e| e.body.as_ref())
        {
            Some(Body::Members(members)) => members,
            _ => &self.snapshot.members,
        }
    }

    /// Index of the latest change of the members, or 0 if none follows the snapshot.
    pub fn members_index(&self) -> u64 {
        self.change_indexes.last().copied().unwrap_or(0)
    }

    /// Replaces the entries up to `index` by a snapshot with `data`, the state machine's
    /// state after these entries.
    ///
    /// Returns false if `index` is not in the log.
    pub fn compact(&mut self, index: u64, data: Bytes) -> bool {
        let Some(term) = self.term(index) else {
            return false;
        };
        let members = self.members_at(index).clone();
        let covered = (index - self.snapshot.index) as usize;
        let covered = self.entries.drain(..covered);
        self.bytes -= covered.map(|entry| entry.size()).sum::<usize>();
        self.change_indexes.retain(|c| *c > index);
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

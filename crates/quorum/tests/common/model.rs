//! The plain model that every schedule is checked against.

use std::{collections::BTreeMap, time::Duration};

use gentian_quorum::{id::Member, Entry, Replica, Snapshot};
use rand_pcg::Pcg64Mcg;

/// What all members together have shown so far.
#[derive(Default)]
pub(crate) struct Model {
    leaders: BTreeMap<u64, Member>,
    truth: Vec<Entry>,
    committed_in: Vec<u64>,
    acknowledged: u64,
}

impl Model {
    pub(crate) fn truth(&self) -> &[Entry] {
        &self.truth
    }

    /// A member became leader: no other leads in its term, and it holds all that earlier terms committed.
    ///
    /// Late votes may still elect a leader whose term is over; it must not commit anything.
    pub(crate) fn led(&mut self, replica: &Replica<Pcg64Mcg>) {
        let term = replica.term();
        let leader = *self.leaders.entry(term).or_insert(replica.id());
        assert_eq!(leader, replica.id(), "two leaders in term {term}");
        let log = replica.log();
        let base = log.snapshot().index;
        let committed = self.truth.iter().zip(&self.committed_in);
        let earlier = committed
            .filter(|(_, in_term)| **in_term < term)
            .map(|(entry, _)| entry);
        for entry in earlier.filter(|e| e.index >= base) {
            let held = log.term(entry.index);
            assert_eq!(
                held,
                Some(entry.term),
                "the leader of term {term} lost {}",
                entry.index
            );
        }
    }

    /// A member applied an entry in its `term`: it is the same as everywhere else.
    ///
    /// The first to apply is the leader that committed it.
    pub(crate) fn applied(&mut self, entry: &Entry, term: u64) {
        let at = entry.index as usize - 1;
        match self.truth.get(at) {
            Some(known) => assert_eq!(known, entry, "members differ at {}", entry.index),
            None => {
                assert_eq!(at, self.truth.len(), "a gap before {}", entry.index);
                self.truth.push(entry.clone());
                self.committed_in.push(term);
            }
        }
    }

    /// A member restored a snapshot: it holds a prefix of what was applied.
    pub(crate) fn restored(&self, snapshot: &Snapshot) {
        let last = &self.truth[snapshot.index as usize - 1];
        assert_eq!(last.term, snapshot.term, "a snapshot of another history");
        assert_eq!(
            snapshot.data.as_ref(),
            self.digest(snapshot.index),
            "a snapshot of other state"
        );
    }

    /// The state of a machine that applied everything up to `index`.
    pub(crate) fn digest(&self, index: u64) -> Vec<u8> {
        let mut hash = crc32fast::Hasher::new();
        for entry in &self.truth[..index as usize] {
            hash.update(&prost::Message::encode_to_vec(entry));
        }
        hash.finalize().to_be_bytes().to_vec()
    }

    /// A client got the answer for its entry.
    pub(crate) fn acknowledge(&mut self, index: u64) {
        self.acknowledged = self.acknowledged.max(index);
    }

    /// No two leases overlap in true time, and the holder knows all that was acknowledged.
    pub(crate) fn leases<'a>(
        &self,
        now: Duration,
        nodes: impl Iterator<Item = (&'a Replica<Pcg64Mcg>, Duration)>,
    ) {
        let valid = |(replica, offset): &(&Replica<Pcg64Mcg>, Duration)| {
            replica
                .lease_until()
                .is_some_and(|until| until > now + *offset)
        };
        let holders: Vec<_> = nodes
            .filter(valid)
            .map(|(r, _)| (r.id(), r.applied_index()))
            .collect();
        assert!(holders.len() <= 1, "two leases at {now:?}: {holders:?}");
        if let Some((id, applied)) = holders.first() {
            assert!(
                *applied >= self.acknowledged,
                "leaseholder {id} misses acknowledged entries"
            );
        }
    }
}

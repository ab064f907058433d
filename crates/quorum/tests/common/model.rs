//! The reference model that every schedule is checked against.

use std::{collections::BTreeMap, time::Duration};

use gentian_quorum::{id::Member, Entry, Replica, Snapshot};
use rand_pcg::Pcg64Mcg;

/// What all members together have done so far.
#[derive(Default)]
pub(crate) struct Model {
    /// Leader of each term.
    leaders: BTreeMap<u64, Member>,
    /// All entries that any member has applied, from index 1.
    committed: Vec<Entry>,
    /// Term of the leader that committed each entry.
    committed_in_term: Vec<u64>,
    /// Highest index whose proposer got a reply.
    acknowledged: u64,
}

impl Model {
    pub(crate) fn committed(&self) -> &[Entry] {
        &self.committed
    }

    /// Checks that a new leader is the only one of its term and holds all entries
    /// that were committed in earlier terms.
    ///
    /// Delayed votes may still elect a leader after a later term has begun, so entries
    /// of later terms are not checked. Such a leader must not commit anything.
    pub(crate) fn check_new_leader(&mut self, replica: &Replica<Pcg64Mcg>) {
        let term = replica.term();
        let leader = *self.leaders.entry(term).or_insert(replica.id());
        assert_eq!(leader, replica.id(), "two leaders in term {term}");
        let log = replica.log();
        let base = log.snapshot().index;
        let committed = self.committed.iter().zip(&self.committed_in_term);
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

    /// Checks that a member, whose current term is `term`, applies the same entry
    /// as all others.
    ///
    /// The first to apply an entry is the leader that committed it.
    pub(crate) fn check_applied(&mut self, entry: &Entry, term: u64) {
        let at = entry.index as usize - 1;
        match self.committed.get(at) {
            Some(known) => assert_eq!(known, entry, "members differ at {}", entry.index),
            None => {
                assert_eq!(at, self.committed.len(), "a gap before {}", entry.index);
                self.committed.push(entry.clone());
                self.committed_in_term.push(term);
            }
        }
    }

    /// Checks that a snapshot holds the state after a prefix of the committed entries.
    pub(crate) fn check_restored(&self, snapshot: &Snapshot) {
        let last = &self.committed[snapshot.index as usize - 1];
        assert_eq!(last.term, snapshot.term, "a snapshot of another history");
        assert_eq!(
            snapshot.data.as_ref(),
            self.digest(snapshot.index),
            "a snapshot of other state"
        );
    }

    /// State of a state machine that has applied everything up to `index`.
    pub(crate) fn digest(&self, index: u64) -> Vec<u8> {
        let mut hash = crc32fast::Hasher::new();
        for entry in &self.committed[..index as usize] {
            hash.update(&prost::Message::encode_to_vec(entry));
        }
        hash.finalize().to_be_bytes().to_vec()
    }

    /// Records that the proposer of the entry at `index` got its reply.
    pub(crate) fn record_acknowledged(&mut self, index: u64) {
        self.acknowledged = self.acknowledged.max(index);
    }

    /// Checks that at most one member holds a lease in true time, and that it has
    /// applied all acknowledged entries.
    pub(crate) fn check_leases<'a>(
        &self,
        now: Duration,
        nodes: impl Iterator<Item = (&'a Replica<Pcg64Mcg>, Duration)>,
    ) {
        let has_lease = |(replica, offset): &(&Replica<Pcg64Mcg>, Duration)| {
            replica
                .lease_until(replica.applied_index())
                .is_some_and(|until| until > now + *offset)
        };
        let holders: Vec<_> = nodes
            .filter(has_lease)
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

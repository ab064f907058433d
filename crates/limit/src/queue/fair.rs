//! Start-time fair queueing: who is served next among weighted competitors.
//!
//! Each has a tag that grows with the cost it was served, divided by its
//! weight; the smallest tag goes first. One that comes back after a pause starts
//! from the present, so that it can't save up turns.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Units of a tag per unit of cost at weight 1.
const SCALE: u64 = 1024;

/// Idle competitors whose tags are kept besides those of active ones.
const SPARE_TAGS: usize = 64;

/// Orders weighted competitors by what they were served.
#[derive(Debug)]
pub(crate) struct Fair<K> {
    tags: HashMap<K, u64>,
    active: BTreeSet<(u64, K)>,
    present: u64,
}

impl<K> Default for Fair<K> {
    fn default() -> Fair<K> {
        Fair {
            tags: HashMap::new(),
            active: BTreeSet::new(),
            present: 0,
        }
    }
}

impl<K: Clone + Eq + Hash + Ord> Fair<K> {
    /// Lets `key`, which has begun to wait, take its turn.
    pub(crate) fn activate(&mut self, key: K) {
        let tag = self.tags.entry(key.clone()).or_default();
        *tag = self.present.max(*tag);
        self.active.insert((*tag, key));
    }

    /// Leaves out `key`, which has nothing waiting any more.
    pub(crate) fn deactivate(&mut self, key: &K) {
        if let Some(tag) = self.tags.get(key) {
            self.active.remove(&(*tag, key.clone()));
        }
        if self.tags.len() > 2 * self.active.len() + SPARE_TAGS {
            let present = self.present;
            let active = &self.active;
            self.tags
                .retain(|key, tag| *tag > present || active.contains(&(*tag, key.clone())));
        }
    }

    /// Charges `key` for having been served `cost`.
    pub(crate) fn charge(&mut self, key: &K, cost: u64, weight: u32) {
        let tag = self.tags.entry(key.clone()).or_default();
        let old = *tag;
        let step = cost.max(1).saturating_mul(SCALE) / u64::from(weight.max(1));
        *tag = old.saturating_add(step.max(1));
        self.present = self.present.max(old);
        if self.active.remove(&(old, key.clone())) {
            self.active.insert((*tag, key.clone()));
        }
    }

    /// Those with something waiting, in the order of their turns.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &K> {
        self.active.iter().map(|(_, key)| key)
    }
}

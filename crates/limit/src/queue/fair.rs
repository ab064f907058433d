//! Start-time fair queueing among weighted keys, such as teams or flows.
//!
//! Each key has a tag that grows by the cost of each request served for it,
//! divided by the key's weight; the key with the smallest tag is served next. A
//! key that becomes active again starts at the current virtual time, so that it
//! can't accumulate credit while it is idle.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Tag units per unit of cost at weight 1; keeps precision when dividing by a weight.
const SCALE: u64 = 1024;

/// Tags of idle keys are pruned once they outnumber the active keys by more than this.
const MAX_IDLE_TAGS: usize = 64;

/// Orders weighted keys by the cost they have been served.
#[derive(Debug)]
pub(crate) struct FairQueue<K> {
    tags: HashMap<K, u64>,
    active: BTreeSet<(u64, K)>,
    /// Largest tag, before its charge, of any key that was served.
    virtual_time: u64,
}

impl<K> Default for FairQueue<K> {
    fn default() -> FairQueue<K> {
        FairQueue {
            tags: HashMap::new(),
            active: BTreeSet::new(),
            virtual_time: 0,
        }
    }
}

impl<K: Clone + Eq + Hash + Ord> FairQueue<K> {
    /// Adds `key`, which now has a waiting request, to the active keys.
    pub(crate) fn activate(&mut self, key: K) {
        let tag = self.tags.entry(key.clone()).or_default();
        *tag = self.virtual_time.max(*tag);
        self.active.insert((*tag, key));
    }

    /// Removes `key`, which has no waiting requests left, from the active keys.
    pub(crate) fn deactivate(&mut self, key: &K) {
        if let Some(tag) = self.tags.get(key) {
            self.active.remove(&(*tag, key.clone()));
        }
        if self.tags.len() > 2 * self.active.len() + MAX_IDLE_TAGS {
            let virtual_time = self.virtual_time;
            let active = &self.active;
            self.tags
                .retain(|key, tag| *tag > virtual_time || active.contains(&(*tag, key.clone())));
        }
    }

    /// Charges `key` for a served request of the given cost.
    pub(crate) fn charge(&mut self, key: &K, cost: u64, weight: u32) {
        let tag = self.tags.entry(key.clone()).or_default();
        let old = *tag;
        let step = cost.max(1).saturating_mul(SCALE) / u64::from(weight.max(1));
        *tag = old.saturating_add(step.max(1));
        self.virtual_time = self.virtual_time.max(old);
        if self.active.remove(&(old, key.clone())) {
            self.active.insert((*tag, key.clone()));
        }
    }

    /// Iterates over the active keys in the order in which they are to be served.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &K> {
        self.active.iter().map(|(_, key)| key)
    }
}

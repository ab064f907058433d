//! One entry's view of the load of one service's upstreams.
//!
//! An entry counts its own requests in flight exactly, but learns what other entries run
//! only from the load reported with answers. As a report ages, the estimate moves from
//! the reported load towards the average load of the upstream, because tasks end and the
//! other entries keep sending. Of upstreams with equal estimates the one with the newer
//! report is preferred, since tasks missed by an old report are more likely than slots
//! freed since.
//!
//! The upstreams are kept in order of preference, so that a choice usually only looks at
//! the first one. Ageing changes the order all the time; instead of sorting again, each
//! choice updates the rank of a few upstreams. The cost of these updates doesn't grow with
//! the number of upstreams, and under load no rank is older than a few dozen milliseconds.

mod rank;
mod upstream;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use gentian_wire::id::{DataCenter, Node};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::upstream::{Load, Member, Standing, Upstream};

pub(crate) use self::rank::{FreeSlots, Rank};

/// Decay time of load reports while no run times are known.
const DEFAULT_DECAY_TIME: Duration = Duration::from_millis(300);

/// Number of upstreams whose rank is updated with each choice.
const REFRESHED_PER_CHOICE: usize = 4;

/// Number of upstreams tried in one choice if the first ones turn out to have fewer free
/// slots than when they were last ranked.
const MAX_TRIED_PER_CHOICE: usize = 8;

/// Index of an upstream in a [`LoadView`]. It is valid until the upstream has been
/// removed and its last request has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(u32);

impl Index {
    fn as_usize(self) -> usize {
        self.0 as usize
    }
}

/// Load of one service's upstreams, as known to one entry.
#[derive(Debug)]
pub struct LoadView {
    /// Hash of the entry's name.
    seed: u64,
    data_center: DataCenter,
    decay_time: Duration,
    min_free_slots: f64,
    upstreams: Vec<Option<Upstream>>,
    /// Unused positions in `upstreams`.
    vacant: Vec<Index>,
    names: HashMap<Node, Index>,
    /// Ranks of the available upstreams.
    order: BTreeSet<Rank>,
    /// The available upstreams, in no particular order.
    available: Vec<Index>,
    /// Mean share of slots that other entries used at the last reports.
    mean_share: Mean,
    /// Position of the upstream whose rank was refreshed last.
    cursor: usize,
}

impl LoadView {
    /// Creates an empty view for the entry with the given name and data centre.
    ///
    /// The name seeds the order in which this entry prefers equal upstreams, so that
    /// entries seldom compete for the same last slot.
    pub fn new(entry: &Node, data_center: DataCenter) -> LoadView {
        LoadView {
            seed: xxh3_64_with_seed(entry.as_str().as_bytes(), 0),
            data_center,
            decay_time: DEFAULT_DECAY_TIME,
            min_free_slots: 1.0,
            upstreams: Vec::new(),
            vacant: Vec::new(),
            names: HashMap::new(),
            order: BTreeSet::new(),
            available: Vec::new(),
            mean_share: Mean::default(),
            cursor: 0,
        }
    }

    /// Sets the time after which a load report is mostly outdated: about the mean run time
    /// of the service.
    pub fn set_decay_time(&mut self, decay_time: Duration) {
        self.decay_time = decay_time.max(Duration::from_millis(1));
    }

    /// Sets the estimated number of free slots that an upstream must have to be chosen.
    /// Below one, requests are sent even if a free slot is uncertain.
    pub fn set_min_free_slots(&mut self, slots: f64) {
        self.min_free_slots = slots.clamp(f64::MIN_POSITIVE, 1.0);
    }

    /// Adds an upstream or updates a known one, which may have been removed with requests
    /// still in flight.
    ///
    /// A greater incarnation means that the upstream's agent has restarted: what was
    /// reported of the earlier one is dropped. A smaller incarnation is ignored.
    pub fn upsert(&mut self, member: Member, now: Duration) -> Index {
        let near = member.data_center == self.data_center;
        if let Some(index) = self.index_of(&member.node) {
            self.update(index, now, |upstream| upstream.update_member(member, near));
            return index;
        }
        let hash = xxh3_64_with_seed(member.node.as_str().as_bytes(), self.seed);
        let name = member.node.clone();
        let index = self.insert(Upstream::new(member, hash, near));
        self.names.insert(name, index);
        self.rerank(index, now);
        index
    }

    /// Removes an upstream. Its requests in flight are counted until the last one has
    /// ended.
    pub fn remove(&mut self, node: &Node, now: Duration) {
        let Some(index) = self.index_of(node) else {
            return;
        };
        self.update(index, now, Upstream::mark_removed);
        self.reclaim(index);
    }

    /// Records that a request was sent to the upstream.
    pub fn record_start(&mut self, index: Index, now: Duration) {
        self.update(index, now, |upstream| upstream.in_flight += 1);
    }

    /// Records the end of a request that was sent to the upstream, with the load reported
    /// if it was answered. Returns whether the upstream can be sent another request.
    pub fn record_end(&mut self, index: Index, load: Option<Load>, now: Duration) -> bool {
        self.update(index, now, |upstream| {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if let Some(load) = load {
                upstream.record_load(load, now);
            }
        });
        let is_open = self.get(index).is_some_and(Upstream::is_open);
        self.reclaim(index);
        is_open
    }

    /// Sets whether the upstream is in rotation, on trial or ejected.
    pub fn set_standing(&mut self, index: Index, standing: Standing, now: Duration) {
        self.update(index, now, |upstream| upstream.standing = standing);
    }

    /// The upstream at `index`.
    pub fn get(&self, index: Index) -> Option<&Upstream> {
        self.upstreams.get(index.as_usize())?.as_ref()
    }

    /// Index of the upstream whose agent has this name.
    pub fn index_of(&self, node: &Node) -> Option<Index> {
        self.names.get(node).copied()
    }

    /// Iterates over all upstreams, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Upstream)> {
        self.names
            .values()
            .filter_map(|index| Some((*index, self.get(*index)?)))
            .filter(|(_, upstream)| !upstream.is_removed())
    }

    /// Estimated number of free slots at the upstream; negative if requests wait there.
    pub fn free_slots(&self, index: Index, now: Duration) -> Option<f64> {
        let upstream = self.get(index)?;
        Some(
            upstream
                .free_slots(self.mean_share.get(), self.decay_time, now)
                .expected,
        )
    }

    /// Largest number of slots of any upstream that may take work. A task that needs more
    /// can never run.
    pub fn max_slots(&self) -> u32 {
        self.iter()
            .filter(|(_, upstream)| upstream.takes_work())
            .map(|(_, upstream)| upstream.slots())
            .max()
            .unwrap_or(0)
    }

    /// Total number of slots of the upstreams that may take work.
    pub fn total_slots(&self) -> u32 {
        self.iter()
            .filter(|(_, upstream)| upstream.takes_work())
            .map(|(_, upstream)| upstream.slots())
            .sum()
    }

    /// Upstreams that may be sent a request, going only by their state and this entry's
    /// own requests there.
    pub(crate) fn available(&self) -> &[Index] {
        &self.available
    }

    /// Updates the rank of a few upstreams, round robin.
    pub(crate) fn refresh(&mut self, now: Duration) {
        for _ in 0..REFRESHED_PER_CHOICE.min(self.upstreams.len()) {
            self.cursor = (self.cursor + 1) % self.upstreams.len();
            self.rerank(Index(self.cursor as u32), now);
        }
    }

    /// The preferred upstream that is estimated to have a free slot and is not in `avoid`.
    pub(crate) fn preferred(&mut self, avoid: &[Index], now: Duration) -> Option<Index> {
        let mut best: Option<Rank> = None;
        for _ in 0..MAX_TRIED_PER_CHOICE {
            let allowed = |rank: &&Rank| !avoid.contains(&rank.index);
            let rank = *self.order.iter().find(allowed)?;
            let current = self.current_rank(rank.index, now)?;
            self.set_rank(rank.index, current);
            best = Some(best.map_or(current, |best| best.min(current)));
            // The upstream was first in the order and its rank got no worse, so it still is.
            if current <= rank {
                break;
            }
        }
        best.filter(Rank::is_free).map(|rank| rank.index)
    }

    /// The preferred one of `candidates` that is estimated to have a free slot.
    pub(crate) fn preferred_among(&self, candidates: &[Index], now: Duration) -> Option<Index> {
        candidates
            .iter()
            .filter_map(|index| self.current_rank(*index, now))
            .filter(Rank::is_free)
            .min()
            .map(|rank| rank.index)
    }

    /// The upstream's rank by the current estimate, or `None` if it is not available.
    fn current_rank(&self, index: Index, now: Duration) -> Option<Rank> {
        let upstream = self.get(index).filter(|upstream| upstream.is_open())?;
        let mut free = upstream.free_slots(self.mean_share.get(), self.decay_time, now);
        // Assume that the upstream can take a request, whose answer will bring a report.
        if upstream.is_load_unknown(self.decay_time, now) {
            free.expected = free.expected.max(self.min_free_slots);
        }
        Some(Rank::new(index, upstream, free, self.min_free_slots))
    }

    /// Changes an upstream and updates everything derived from it.
    fn update(&mut self, index: Index, now: Duration, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams[index.as_usize()].as_mut() else {
            return;
        };
        let before = upstream.reported_share();
        change(upstream);
        self.mean_share.replace(before, upstream.reported_share());
        self.rerank(index, now);
    }

    fn rerank(&mut self, index: Index, now: Duration) {
        match self.current_rank(index, now) {
            Some(rank) => self.set_rank(index, rank),
            None => self.clear_rank(index),
        }
    }

    fn set_rank(&mut self, index: Index, rank: Rank) {
        let Some(upstream) = self.upstreams[index.as_usize()].as_mut() else {
            return;
        };
        match upstream.rank.replace(rank) {
            Some(old) if old == rank => return,
            Some(old) => {
                self.order.remove(&old);
            }
            None => {
                upstream.available_at = self.available.len();
                self.available.push(index);
            }
        }
        self.order.insert(rank);
    }

    fn clear_rank(&mut self, index: Index) {
        let Some(upstream) = self.upstreams[index.as_usize()].as_mut() else {
            return;
        };
        let Some(old) = upstream.rank.take() else {
            return;
        };
        let position = upstream.available_at;
        self.order.remove(&old);
        self.available.swap_remove(position);
        if let Some(moved) = self.available.get(position).copied() {
            if let Some(upstream) = self.upstreams[moved.as_usize()].as_mut() {
                upstream.available_at = position;
            }
        }
    }

    fn insert(&mut self, upstream: Upstream) -> Index {
        if let Some(index) = self.vacant.pop() {
            self.upstreams[index.as_usize()] = Some(upstream);
            return index;
        }
        self.upstreams.push(Some(upstream));
        Index(self.upstreams.len() as u32 - 1)
    }

    /// Frees the index of a removed upstream once its last request has ended.
    fn reclaim(&mut self, index: Index) {
        let is_unused = |upstream: &Upstream| upstream.is_removed() && upstream.in_flight == 0;
        if !self.get(index).is_some_and(is_unused) {
            return;
        }
        if let Some(upstream) = self.upstreams[index.as_usize()].take() {
            self.names.remove(upstream.node());
            self.vacant.push(index);
        }
    }
}

/// Mean of a value over the upstreams that have one, updated incrementally.
#[derive(Debug, Default)]
struct Mean {
    sum: f64,
    count: u32,
}

impl Mean {
    fn get(&self) -> f64 {
        if self.count == 0 {
            0.0
        } else {
            (self.sum / f64::from(self.count)).max(0.0)
        }
    }

    fn replace(&mut self, before: Option<f64>, after: Option<f64>) {
        self.sum += after.unwrap_or(0.0) - before.unwrap_or(0.0);
        self.count += u32::from(after.is_some());
        self.count -= u32::from(before.is_some());
    }
}

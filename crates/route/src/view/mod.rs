//! What one entry knows of the upstreams of one service.
//!
//! An entry counts its own requests in flight exactly; what other entries run
//! it learns only from the load on answers. That part ages: as it grows older,
//! the estimate moves from what was told towards what is usual at the upstream,
//! because the others' tasks end and the others keep sending. Of upstreams with
//! equal estimates the one with the newer news is preferred, since old news
//! hides more tasks than it reveals free slots.
//!
//! The upstreams are kept in order of preference, so that a choice costs a look
//! at the first one. Ageing would change that order all the time; instead a few
//! upstreams are placed anew with each choice, which costs the same at any size
//! and leaves an order that is at most a few dozen milliseconds old under load.

mod rank;
mod upstream;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use gentian_wire::id::{DataCenter, Node};
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use self::upstream::{Load, Member, Standing, Upstream};

pub(crate) use self::rank::{Free, Rank};

/// How long it takes until what others run has mostly changed, while no run
/// times are known.
const SETTLE: Duration = Duration::from_millis(300);

/// Upstreams placed anew with each choice.
const REFRESHED_PER_CHOICE: usize = 4;

/// Upstreams looked at for one choice when the first ones prove to have less
/// room than when they were placed.
const PLACED_PER_CHOICE: usize = 8;

/// Place of an upstream in a [`LoadView`]; valid until the upstream is removed and
/// its last request has ended.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Index(u32);

impl Index {
    fn at(self) -> usize {
        self.0 as usize
    }
}

/// The upstreams of one service, as one entry knows them.
#[derive(Debug)]
pub struct LoadView {
    entry: u64,
    data_center: DataCenter,
    settle: Duration,
    floor: f64,
    upstreams: Vec<Option<Upstream>>,
    vacant: Vec<Index>,
    names: HashMap<Node, Index>,
    order: BTreeSet<Rank>,
    open: Vec<Index>,
    told: Mean,
    cursor: usize,
}

impl LoadView {
    /// An empty view of the entry with the given name and data centre.
    ///
    /// The name seeds the order in which this entry prefers equal upstreams, so
    /// that entries seldom meet at the same last slot.
    pub fn new(entry: &Node, data_center: DataCenter) -> LoadView {
        LoadView {
            entry: xxh3_64_with_seed(entry.as_str().as_bytes(), 0),
            data_center,
            settle: SETTLE,
            floor: 1.0,
            upstreams: Vec::new(),
            vacant: Vec::new(),
            names: HashMap::new(),
            order: BTreeSet::new(),
            open: Vec::new(),
            told: Mean::default(),
            cursor: 0,
        }
    }

    /// Sets how long it takes until what others run has mostly changed: about
    /// the mean run time of the service.
    pub fn set_decay_time(&mut self, settle: Duration) {
        self.settle = settle.max(Duration::from_millis(1));
    }

    /// Sets how many free slots an upstream must be believed to have before it
    /// is chosen. Below one, requests are sent on a guess.
    pub fn set_min_free_slots(&mut self, floor: f64) {
        self.floor = floor.clamp(f64::MIN_POSITIVE, 1.0);
    }

    /// Adds an upstream, or takes over what changed about a known one, which
    /// may have been removed with requests still in flight.
    ///
    /// A greater incarnation is a restarted upstream: what was told of the
    /// earlier one is dropped. A smaller one is ignored.
    pub fn upsert(&mut self, member: Member, now: Duration) -> Index {
        let near = member.data_center == self.data_center;
        if let Some(index) = self.index_of(&member.node) {
            self.update(index, now, |upstream| upstream.renew(member, near));
            return index;
        }
        let hash = xxh3_64_with_seed(member.node.as_str().as_bytes(), self.entry);
        let name = member.node.clone();
        let index = self.insert(Upstream::new(member, hash, near));
        self.names.insert(name, index);
        self.place(index, now);
        index
    }

    /// Removes an upstream. Its requests in flight are still counted until the
    /// last one has ended.
    pub fn remove(&mut self, node: &Node, now: Duration) {
        let Some(index) = self.index_of(node) else {
            return;
        };
        self.update(index, now, Upstream::retire);
        self.reclaim(index);
    }

    /// Counts a request sent to the upstream.
    pub fn record_start(&mut self, index: Index, now: Duration) {
        self.update(index, now, |upstream| upstream.in_flight += 1);
    }

    /// Counts the end of a request that was sent to the upstream, with the load
    /// that the answer told, if there was an answer. `true` where the slot
    /// that it frees can be used again.
    pub fn record_end(&mut self, index: Index, load: Option<Load>, now: Duration) -> bool {
        self.update(index, now, |upstream| {
            upstream.in_flight = upstream.in_flight.saturating_sub(1);
            if let Some(load) = load {
                upstream.learn(load, now);
            }
        });
        let open = self.get(index).is_some_and(Upstream::is_open);
        self.reclaim(index);
        open
    }

    /// Changes whether the upstream takes part, is on trial or is ejected.
    pub fn set_standing(&mut self, index: Index, standing: Standing, now: Duration) {
        self.update(index, now, |upstream| upstream.standing = standing);
    }

    /// The upstream at `index`.
    pub fn get(&self, index: Index) -> Option<&Upstream> {
        self.upstreams.get(index.at())?.as_ref()
    }

    /// Where the upstream of this name is.
    pub fn index_of(&self, node: &Node) -> Option<Index> {
        self.names.get(node).copied()
    }

    /// Every known upstream, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Index, &Upstream)> {
        self.names
            .values()
            .filter_map(|index| Some((*index, self.get(*index)?)))
            .filter(|(_, upstream)| !upstream.is_retired())
    }

    /// Slots believed free at the upstream; negative where requests wait there.
    pub fn free_slots(&self, index: Index, now: Duration) -> Option<f64> {
        let upstream = self.get(index)?;
        Some(upstream.free(self.told.get(), self.settle, now).likely)
    }

    /// Most slots that any upstream that may take work has: a task that needs
    /// more can never run.
    pub fn max_slots(&self) -> u32 {
        self.iter()
            .filter(|(_, upstream)| upstream.takes_work())
            .map(|(_, upstream)| upstream.slots())
            .max()
            .unwrap_or(0)
    }

    /// Slots of all upstreams that may take work.
    pub fn total_slots(&self) -> u32 {
        self.iter()
            .filter(|(_, upstream)| upstream.takes_work())
            .map(|(_, upstream)| upstream.slots())
            .sum()
    }

    /// Upstreams that may be sent a request as far as this entry's own count
    /// and their state go.
    pub(crate) fn open(&self) -> &[Index] {
        &self.open
    }

    /// Places a few upstreams anew, each in its turn.
    pub(crate) fn refresh(&mut self, now: Duration) {
        for _ in 0..REFRESHED_PER_CHOICE.min(self.upstreams.len()) {
            self.cursor = (self.cursor + 1) % self.upstreams.len();
            self.place(Index(self.cursor as u32), now);
        }
    }

    /// The preferred upstream that is believed to have a free slot, without
    /// those in `avoid`.
    pub(crate) fn first(&mut self, avoid: &[Index], now: Duration) -> Option<Index> {
        let mut best: Option<Rank> = None;
        for _ in 0..PLACED_PER_CHOICE {
            let allowed = |rank: &&Rank| !avoid.contains(&rank.index);
            let rank = *self.order.iter().find(allowed)?;
            let fresh = self.rank(rank.index, now)?;
            self.move_to(rank.index, fresh);
            best = Some(best.map_or(fresh, |best| best.min(fresh)));
            if fresh <= rank {
                break;
            }
        }
        best.filter(Rank::is_free).map(|rank| rank.index)
    }

    /// The preferred one of `candidates` that is believed to have a free slot.
    pub(crate) fn first_of(&self, candidates: &[Index], now: Duration) -> Option<Index> {
        candidates
            .iter()
            .filter_map(|index| self.rank(*index, now))
            .filter(Rank::is_free)
            .min()
            .map(|rank| rank.index)
    }

    fn rank(&self, index: Index, now: Duration) -> Option<Rank> {
        let upstream = self.get(index).filter(|upstream| upstream.is_open())?;
        let mut free = upstream.free(self.told.get(), self.settle, now);
        if upstream.is_unknown(self.settle, now) {
            free.likely = free.likely.max(self.floor);
        }
        Some(Rank::new(index, upstream, free, self.floor))
    }

    fn update(&mut self, index: Index, now: Duration, change: impl FnOnce(&mut Upstream)) {
        let Some(upstream) = self.upstreams[index.at()].as_mut() else {
            return;
        };
        let before = upstream.told_share();
        change(upstream);
        self.told.replace(before, upstream.told_share());
        self.place(index, now);
    }

    fn place(&mut self, index: Index, now: Duration) {
        match self.rank(index, now) {
            Some(rank) => self.move_to(index, rank),
            None => self.close(index),
        }
    }

    fn move_to(&mut self, index: Index, rank: Rank) {
        let Some(upstream) = self.upstreams[index.at()].as_mut() else {
            return;
        };
        match upstream.placed.replace(rank) {
            Some(old) if old == rank => return,
            Some(old) => {
                self.order.remove(&old);
            }
            None => {
                upstream.opened = self.open.len();
                self.open.push(index);
            }
        }
        self.order.insert(rank);
    }

    fn close(&mut self, index: Index) {
        let Some(upstream) = self.upstreams[index.at()].as_mut() else {
            return;
        };
        let Some(old) = upstream.placed.take() else {
            return;
        };
        let opened = upstream.opened;
        self.order.remove(&old);
        self.open.swap_remove(opened);
        if let Some(moved) = self.open.get(opened).copied() {
            if let Some(upstream) = self.upstreams[moved.at()].as_mut() {
                upstream.opened = opened;
            }
        }
    }

    fn insert(&mut self, upstream: Upstream) -> Index {
        if let Some(index) = self.vacant.pop() {
            self.upstreams[index.at()] = Some(upstream);
            return index;
        }
        self.upstreams.push(Some(upstream));
        Index(self.upstreams.len() as u32 - 1)
    }

    fn reclaim(&mut self, index: Index) {
        let done = |upstream: &Upstream| upstream.is_retired() && upstream.in_flight == 0;
        if !self.get(index).is_some_and(done) {
            return;
        }
        if let Some(upstream) = self.upstreams[index.at()].take() {
            self.names.remove(upstream.node());
            self.vacant.push(index);
        }
    }
}

/// Mean share of slots that others use, over the upstreams that told it.
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

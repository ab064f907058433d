//! Order in which upstreams are preferred.

use std::cmp::Reverse;

use super::{Index, Upstream};

/// Free slots, by the cautious estimate, from which an upstream counts as having spare
/// capacity even if other entries are sending to it too.
const SPARE_SLOTS: f64 = 1.0;

/// Resolution at which free slots are compared. Upstreams within the same step are
/// ordered by hash, which differs between entries.
const STEPS_PER_SLOT: f64 = 2.0;

/// Tolerance for rounding errors, so that one free slot counts as one.
const EPSILON_SLOTS: f64 = 1e-6;

/// Position of an upstream in the order of preference; the smallest is preferred.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    tier: Tier,
    steps: Reverse<i32>,
    hash: u64,
    pub(crate) index: Index,
}

/// Coarsest level of the order of preference.
///
/// A round trip to another data centre costs less than waiting for a slot, but more than
/// nothing. So near upstreams come first while they have spare capacity, and remote ones
/// with spare capacity come before near ones that may be full.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    NearSpare,
    RemoteSpare,
    NearTight,
    RemoteTight,
    Full,
}

/// Estimate of the free slots at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FreeSlots {
    /// Expected number.
    pub(crate) expected: f64,
    /// Number if other entries run one standard deviation more than expected.
    pub(crate) cautious: f64,
}

impl Rank {
    pub(crate) fn new(
        index: Index,
        upstream: &Upstream,
        free: FreeSlots,
        min_free_slots: f64,
    ) -> Rank {
        let cautious = free.cautious + EPSILON_SLOTS;
        Rank {
            tier: Tier::of(upstream.is_near(), free, min_free_slots),
            steps: Reverse((cautious * STEPS_PER_SLOT).floor() as i32),
            hash: upstream.hash(),
            index,
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.tier != Tier::Full
    }
}

impl Tier {
    fn of(near: bool, free: FreeSlots, min_free_slots: f64) -> Tier {
        let spare = free.cautious + EPSILON_SLOTS >= SPARE_SLOTS;
        match near {
            _ if free.expected + EPSILON_SLOTS < min_free_slots => Tier::Full,
            true if spare => Tier::NearSpare,
            false if spare => Tier::RemoteSpare,
            true => Tier::NearTight,
            false => Tier::RemoteTight,
        }
    }
}

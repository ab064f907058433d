//! Order of preference among upstreams.

use std::cmp::Reverse;

use super::{Index, Upstream};

/// Free slots, by a cautious estimate, from which an upstream is preferred
/// without regard to others that may be sending there too.
const ROOMY_SLOTS: f64 = 1.0;

/// Steps into which a slot is divided when free slots are compared; within a
/// step the entry's own order decides.
const STEPS_PER_SLOT: f64 = 2.0;

/// Makes up for rounding, so that one free slot counts as one.
const ROUNDING_SLOTS: f64 = 1e-6;

/// Place in the order: the smallest is the preferred one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Rank {
    tier: Tier,
    steps: Reverse<i32>,
    hash: u64,
    pub(crate) index: Index,
}

/// A round trip to another data centre costs less than a wait for a slot, and
/// more than nothing: near upstreams go first while they have room to spare.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Tier {
    NearRoomy,
    FarRoomy,
    NearLast,
    FarLast,
    Full,
}

/// Slots believed free at an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Free {
    /// The likeliest number.
    pub(crate) likely: f64,
    /// The number if others run more than that by a standard deviation.
    pub(crate) cautious: f64,
}

impl Rank {
    pub(crate) fn new(index: Index, upstream: &Upstream, free: Free, floor: f64) -> Rank {
        let cautious = free.cautious + ROUNDING_SLOTS;
        Rank {
            tier: Tier::of(upstream.is_near(), free, floor),
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
    fn of(near: bool, free: Free, floor: f64) -> Tier {
        let roomy = free.cautious + ROUNDING_SLOTS >= ROOMY_SLOTS;
        match near {
            _ if free.likely + ROUNDING_SLOTS < floor => Tier::Full,
            true if roomy => Tier::NearRoomy,
            false if roomy => Tier::FarRoomy,
            true => Tier::NearLast,
            false => Tier::FarLast,
        }
    }
}

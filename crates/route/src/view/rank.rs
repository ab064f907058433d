//! Order of preference among upstreams.

use std::cmp::Reverse;

use super::{Index, Upstream};

/// Free slots from which an upstream is preferred without regard to others that
/// may be sending there too.
const ROOMY_SLOTS: f64 = 2.0;

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

impl Rank {
    pub(crate) fn new(index: Index, upstream: &Upstream, free: f64, floor: f64) -> Rank {
        let free = free + ROUNDING_SLOTS;
        Rank {
            tier: Tier::of(upstream.is_near(), free, floor),
            steps: Reverse((free * STEPS_PER_SLOT).floor() as i32),
            hash: upstream.hash(),
            index,
        }
    }

    pub(crate) fn is_free(&self) -> bool {
        self.tier != Tier::Full
    }
}

impl Tier {
    fn of(near: bool, free: f64, floor: f64) -> Tier {
        match near {
            _ if free < floor => Tier::Full,
            true if free >= ROOMY_SLOTS => Tier::NearRoomy,
            false if free >= ROOMY_SLOTS => Tier::FarRoomy,
            true => Tier::NearLast,
            false => Tier::FarLast,
        }
    }
}

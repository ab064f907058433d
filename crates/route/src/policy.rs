//! Load balancing policies: the choice of an upstream for one request.
//!
//! [`MostFreeSlots`] is the policy in use; [`Random`] and [`PowerOfTwoChoices`] are
//! baselines to compare it with. If no upstream is estimated to have a free slot,
//! the request waits at the entry. There it can still be cancelled, shed or sent to
//! whichever upstream frees a slot first, while a request that waits at an agent is
//! bound to that agent.

use std::time::Duration;

use rand::Rng;

use crate::view::{Index, LoadView};

/// Chooses an upstream for one request.
///
/// A policy never chooses an upstream that is leaving, ejected or disallowed by the
/// configuration, or that already has as many requests of this entry as it has slots
/// or connections. Nor does it choose one in `avoid`, the upstreams that have refused
/// the request before.
pub trait Policy {
    /// Returns the chosen upstream, or `None` if the request should wait.
    fn choose<R: Rng>(
        &self,
        view: &mut LoadView,
        avoid: &[Index],
        now: Duration,
        rng: &mut R,
    ) -> Option<Index>;
}

/// Chooses an available upstream uniformly at random, regardless of its load.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Policy for Random {
    fn choose<R: Rng>(
        &self,
        view: &mut LoadView,
        avoid: &[Index],
        _now: Duration,
        rng: &mut R,
    ) -> Option<Index> {
        draw_random(view.available(), avoid, rng)
    }
}

/// Chooses the less loaded of two upstreams drawn at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwoChoices;

impl Policy for PowerOfTwoChoices {
    fn choose<R: Rng>(
        &self,
        view: &mut LoadView,
        avoid: &[Index],
        now: Duration,
        rng: &mut R,
    ) -> Option<Index> {
        let first = draw_random(view.available(), avoid, rng)?;
        let second = draw_random(view.available(), avoid, rng)?;
        if view.free_slots(second, now) > view.free_slots(first, now) {
            Some(second)
        } else {
            Some(first)
        }
    }
}

/// Chooses the upstream with the most free slots by estimate, preferring those in the
/// entry's own data centre.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostFreeSlots;

impl MostFreeSlots {
    /// Chooses among `candidates` only, for tasks that may not run anywhere else.
    pub fn choose_among(
        &self,
        view: &LoadView,
        candidates: &[Index],
        now: Duration,
    ) -> Option<Index> {
        view.preferred_among(candidates, now)
    }
}

impl Policy for MostFreeSlots {
    fn choose<R: Rng>(
        &self,
        view: &mut LoadView,
        avoid: &[Index],
        now: Duration,
        _rng: &mut R,
    ) -> Option<Index> {
        view.refresh(now);
        view.preferred(avoid, now)
    }
}

fn draw_random<R: Rng>(available: &[Index], avoid: &[Index], rng: &mut R) -> Option<Index> {
    if avoid.is_empty() {
        return available
            .get(rng.random_range(0..available.len().max(1)))
            .copied();
    }
    let rest: Vec<Index> = available
        .iter()
        .filter(|index| !avoid.contains(index))
        .copied()
        .collect();
    rest.get(rng.random_range(0..rest.len().max(1))).copied()
}

//! Policies that choose the upstream for one request.
//!
//! [`MostFreeSlots`] is the one in use. [`Random`] and [`PowerOfTwoChoices`] are what it is
//! measured against. A request for which no slot is believed free gets no
//! upstream and waits at the entry, where it can still be cancelled, shed or
//! sent to whichever upstream frees a slot first; once it waits at an agent it
//! is bound to that agent's next free slot.

use std::time::Duration;

use rand::Rng;

use crate::view::{Index, LoadView};

/// Chooses an upstream for one request.
///
/// The choice never names an upstream that is leaving, ejected, not allowed or
/// already has as many requests of this entry as it has slots or connections,
/// nor one of `avoid`, where the request has been refused before.
pub trait Policy {
    /// The chosen upstream, or nothing where the request should wait.
    fn choose<R: Rng>(
        &self,
        view: &mut LoadView,
        avoid: &[Index],
        now: Duration,
        rng: &mut R,
    ) -> Option<Index>;
}

/// Any upstream, without regard to load.
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
        draw(view.open(), avoid, rng)
    }
}

/// The less loaded of two upstreams drawn at random.
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
        let first = draw(view.open(), avoid, rng)?;
        let second = draw(view.open(), avoid, rng)?;
        if view.free_slots(second, now) > view.free_slots(first, now) {
            Some(second)
        } else {
            Some(first)
        }
    }
}

/// The upstream with the most slots believed free, near ones first.
#[derive(Clone, Copy, Debug, Default)]
pub struct MostFreeSlots;

impl MostFreeSlots {
    /// Chooses among `candidates` only: for tasks that may run nowhere else.
    pub fn choose_among(
        &self,
        view: &LoadView,
        candidates: &[Index],
        now: Duration,
    ) -> Option<Index> {
        view.first_of(candidates, now)
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
        view.first(avoid, now)
    }
}

fn draw<R: Rng>(open: &[Index], avoid: &[Index], rng: &mut R) -> Option<Index> {
    if avoid.is_empty() {
        return open.get(rng.random_range(0..open.len().max(1))).copied();
    }
    let rest: Vec<Index> = open
        .iter()
        .filter(|index| !avoid.contains(index))
        .copied()
        .collect();
    rest.get(rng.random_range(0..rest.len().max(1))).copied()
}

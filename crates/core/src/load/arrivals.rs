//! When requests start and how long they run, from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Mixture, Plan};

/// One request of the load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Its place in the load, from 0.
    pub(super) number: u64,
    /// Intended start, since the start of the load.
    pub(super) at: Duration,
    /// How long its task runs.
    pub(super) run: Duration,
}

/// Poisson arrivals at a given rate until the end of the load.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    rng: Pcg64Mcg,
    rate: f64,
    end: Duration,
    mixture: Mixture,
    next: u64,
    at: Duration,
}

impl Arrivals {
    pub(super) fn new(plan: &Plan) -> Arrivals {
        Arrivals {
            rng: Pcg64Mcg::seed_from_u64(plan.seed()),
            rate: plan.rate().get(),
            end: plan.warmup() + plan.duration(),
            mixture: plan.mixture(),
            next: 0,
            at: Duration::ZERO,
        }
    }

    /// Draws an exponential gap by the inverse of its distribution.
    fn gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = self.gap();
        self.at += gap;
        if self.at >= self.end {
            return None;
        }
        let number = self.next;
        self.next += 1;
        Some(Arrival {
            number,
            at: self.at,
            run: self.mixture.draw(&mut self.rng),
        })
    }
}

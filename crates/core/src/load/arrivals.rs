//! Start times and run times of requests, generated from a seed.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Plan, RunTimes};

/// Start time and run time of one request or job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Arrival {
    /// Index of the request in the load, from 0.
    pub(super) index: u64,
    /// Scheduled start, relative to the start of the load.
    pub(super) offset: Duration,
    /// Run time of the task of a single request; jobs draw their own.
    pub(super) run_time: Duration,
}

/// Generates Poisson arrivals at a constant rate until the end of the load.
#[derive(Clone, Debug)]
pub(super) struct Arrivals {
    rng: Pcg64Mcg,
    rate: f64,
    end: Duration,
    run_times: RunTimes,
    next_index: u64,
    offset: Duration,
}

impl Arrivals {
    pub(super) fn new(plan: &Plan) -> Arrivals {
        Arrivals {
            rng: Pcg64Mcg::seed_from_u64(plan.seed()),
            rate: plan.rate().get(),
            end: plan.warmup() + plan.duration(),
            run_times: plan.run_times(),
            next_index: 0,
            offset: Duration::ZERO,
        }
    }

    /// Draws an exponentially distributed gap by inverse transform sampling.
    fn gap(&mut self) -> Duration {
        let uniform: f64 = self.rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.rate)
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap = self.gap();
        self.offset += gap;
        if self.offset >= self.end {
            return None;
        }
        let index = self.next_index;
        self.next_index += 1;
        Some(Arrival {
            index,
            offset: self.offset,
            run_time: self.run_times.draw(&mut self.rng),
        })
    }
}

//! Capacity that is kept free for urgent jobs.
//!
//! The load that this answers: nearly all capacity is in use, and many schedulers share it.
//! An urgent job with many short tasks goes first in its scheduler's queue, but the capacity
//! that it needs is held by less urgent tasks, and what they release is taken by those of
//! other schedulers. It then starts one task after the other and is late, or is refused.
//! Therefore a less urgent job starts only while as much stays free as more urgent jobs are
//! expected to need within the time for which they may wait.

use std::collections::BTreeMap;
use std::time::Duration;

/// Time constant with which arrivals are averaged.
const MEMORY: Duration = Duration::from_secs(2);

/// How many times the expected need is kept free, since jobs arrive in clusters.
const MARGIN: f64 = 2.0;

/// A job that has waited for this many times as long as more urgent ones may wait is no longer
/// held back for them.
const PATIENCE: u32 = 2;

/// Largest share of the capacity that is kept free.
const MAX_SHARE: f64 = 0.1;

/// What the jobs of one priority need, those that arrived earlier counting less.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Decaying sum over the jobs that have arrived: their cores times the seconds that they
    /// may wait.
    core_seconds: f64,
    /// How long the last job might wait.
    max_wait: Duration,
    updated_at: Duration,
}

impl Demand {
    /// The sum as it has decayed until now.
    fn core_seconds_at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.core_seconds * (-age.div_duration_f64(MEMORY)).exp()
    }
}

/// The demand of each priority, and what follows for the others.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    demands: BTreeMap<u32, Demand>,
}

impl Headroom {
    /// Adds a job that has arrived: its priority, of which smaller ones are more urgent, the
    /// cores that its tasks need together, and how long it may wait for them.
    pub fn observe(&mut self, priority: u32, cores: f64, max_wait: Duration, now: Duration) {
        let demand = self.demands.entry(priority).or_default();
        demand.core_seconds = demand.core_seconds_at(now) + cores * max_wait.as_secs_f64();
        demand.max_wait = max_wait;
        demand.updated_at = demand.updated_at.max(now);
    }

    /// Number of cores, of `total`, that are kept free from a job of this priority that has
    /// `waited` so long: it may start while at least as many are free.
    pub fn kept(&self, priority: u32, waited: Duration, total: f64, now: Duration) -> f64 {
        let more_urgent = self.demands.range(..priority).map(|(_, demand)| demand);
        let holding_back = more_urgent.filter(|demand| waited < PATIENCE * demand.max_wait);
        let core_seconds: f64 = holding_back.map(|demand| demand.core_seconds_at(now)).sum();
        // Divided by the time constant, the decayed sum is a rate of arrival: what arrives
        // within the time that one job may wait.
        let expected = core_seconds / MEMORY.as_secs_f64();
        (MARGIN * expected).min(MAX_SHARE * total)
    }
}

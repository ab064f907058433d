//! How fast an upstream works, by the progress of all that runs there.
//!
//! A run alone can't tell whether it is long or its upstream slow. All of them
//! together can, and sooner than the first of them ends.

use std::time::Duration;

/// Time after which what was seen weighs a third.
const MEMORY: Duration = Duration::from_millis(500);

/// Time of runs that must have been seen before anything is told.
const ENOUGH: f64 = 0.25;

/// Slowest pace that is told.
const SLOWEST: f64 = 20.0;

/// How fast an upstream works.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Expected time of the work done, in seconds.
    work: f64,
    /// Time that runs took for it, in seconds.
    time: f64,
    at: Duration,
}

impl Pace {
    /// Takes in the work that all runs did since the last time, and the time
    /// that they took.
    pub(super) fn observe(&mut self, work: f64, time: f64, now: Duration) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        let kept = (-since / MEMORY.as_secs_f64()).exp();
        self.work = self.work * kept + work;
        self.time = self.time * kept + time;
        self.at = now;
    }

    /// The time that runs take over what was expected, if enough were seen.
    pub(super) fn get(&self) -> Option<f64> {
        let known = self.time >= ENOUGH;
        known.then(|| (self.time / self.work.max(1e-9)).min(SLOWEST))
    }
}

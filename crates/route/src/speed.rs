//! How fast upstreams run tasks, learned from the runs that they complete.
//!
//! Upstreams of one service may differ in speed permanently, as instances of several kinds
//! do. A slow one is not faulty: its speed is averaged over many runs, so that a task can be
//! placed by when it would end.

use std::time::Duration;

/// Number of runs over which the speed is averaged.
const MEMORY_RUNS: f64 = 64.0;

/// Weight, in runs, of the prior that an upstream is an average one.
const PRIOR_RUNS: f64 = 4.0;

/// Range to which the ratio of one run is clamped: declared run times may be far off.
const RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// The speed of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    /// Average logarithm of the ratio of actual to expected run times.
    log_ratio: f64,
    /// Number of runs in the average, at most [`MEMORY_RUNS`].
    runs: f64,
}

impl Speed {
    /// Adds a completed run, which was expected to take `expected` at an average upstream.
    pub fn observe(&mut self, run: Duration, expected: Duration) {
        let ratio = run.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let ratio = ratio.clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end());
        self.runs = (self.runs + 1.0).min(MEMORY_RUNS);
        self.log_ratio += (ratio.ln() - self.log_ratio) / self.runs;
    }

    /// Logarithm of the ratio of run times here to those at an average upstream. Near 0
    /// while few runs are known.
    pub fn log_ratio(&self) -> f64 {
        self.log_ratio * self.runs / (self.runs + PRIOR_RUNS)
    }
}

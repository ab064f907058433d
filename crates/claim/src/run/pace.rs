//! Estimates how fast an upstream works, by the progress of all its runs.
//!
//! The progress of one run doesn't show whether its task is long or the upstream
//! slow. The progress of all runs together does, and does so before the first of
//! them ends.

use std::time::Duration;

/// Time after which the weight of an observation has decayed to 1/e.
const DECAY: Duration = Duration::from_millis(500);

/// Observed run time, in seconds, below which the pace counts as unknown.
const MIN_OBSERVED: f64 = 0.25;

/// Upper bound of the pace.
const MAX_PACE: f64 = 20.0;

/// Decaying sums of expected and actual run time at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pace {
    /// Time that the observed progress was expected to take, in seconds.
    expected: f64,
    /// Time that the observed progress took, in seconds.
    actual: f64,
    /// Time of the last observation.
    observed_at: Duration,
}

impl Pace {
    /// Adds the progress of all runs since the last observation: the time that
    /// it was expected to take and the time that it took, in seconds.
    pub(super) fn observe(&mut self, expected: f64, actual: f64, now: Duration) {
        let since = now.saturating_sub(self.observed_at).as_secs_f64();
        let kept = (-since / DECAY.as_secs_f64()).exp();
        self.expected = self.expected * kept + expected;
        self.actual = self.actual * kept + actual;
        self.observed_at = now;
    }

    /// Ratio of the actual to the expected run time, if enough was observed.
    pub(super) fn get(&self) -> Option<f64> {
        let known = self.actual >= MIN_OBSERVED;
        known.then(|| (self.actual / self.expected.max(1e-9)).min(MAX_PACE))
    }
}

//! How long a refused caller should wait before it retries.
//!
//! The time is derived from the rate at which the queue drains. Part of it is
//! random, so that callers refused together do not all retry together.

use std::time::Duration;

use rand::Rng;

const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Largest random addition, as a share of the expected wait.
const JITTER: f64 = 0.5;

/// Weight of the newest gap between two starts in the moving average.
const GAP_WEIGHT: f64 = 0.05;

/// Number of gaps from which the measured rate replaces the given estimate.
const MIN_GAPS: u32 = 20;

/// When nothing has started for this many mean gaps, the rate is lowered.
const STALL_GAPS: f64 = 8.0;

/// Rate at which requests leave a queue, measured while requests wait in it.
///
/// Only gaps between starts during which the queue stayed occupied are counted:
/// the rate at which requests pass an empty queue reflects the demand, not the
/// capacity.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    /// Moving average of the gaps between starts, in seconds.
    mean_gap: f64,
    /// Gaps observed, counted up to [`MIN_GAPS`].
    gaps: u32,
    /// Time of the last start, if it left the queue occupied.
    last_start: Option<Duration>,
    estimate: f64,
}

impl DrainRate {
    /// Sets the starts per second to assume until enough have been observed: the
    /// number of requests that can be in flight divided by their mean run time.
    pub fn set_estimate(&mut self, per_second: f64) {
        if per_second.is_finite() && per_second >= 0.0 {
            self.estimate = per_second;
        }
    }

    /// Records the start of a request; `occupied` tells whether others still wait.
    pub fn record_start(&mut self, occupied: bool, now: Duration) {
        if let Some(last) = self.last_start {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.mean_gap += (gap - self.mean_gap) * GAP_WEIGHT.max(1.0 / f64::from(self.gaps + 1));
            self.gaps = self.gaps.saturating_add(1).min(MIN_GAPS);
        }
        self.last_start = occupied.then_some(now);
    }

    /// Starts per second, or `None` if there are neither enough observations nor
    /// an estimate.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        if self.gaps < MIN_GAPS {
            return (self.estimate > 0.0).then_some(self.estimate);
        }
        let since = self
            .last_start
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        let gap = self.mean_gap.max(since.as_secs_f64() / STALL_GAPS);
        (gap > 0.0).then(|| 1.0 / gap)
    }

    /// Expected time until `count` more requests have started, or `None` if the
    /// rate is unknown.
    pub fn time_to_start(&self, count: usize, now: Duration) -> Option<Duration> {
        let seconds = count as f64 / self.rate(now)?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Time after which a refused caller should retry: `wait`, the expected time until
/// there is capacity, plus jitter.
pub fn retry_after<R: Rng>(wait: Duration, rng: &mut R) -> Duration {
    let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    wait.mul_f64(1.0 + JITTER * rng.random::<f64>())
        .min(MAX_RETRY_AFTER)
}

//! When a refused caller should come back.
//!
//! The time follows from how fast the queue drains. Part of it is random, so
//! that callers refused together do not return together.

use std::time::Duration;

use rand::Rng;

const SHORTEST: Duration = Duration::from_millis(20);
const LONGEST: Duration = Duration::from_secs(30);

/// Part of the time that is random.
const JITTER: f64 = 0.5;

/// Weight of the newest gap between two starts.
const GAP_WEIGHT: f64 = 0.05;

/// Gaps seen before they are believed more than the estimate that was given.
const ENOUGH: u32 = 20;

/// Usual gaps without a start from which a queue counts as draining slower.
const STALL_GAPS: f64 = 8.0;

/// How fast a queue drains while something waits in it.
///
/// Only gaps between starts from a queue that stayed occupied count: what an
/// empty queue lets through tells the demand, not the capacity.
#[derive(Clone, Debug, Default)]
pub struct DrainRate {
    gap: f64,
    gaps: u32,
    last: Option<Duration>,
    estimate: f64,
}

impl DrainRate {
    /// Sets the starts per second to expect until enough have been seen: the
    /// requests that can be in flight over their mean run time.
    pub fn set_estimate(&mut self, per_second: f64) {
        if per_second.is_finite() && per_second >= 0.0 {
            self.estimate = per_second;
        }
    }

    /// Counts a start, after which the queue is `occupied` or empty.
    pub fn record_start(&mut self, occupied: bool, now: Duration) {
        if let Some(last) = self.last {
            let gap = now.saturating_sub(last).as_secs_f64();
            self.gap += (gap - self.gap) * GAP_WEIGHT.max(1.0 / f64::from(self.gaps + 1));
            self.gaps = self.gaps.saturating_add(1).min(ENOUGH);
        }
        self.last = occupied.then_some(now);
    }

    /// Starts per second, or nothing while nothing is known.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        if self.gaps < ENOUGH {
            return (self.estimate > 0.0).then_some(self.estimate);
        }
        let since = self
            .last
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        let gap = self.gap.max(since.as_secs_f64() / STALL_GAPS);
        (gap > 0.0).then(|| 1.0 / gap)
    }

    /// Time until `count` more have started, or nothing while no rate is known.
    pub fn time_to_start(&self, count: usize, now: Duration) -> Option<Duration> {
        let seconds = count as f64 / self.rate(now)?;
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Time to tell a refused caller, where `wait` is how long it would take until
/// there is room again.
pub fn retry_after<R: Rng>(wait: Duration, rng: &mut R) -> Duration {
    let wait = wait.clamp(SHORTEST, LONGEST);
    wait.mul_f64(1.0 + JITTER * rng.random::<f64>())
        .min(LONGEST)
}

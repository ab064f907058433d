//! How often jobs of each queue are started at an upstream.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::QueueRate;

/// Time over which starts are averaged.
const WINDOW: Duration = Duration::from_secs(5);

/// Rates below this are forgotten.
const MIN_RATE: f64 = 0.01;

/// Largest number of queues whose rates are kept.
const MAX_QUEUES: usize = 64;

/// Moving averages of the starts a second, by queue.
#[derive(Clone, Debug, Default)]
pub struct StartRates {
    rates: BTreeMap<Arc<str>, f64>,
    updated_at: Duration,
}

impl StartRates {
    /// Counts a start of one or more tasks of a job.
    pub fn record(&mut self, queue: &Arc<str>, now: Duration) {
        self.decay(now);
        if self.rates.len() < MAX_QUEUES || self.rates.contains_key(queue) {
            *self.rates.entry(queue.clone()).or_default() += 1.0 / WINDOW.as_secs_f64();
        }
    }

    /// The rates now.
    pub fn rates(&mut self, now: Duration) -> Vec<QueueRate> {
        self.decay(now);
        let rates = self.rates.iter().map(|(queue, rate)| QueueRate {
            queue: queue.clone(),
            starts_per_s: *rate,
        });
        rates.collect()
    }

    fn decay(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        let kept = (-elapsed.as_secs_f64() / WINDOW.as_secs_f64()).exp();
        self.rates.retain(|_, rate| {
            *rate *= kept;
            *rate > MIN_RATE
        });
    }
}

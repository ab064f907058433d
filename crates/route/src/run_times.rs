//! Run times learned from completed tasks, since declared ones are often far off.
//!
//! Each distribution is a histogram with logarithmic buckets in which older samples
//! weigh less. It yields any quantile to within a fifth in a fixed amount of memory.
//! A moving average would not do: stragglers and the time that remains for a request
//! are judged by the tail of the distribution.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

const BUCKETS_PER_OCTAVE: f64 = 4.0;
const BUCKETS: usize = 96;
/// Upper bound of the first bucket.
const MIN_RUN_TIME: Duration = Duration::from_micros(100);

/// Number of further samples after which the weight of a sample has fallen to about a
/// third (1/e).
const DECAY_SAMPLES: f64 = 1000.0;

/// Number of samples below which no mean or quantile is reported.
const MIN_SAMPLES: u64 = 10;

/// Weight of the next sample above which all weights are scaled down, so that they
/// don't overflow.
const MAX_WEIGHT: f64 = 1e9;

/// Distribution of the run times of one kind of task.
#[derive(Clone, Debug)]
pub struct RunTimes {
    /// Sum of the sample weights in each bucket.
    weights: [f64; BUCKETS],
    total_weight: f64,
    /// Weighted sum of the run times, in seconds.
    weighted_sum: f64,
    /// Weight of the next sample; grows so that older samples count less.
    next_weight: f64,
    count: u64,
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes {
            weights: [0.0; BUCKETS],
            total_weight: 0.0,
            weighted_sum: 0.0,
            next_weight: 1.0,
            count: 0,
        }
    }
}

impl RunTimes {
    /// Records the run time of a task that ran to completion.
    pub fn observe(&mut self, run: Duration) {
        self.weights[bucket_index(run)] += self.next_weight;
        self.total_weight += self.next_weight;
        self.weighted_sum += self.next_weight * run.as_secs_f64();
        self.next_weight *= 1.0 + 1.0 / DECAY_SAMPLES;
        self.count += 1;
        if self.next_weight > MAX_WEIGHT {
            self.scale_down();
        }
    }

    /// Mean run time, or `None` while there are too few samples.
    pub fn mean(&self) -> Option<Duration> {
        self.has_enough_samples()
            .then(|| Duration::from_secs_f64(self.weighted_sum / self.total_weight))
    }

    /// The given quantile of the run time, rounded up to a bucket boundary, or `None`
    /// while there are too few samples.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if !self.has_enough_samples() {
            return None;
        }
        let target_weight = quantile.clamp(0.0, 1.0) * self.total_weight;
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            below += weight;
            if below >= target_weight && *weight > 0.0 {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }

    /// Whether there are enough samples to report a mean and quantiles.
    pub fn has_enough_samples(&self) -> bool {
        self.count >= MIN_SAMPLES
    }

    /// Number of samples recorded.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn scale_down(&mut self) {
        let factor = 1.0 / self.next_weight;
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.total_weight *= factor;
        self.weighted_sum *= factor;
        self.next_weight = 1.0;
    }
}

/// Run time distributions by kind of task, for a bounded number of kinds.
#[derive(Debug)]
pub struct Table<K> {
    kinds: HashMap<K, RunTimes>,
    all: RunTimes,
    capacity: usize,
}

impl<K: Eq + Hash> Table<K> {
    /// Creates a table of up to `capacity` kinds. Any further kind gets the
    /// distribution over all tasks.
    pub fn new(capacity: usize) -> Table<K> {
        Table {
            kinds: HashMap::new(),
            all: RunTimes::default(),
            capacity,
        }
    }

    /// Records the run time of a task of this kind that ran to completion.
    pub fn observe(&mut self, kind: K, run: Duration) {
        self.all.observe(run);
        if self.kinds.len() < self.capacity || self.kinds.contains_key(&kind) {
            self.kinds.entry(kind).or_default().observe(run);
        }
    }

    /// The distribution for this kind, or the one over all tasks if the kind has too few
    /// samples.
    pub fn get(&self, kind: &K) -> &RunTimes {
        self.kinds
            .get(kind)
            .filter(|run_times| run_times.has_enough_samples())
            .unwrap_or(&self.all)
    }

    /// The distribution over all tasks.
    pub fn all(&self) -> &RunTimes {
        &self.all
    }
}

fn bucket_index(run: Duration) -> usize {
    let ratio = run.as_secs_f64() / MIN_RUN_TIME.as_secs_f64();
    let octaves = ratio.max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1)
}

fn upper_bound(index: usize) -> Duration {
    MIN_RUN_TIME.mul_f64((index as f64 / BUCKETS_PER_OCTAVE).exp2())
}

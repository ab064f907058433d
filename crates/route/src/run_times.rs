//! Run times learned from answers, since declared ones are often far off.
//!
//! A histogram over logarithmic buckets in which older observations weigh less.
//! It answers any quantile within a fifth and costs a fixed amount of memory;
//! an exponential mean alone would tell nothing of the tail, which is what
//! stragglers and the time left are judged by.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

const BUCKETS_PER_OCTAVE: f64 = 4.0;
const BUCKETS: usize = 96;
const SMALLEST: Duration = Duration::from_micros(100);

/// Observations after which the weight of an old one has fallen to a third.
const MEMORY: f64 = 1000.0;

/// Observations before anything is told.
const ENOUGH: u64 = 10;

/// Weight of a new observation from which all weights are scaled back.
const HEAVIEST: f64 = 1e9;

/// Distribution of the run times of one kind of task.
#[derive(Clone, Debug)]
pub struct RunTimes {
    weights: [f64; BUCKETS],
    total: f64,
    sum: f64,
    next: f64,
    count: u64,
}

impl Default for RunTimes {
    fn default() -> RunTimes {
        RunTimes {
            weights: [0.0; BUCKETS],
            total: 0.0,
            sum: 0.0,
            next: 1.0,
            count: 0,
        }
    }
}

impl RunTimes {
    /// Takes in the run time of a task that ran to its end.
    pub fn observe(&mut self, run: Duration) {
        self.weights[bucket(run)] += self.next;
        self.total += self.next;
        self.sum += self.next * run.as_secs_f64();
        self.next *= 1.0 + 1.0 / MEMORY;
        self.count += 1;
        if self.next > HEAVIEST {
            self.scale();
        }
    }

    /// Mean run time, once enough tasks have run.
    pub fn mean(&self) -> Option<Duration> {
        self.has_enough_samples()
            .then(|| Duration::from_secs_f64(self.sum / self.total))
    }

    /// Run time that the share `quantile` of tasks stays below, to within a
    /// bucket, once enough tasks have run.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        if !self.has_enough_samples() {
            return None;
        }
        let wanted = quantile.clamp(0.0, 1.0) * self.total;
        let mut below = 0.0;
        for (index, weight) in self.weights.iter().enumerate() {
            below += weight;
            if below >= wanted && *weight > 0.0 {
                return Some(upper(index));
            }
        }
        Some(upper(BUCKETS - 1))
    }

    /// Whether enough tasks have run to tell anything.
    pub fn has_enough_samples(&self) -> bool {
        self.count >= ENOUGH
    }

    /// Tasks observed.
    pub fn count(&self) -> u64 {
        self.count
    }

    fn scale(&mut self) {
        let factor = 1.0 / self.next;
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.total *= factor;
        self.sum *= factor;
        self.next = 1.0;
    }
}

/// Run times by kind of task, for a bounded number of kinds.
#[derive(Debug)]
pub struct Table<K> {
    kinds: HashMap<K, RunTimes>,
    all: RunTimes,
    capacity: usize,
}

impl<K: Eq + Hash> Table<K> {
    /// A table of up to `capacity` kinds; any further kind is judged by the
    /// distribution over all tasks.
    pub fn new(capacity: usize) -> Table<K> {
        Table {
            kinds: HashMap::new(),
            all: RunTimes::default(),
            capacity,
        }
    }

    /// Takes in the run time of a task of this kind that ran to its end.
    pub fn observe(&mut self, kind: K, run: Duration) {
        self.all.observe(run);
        if self.kinds.len() < self.capacity || self.kinds.contains_key(&kind) {
            self.kinds.entry(kind).or_default().observe(run);
        }
    }

    /// The distribution for this kind, or over all tasks while too few of the
    /// kind have run.
    pub fn get(&self, kind: &K) -> &RunTimes {
        self.kinds
            .get(kind)
            .filter(|runtime| runtime.has_enough_samples())
            .unwrap_or(&self.all)
    }

    /// The distribution over all tasks.
    pub fn all(&self) -> &RunTimes {
        &self.all
    }
}

fn bucket(run: Duration) -> usize {
    let ratio = run.as_secs_f64() / SMALLEST.as_secs_f64();
    let octaves = ratio.max(1.0).log2();
    ((octaves * BUCKETS_PER_OCTAVE).ceil() as usize).min(BUCKETS - 1)
}

fn upper(index: usize) -> Duration {
    SMALLEST.mul_f64((index as f64 / BUCKETS_PER_OCTAVE).exp2())
}

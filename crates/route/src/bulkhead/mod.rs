//! Confines the queues whose tasks crash upstreams to a part of a service's upstreams.
//!
//! Each task that crashes its upstream takes the whole upstream away for seconds, so a few
//! such tasks a second are enough to take down a small service, even if none of them is
//! tried again. Nothing tells which task of a queue is bad before it runs. What is known is
//! the queue: once the evidence against it is strong, its tasks run in a pool of upstreams
//! that no other queue uses. There they crash no more than the pool, and the other queues
//! are served as before.
//!
//! The evidence is a sequential test for each queue. A task that crashes its upstream
//! mostly does so at its start, so a crash shortly after a start of the queue speaks against
//! it, the more the less often the queue starts tasks there; any other crash speaks for it.
//! A crash under a task that had crashed another upstream before speaks against it
//! too, unless something else had just started. Crashes at the same moment have a cause outside, and are ignored.

mod pool;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gentian_wire::id::Node;

pub use pool::Pool;
pub use settings::{Builder, Settings};

/// Probability of a crash shortly after a start of a queue whose tasks cause crashes.
const FRESH_IF_GUILTY: f64 = 0.8;

/// Bounds of the probability that a start of a queue happens to be shortly before a crash.
const FRESH_BY_CHANCE: std::ops::RangeInclusive<f64> = 0.01..=0.99;

/// Logarithm of the odds that a second crash under one task is no coincidence.
const REPEATED: f64 = 3.0;

/// Odds against confining a queue without cause, for each upstream that may crash by itself.
const ODDS_PER_UPSTREAM: f64 = 3.0;

/// A crash of an upstream, as far as it is evidence.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Agent of the upstream.
    pub upstream: Node,
    /// When it happened.
    pub at: Duration,
    /// The runs that were there.
    pub runs: Vec<CrashedRun>,
    /// Jobs with a start at the upstream, each second, by queue.
    pub starts_per_s: BTreeMap<String, f64>,
}

/// A run that was at an upstream when it crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The queue that its job came from.
    pub queue: String,
    /// Time from its start to the crash.
    pub age: Duration,
    /// Whether an upstream had crashed under its task before.
    pub repeated: bool,
}

/// Evidence against a queue.
#[derive(Clone, Copy, Debug, Default)]
struct Evidence {
    /// Logarithm of the odds that its tasks cause crashes; not below 0.
    log_odds: f64,
    updated_at: Duration,
}

/// The confined queues of one service, and the pool of upstreams that they use.
#[derive(Clone, Debug, Default)]
pub struct Bulkhead {
    settings: Settings,
    evidence: BTreeMap<String, Evidence>,
    /// Confined queues, each with the time since which nothing speaks against it.
    confined: BTreeMap<String, Duration>,
    /// Upstreams of the confined queues; empty if none is confined.
    pool: BTreeSet<Node>,
    /// The last crash, to recognize others at the same moment.
    last_crash: Option<(Node, Duration)>,
    /// Last crash of each upstream.
    crashed_at: BTreeMap<Node, Duration>,
}

impl Bulkhead {
    /// Nothing is confined yet.
    pub fn new(settings: Settings) -> Bulkhead {
        Bulkhead {
            settings,
            ..Bulkhead::default()
        }
    }

    /// Takes a crash into account. `upstreams` are all of the service. Returns the queues
    /// that are confined because of it.
    pub fn observe(&mut self, crash: &Crash, upstreams: &[Node]) -> Vec<String> {
        let simultaneous = self.last_crash.as_ref().is_some_and(|(upstream, at)| {
            *upstream != crash.upstream && at.abs_diff(crash.at) < self.settings.simultaneous
        });
        self.last_crash = Some((crash.upstream.clone(), crash.at));
        self.crashed_at.insert(crash.upstream.clone(), crash.at);
        if simultaneous {
            return Vec::new();
        }
        let threshold = (ODDS_PER_UPSTREAM * upstreams.len() as f64).ln();
        let mut guilty = Vec::new();
        let any_fresh = crash.runs.iter().any(|run| self.is_fresh(run));
        for (queue, rate) in &crash.starts_per_s {
            let own = || crash.runs.iter().filter(|run| run.queue == *queue);
            let fresh = own().any(|run| self.is_fresh(run));
            // What has just started explains the crash better than what has run for a while.
            let repeated = own().any(|run| run.repeated && (self.is_fresh(run) || !any_fresh));
            let by_chance = self.chance_of_fresh(*rate);
            let ratio = match fresh {
                true => FRESH_IF_GUILTY / by_chance,
                false => (1.0 - FRESH_IF_GUILTY) / (1.0 - by_chance),
            };
            let gain = match repeated {
                true => ratio.ln().max(0.0) + REPEATED,
                false => ratio.ln(),
            };
            let log_odds = self.update_evidence(queue, gain, crash.at, threshold);
            if let Some(quiet_since) = self.confined.get_mut(queue) {
                if own().next().is_some() {
                    *quiet_since = crash.at.max(*quiet_since);
                }
            } else if log_odds >= threshold {
                guilty.push(queue.clone());
            }
        }
        guilty.retain(|queue| !self.confined.contains_key(queue));
        for queue in &guilty {
            self.confined.insert(queue.clone(), crash.at);
        }
        self.fill_pool(upstreams);
        guilty.retain(|queue| self.confined.contains_key(queue));
        guilty
    }

    /// Adds to the evidence against a queue; returns the logarithm of the odds against it.
    fn update_evidence(&mut self, queue: &str, gain: f64, at: Duration, threshold: f64) -> f64 {
        let fade = self.settings.fade.as_secs_f64();
        let evidence = self.evidence.entry(queue.to_owned()).or_default();
        let elapsed = at.saturating_sub(evidence.updated_at).as_secs_f64();
        let faded = evidence.log_odds * (-elapsed / fade).exp();
        evidence.log_odds = (faded + gain).clamp(0.0, 2.0 * threshold.max(1.0));
        evidence.updated_at = evidence.updated_at.max(at);
        evidence.log_odds
    }

    /// Probability that a start of a queue is fresh at a moment that has nothing to do with
    /// it.
    fn chance_of_fresh(&self, starts_per_s: f64) -> f64 {
        let expected = starts_per_s * self.settings.fresh_age.as_secs_f64();
        let chance = 1.0 - (-expected).exp();
        chance.clamp(*FRESH_BY_CHANCE.start(), *FRESH_BY_CHANCE.end())
    }

    fn is_fresh(&self, run: &CrashedRun) -> bool {
        run.age <= self.settings.fresh_age
    }

    /// Releases the queues against which nothing has spoken for long enough; returns them.
    /// `is_tested` tells whether any upstream of the pool takes runs: while none does, the
    /// absence of crashes says nothing.
    pub fn release(&mut self, is_tested: bool, now: Duration) -> Vec<String> {
        if !is_tested {
            self.confined.values_mut().for_each(|since| *since = now);
            return Vec::new();
        }
        let quiet = self.settings.quiet;
        let due = |since: &Duration| now.saturating_sub(*since) >= quiet;
        let released = self.confined.extract_if(.., |_, since| due(since));
        let released: Vec<String> = released.map(|(queue, _)| queue).collect();
        for queue in &released {
            self.evidence.remove(queue);
        }
        if self.confined.is_empty() {
            self.pool.clear();
        }
        released
    }

    /// Whether a queue is confined to the pool.
    pub fn is_confined(&self, queue: &str) -> bool {
        self.confined.contains_key(queue)
    }

    /// Whether any queue is confined.
    pub fn is_in_use(&self) -> bool {
        !self.confined.is_empty()
    }

    /// The upstreams that a queue may use.
    pub fn pool(&self, queue: &str) -> Pool<'_> {
        match (self.is_confined(queue), self.pool.is_empty()) {
            (_, true) => Pool::All,
            (true, false) => Pool::Only(&self.pool),
            (false, false) => Pool::Except(&self.pool),
        }
    }

    /// The upstreams that only the confined queues use.
    pub fn reserved(&self) -> &BTreeSet<Node> {
        &self.pool
    }

    /// Adds upstreams to the pool until it has its share of all, and forgets those that
    /// are gone. Those that crashed last come first, since they are lost to the others
    /// anyway. A service with a single upstream can't be divided, so nothing is confined.
    fn fill_pool(&mut self, upstreams: &[Node]) {
        if self.confined.is_empty() {
            return;
        }
        let size = self.settings.pool_size(upstreams.len());
        if size == 0 {
            self.confined.clear();
        }
        self.pool.retain(|node| upstreams.contains(node));
        self.crashed_at.retain(|node, _| upstreams.contains(node));
        let candidates = upstreams.iter().filter(|node| !self.pool.contains(*node));
        let mut candidates: Vec<&Node> = candidates.collect();
        candidates.sort_by_key(|node| {
            let crashed_at = self.crashed_at.get(*node).copied();
            (std::cmp::Reverse(crashed_at), pool::position(node))
        });
        let missing = size.saturating_sub(self.pool.len());
        let added: Vec<Node> = candidates.into_iter().take(missing).cloned().collect();
        self.pool.extend(added);
    }
}

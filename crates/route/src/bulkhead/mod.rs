//! Confines the queues whose tasks crash upstreams to a part of a service's upstreams.
//!
//! Each task that crashes its upstream takes the whole upstream away for seconds, so a few
//! such tasks a second are enough to take down a small service, even if none of them is
//! tried again. Nothing tells which task of a queue is bad before it runs. What is known is
//! the queue: once the evidence against it is strong, its tasks run in a pool of upstreams
//! that no other queue uses. There they crash nothing else, and the other queues go on with
//! the rest.
//!
//! The evidence is a sequential test for each queue. A task that crashes its upstream
//! mostly does so soon after its start. A crash shortly after a start of the queue therefore
//! speaks against it, the more the less often the queue starts tasks there; a crash long
//! after speaks for it. A crash under a task that had crashed another upstream before speaks
//! against its queue too. One crash has one cause: it counts only against the queue that
//! explains it best, together with the crashes before. Crashes of several upstreams at the
//! same moment have a cause outside, and are ignored.

mod pool;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gentian_wire::id::Node;

pub use pool::Pool;
pub use settings::{Builder, Settings};

/// Share of the tasks that crash their upstream which do so soon after their start.
const PROMPT_CRASHES: f64 = 0.8;

/// Bounds of the rate of starts, in jobs a second, by which chance is judged.
const START_RATES: std::ops::RangeInclusive<f64> = 0.5..=200.0;

/// Logarithm of the odds that a second crash under one task is no coincidence.
const REPEATED: f64 = 1.5;

/// Largest logarithm of the odds that one crash gives, so that one alone confines nobody.
const MAX_GAIN: f64 = 1.9;

/// Odds at which a queue is confined, for each upstream of its service: the more there are,
/// the more of them crash by themselves.
const ODDS_PER_UPSTREAM: f64 = 1.5;

/// Least logarithm of the odds at which a queue is confined.
const MIN_THRESHOLD: f64 = 2.0;

/// Least evidence of a queue: how far it can be trusted in spite of later crashes.
const MIN_LOG_ODDS: f64 = -3.0;

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
    /// Logarithm of the odds that its tasks cause crashes.
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

    /// Takes a crash into account. `upstreams` are all of the service, sorted. Returns the
    /// queue that is confined because of it.
    pub fn observe(&mut self, crash: &Crash, upstreams: &[Node]) -> Option<String> {
        let simultaneous = self.last_crash.as_ref().is_some_and(|(upstream, at)| {
            *upstream != crash.upstream && at.abs_diff(crash.at) < self.settings.simultaneous
        });
        self.last_crash = Some((crash.upstream.clone(), crash.at));
        self.crashed_at.insert(crash.upstream.clone(), crash.at);
        if simultaneous {
            return None;
        }
        let threshold = (ODDS_PER_UPSTREAM * upstreams.len() as f64).ln();
        let threshold = threshold.max(MIN_THRESHOLD);
        let suspected = self.weigh(crash);
        self.extend_confinement(crash);
        let guilty = suspected
            .filter(|queue| !self.is_confined(queue) && self.evidence[queue].log_odds >= threshold);
        if let Some(queue) = &guilty {
            self.confined.insert(queue.clone(), crash.at);
            // It explains what spoke against the others.
            self.evidence.clear();
        }
        self.fill_pool(upstreams);
        guilty.filter(|queue| self.is_confined(queue))
    }

    /// Adds what a crash says about each queue. Returns the queue that explains it best.
    fn weigh(&mut self, crash: &Crash) -> Option<String> {
        let rates = crash.starts_per_s.iter();
        let gains = rates.map(|(queue, rate)| (queue, self.gain(crash, queue, *rate)));
        let gains: Vec<(&String, f64)> = gains.collect();
        let odds = |(queue, gain): &(&String, f64)| self.log_odds(queue, crash.at) + gain;
        let best = gains.iter().max_by(|a, b| odds(a).total_cmp(&odds(b)));
        let best = best.map(|(queue, _)| (*queue).clone());
        for (queue, gain) in gains {
            let is_best = best.as_ref() == Some(queue);
            let gain = if is_best { gain } else { gain.min(0.0) };
            self.add_evidence(queue, gain, crash.at);
        }
        best
    }

    /// What a crash says about a queue: the logarithm of the odds that its tasks cause
    /// crashes.
    fn gain(&self, crash: &Crash, queue: &str, starts_per_s: f64) -> f64 {
        let own = crash.runs.iter().filter(|run| run.queue == queue);
        let gains = own.map(|run| {
            let repeated = if run.repeated { REPEATED } else { 0.0 };
            self.likelihood_ratio(run.age, starts_per_s).ln() + repeated
        });
        let unexplained = (1.0 - PROMPT_CRASHES).ln();
        gains.fold(unexplained, f64::max).min(MAX_GAIN)
    }

    /// How many times likelier the time from a start to the crash is if the start caused
    /// the crash than if it happened by chance.
    fn likelihood_ratio(&self, age: Duration, starts_per_s: f64) -> f64 {
        let prompt_rate = 1.0 / self.settings.crash_time.as_secs_f64();
        let chance_rate = starts_per_s.clamp(*START_RATES.start(), *START_RATES.end());
        let density = |rate: f64| rate * (-rate * age.as_secs_f64()).exp();
        let prompt = density(prompt_rate) / density(chance_rate).max(f64::MIN_POSITIVE);
        1.0 - PROMPT_CRASHES + PROMPT_CRASHES * prompt
    }

    /// Notes the crash for the confined queues that had runs there.
    fn extend_confinement(&mut self, crash: &Crash) {
        for run in &crash.runs {
            if let Some(quiet_since) = self.confined.get_mut(&run.queue) {
                *quiet_since = crash.at.max(*quiet_since);
            }
        }
    }

    /// Evidence against a queue at a time.
    fn log_odds(&self, queue: &str, at: Duration) -> f64 {
        let Some(evidence) = self.evidence.get(queue) else {
            return 0.0;
        };
        let elapsed = at.saturating_sub(evidence.updated_at).as_secs_f64();
        evidence.log_odds * (-elapsed / self.settings.fade.as_secs_f64()).exp()
    }

    fn add_evidence(&mut self, queue: &str, gain: f64, at: Duration) {
        let log_odds = (self.log_odds(queue, at) + gain).max(MIN_LOG_ODDS);
        let evidence = self.evidence.entry(queue.to_owned()).or_default();
        evidence.log_odds = log_odds;
        evidence.updated_at = evidence.updated_at.max(at);
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

    /// Number of confined queues.
    pub fn confined_queues(&self) -> usize {
        self.confined.len()
    }

    /// The upstreams that a confined queue may use, or one that is not.
    pub fn pool(&self, confined: bool) -> Pool<'_> {
        match (confined, self.pool.is_empty()) {
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
        let is_known = |node: &Node| upstreams.binary_search(node).is_ok();
        self.pool.retain(is_known);
        self.crashed_at.retain(|node, _| is_known(node));
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

//! Jobs that wait for room at upstreams, and those that are not worth their wait.
//!
//! A job counts only whole and in time, so its wait ends early: after a quarter
//! of what it may take in all, a job of which nothing has begun is refused, while
//! its caller can still do something else. Where so much waits ahead of it that
//! it would come to that anyway, it is refused on arrival. A job of which
//! something runs goes before all others: what it still lacks is little, and its
//! room is spent already.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Part of what a job may take in all that it may wait before it begins.
const WAIT_PART: f64 = 0.25;

/// What a caller expects of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// How long the job's longest chain of work is expected to take.
    pub critical_path: Duration,
    /// How many times that it may take.
    pub stretch: f64,
    /// What it may take beyond that.
    pub target: Duration,
}

impl Objective {
    /// What the job may take from its arrival.
    pub fn time_limit(&self) -> Duration {
        self.critical_path.mul_f64(self.stretch) + self.target
    }

    /// What it may wait before it begins.
    pub fn max_wait(&self) -> Duration {
        self.time_limit().mul_f64(WAIT_PART)
    }
}

/// Place of a job in the line: the smaller goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Nothing of it runs yet.
    pub not_started: bool,
    /// Priority of its queue.
    pub priority: u32,
    /// When it must have begun.
    pub start_by: Duration,
    /// Number of its arrival.
    pub arrival: u64,
}

/// Jobs that wait, each with the work that is still to begin, in core-seconds.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    waiting: BTreeMap<Rank, f64>,
}

impl JobQueue {
    /// Puts a job in, or changes the work that it waits with.
    pub fn insert(&mut self, rank: Rank, work: f64) {
        self.waiting.insert(rank, work);
    }

    /// Takes a job out.
    pub fn remove(&mut self, rank: &Rank) {
        self.waiting.remove(rank);
    }

    /// The jobs in the order in which they go.
    pub fn iter(&self) -> impl Iterator<Item = &Rank> {
        self.waiting.keys()
    }

    /// The job that goes next, or next after the one of that rank.
    pub fn next(&self, after: Option<&Rank>) -> Option<&Rank> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.waiting.range((from, Bound::Unbounded));
        rest.next().map(|(rank, _)| rank)
    }

    /// Number of jobs that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How long a job of that rank will wait, where `cores` work on what is ahead.
    pub fn expected_wait(&self, rank: &Rank, cores: f64) -> Duration {
        let ahead: f64 = self.waiting.range(..rank).map(|(_, work)| work).sum();
        Duration::try_from_secs_f64(ahead / cores.max(1e-3)).unwrap_or(Duration::MAX)
    }
}

//! Jobs that wait for capacity at upstreams, and admission control for them.
//!
//! A job is only useful if all its tasks finish in time, so the wait is bounded:
//! a job of which no task has started within a quarter of its time limit is
//! refused while its caller can still do something else. If the work queued ahead
//! of a job would already make it wait that long, it is refused on arrival. Jobs
//! with at least one started task go before all others, since little of their work
//! remains and capacity has already been spent on them; jobs that may crash what runs them
//! go last.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

/// Share of a job's time limit that it may wait before its first task starts.
const MAX_WAIT_SHARE: f64 = 0.25;

/// Longest time limit of a job, which keeps sums of times from overflowing where a
/// configuration names a stretch without reason.
const MAX_TIME_LIMIT: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Response time that a caller expects of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Objective {
    /// Expected run time of the job's longest chain of dependent tasks.
    pub critical_path: Duration,
    /// Factor by which the job may take longer than its critical path.
    pub stretch: f64,
    /// Constant time allowed in addition.
    pub target: Duration,
}

impl Objective {
    /// Time within which the job must finish, counted from its arrival; at most
    /// [`MAX_TIME_LIMIT`].
    pub fn time_limit(&self) -> Duration {
        let seconds = self.critical_path.as_secs_f64() * self.stretch + self.target.as_secs_f64();
        let limit = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_TIME_LIMIT);
        limit.min(MAX_TIME_LIMIT)
    }

    /// Whether the job may start so long after its arrival: within the usual wait, or while
    /// it can still finish in time.
    pub fn allows_start_after(&self, waited: Duration) -> bool {
        let in_time = waited.saturating_add(self.critical_path) <= self.time_limit();
        in_time || waited <= self.max_wait()
    }

    /// Longest time that the job may wait before its first task starts.
    pub fn max_wait(&self) -> Duration {
        self.time_limit().mul_f64(MAX_WAIT_SHARE)
    }
}

/// Position of a job in the queue; the smallest rank is served first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Upstreams have crashed under a task of the job, and may do so again.
    pub suspect: bool,
    /// No task of the job has started yet.
    pub not_started: bool,
    /// Priority of the job's queue; smaller is more urgent.
    pub priority: u32,
    /// Time by which the first task must have started.
    pub start_by: Duration,
    /// Sequence number of the job's arrival.
    pub arrival: u64,
}

impl Rank {
    /// The rank behind all jobs that differ from this one in their times only.
    pub fn last_of_priority(self) -> Rank {
        Rank {
            start_by: Duration::MAX,
            arrival: u64::MAX,
            ..self
        }
    }
}

/// Waiting jobs by rank, each with its work that has not started, in core-seconds.
#[derive(Clone, Debug, Default)]
pub struct JobQueue {
    waiting: BTreeMap<Rank, f64>,
}

impl JobQueue {
    /// Adds a job, or updates the amount of its work that has not started.
    pub fn insert(&mut self, rank: Rank, work: f64) {
        self.waiting.insert(rank, work);
    }

    /// Removes a job.
    pub fn remove(&mut self, rank: &Rank) {
        self.waiting.remove(rank);
    }

    /// Iterates over the jobs in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = &Rank> {
        self.waiting.keys()
    }

    /// The first job, or the first one behind the rank `after`.
    pub fn next(&self, after: Option<&Rank>) -> Option<&Rank> {
        let from = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.waiting.range((from, Bound::Unbounded));
        rest.next().map(|(rank, _)| rank)
    }

    /// Number of waiting jobs.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Expected wait of a job with this rank if the given number of cores process the work
    /// ahead of it.
    pub fn expected_wait(&self, rank: &Rank, cores: f64) -> Duration {
        let ahead: f64 = self.waiting.range(..rank).map(|(_, work)| work).sum();
        Duration::try_from_secs_f64(ahead / cores.max(1e-3)).unwrap_or(Duration::MAX)
    }
}

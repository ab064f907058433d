//! Jobs in progress.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::Run;
use gentian::config::document::Queue;
use gentian::limit::line::{Objective, Rank};
use gentian::wire::id::{Node, Service};
use gentian::wire::need::Need;
use tokio::sync::oneshot;

/// A job as it was handed in.
#[derive(Debug)]
pub(super) struct Submission {
    /// The caller's id of the job.
    pub(super) id: Arc<str>,
    pub(super) queue: Queue,
    pub(super) service: Service,
    pub(super) spec: Bytes,
    pub(super) tasks: Vec<String>,
    pub(super) need: Need,
    pub(super) estimate: Duration,
}

/// What became of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task has failed as often as it may.
    Failed,
    /// Nothing of it has run; when to come back, and why.
    Refused(Duration, Cause),
    /// It was given up after something of it had run.
    GivenUp,
}

impl Outcome {
    /// The outcome's name in metrics and lines.
    pub(super) fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Failed => "failed",
            Outcome::Refused(..) => "refused",
            Outcome::GivenUp => "given_up",
        }
    }
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Cause {
    /// No upstream of its service takes work.
    NoUpstream,
    /// No upstream is large enough for one of its tasks.
    TooLarge,
    /// Too much waits ahead of it.
    Overload,
    /// It has waited for as long as it may.
    Waited,
    /// Its deadline has passed.
    Deadline,
}

/// One task of a job.
#[derive(Debug)]
pub(super) struct Task {
    pub(super) name: Arc<str>,
    /// Number of its last start.
    pub(super) number: u64,
    pub(super) failures: u32,
    /// Where it runs.
    pub(super) at: Option<(Node, Run)>,
    /// Upstreams that it has failed at, or was moved from.
    pub(super) avoid: Vec<Node>,
    /// It was told to stop so that it can begin elsewhere.
    pub(super) moving: bool,
}

/// A job in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) submission: Submission,
    pub(super) objective: Objective,
    pub(super) rank: Rank,
    pub(super) tasks: Vec<Task>,
    /// Tasks that wait for room, by their index.
    pub(super) waiting: VecDeque<usize>,
    pub(super) left: usize,
    /// Whether a start of any task was ordered.
    pub(super) begun: bool,
    pub(super) arrived: Instant,
    /// Those who wait for the outcome.
    pub(super) callers: BTreeMap<u64, oneshot::Sender<Outcome>>,
}

impl Job {
    pub(super) fn new(submission: Submission, objective: Objective, rank: Rank) -> Job {
        let task = |name: &String| Task {
            name: name.as_str().into(),
            number: 0,
            failures: 0,
            at: None,
            avoid: Vec::new(),
            moving: false,
        };
        let tasks: Vec<Task> = submission.tasks.iter().map(task).collect();
        Job {
            objective,
            rank,
            waiting: (0..tasks.len()).collect(),
            left: tasks.len(),
            tasks,
            begun: false,
            arrived: Instant::now(),
            callers: BTreeMap::new(),
            submission,
        }
    }

    /// Work that is still to begin, in core-seconds.
    pub(super) fn work(&self) -> f64 {
        let cores = f64::from(self.submission.need.cpu) / 1e3;
        self.waiting.len() as f64 * cores * self.objective.work.as_secs_f64()
    }
}

//! Runs, their owners, and what is told of them.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};
use gentian_wire::need::Need;

use super::requirement::Requirement;

/// One run of a task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Run {
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the run; later runs of the task have higher numbers.
    pub number: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run {}", self.task, self.number)
    }
}

/// An entry that orders runs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Owner {
    /// Name of the entry.
    pub entry: Node,
    /// Distinguishes the entry's process from earlier processes of the same entry.
    pub incarnation: Incarnation,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// The upstream completed the run.
    Done,
    /// The run failed at the upstream.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The run's lease lapsed, its upstream is gone, or nothing is known of the run.
    Lost,
    /// The run was refused and never began.
    Refused(Refusal),
}

impl Fate {
    /// Whether the upstream itself reported this end.
    pub(super) fn is_reported(self) -> bool {
        matches!(self, Fate::Done | Fate::Failed | Fate::Stopped)
    }
}

/// Why a run did not begin.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The upstream lacks the capacity.
    Full,
    /// The upstream is leaving, unknown, or has been replaced.
    Closed,
    /// The upstream is of another service, or lacks the label that the run requires.
    Unsuitable,
    /// The configuration gives the upstream no work, or is not known yet.
    Denied,
    /// The owner's lease had ended, or the owner had ordered a stop, before the start was
    /// sent.
    Expired,
    /// This run or a later one of the task was admitted before.
    OldRun,
    /// The upstream refuses new runs.
    Unhealthy,
    /// The upstream did not answer the start, and the run has never begun.
    NoAnswer,
    /// The upstream rejects the order as malformed.
    Invalid,
}

/// The end of a run, to be reported to its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunEnd {
    /// The entry that ordered the run.
    pub owner: Owner,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub fate: Fate,
    /// How long it ran, as measured by the agent.
    pub ran: Duration,
}

/// The upstream's answer to a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run has begun.
    Running,
    /// The run has not begun and never will.
    Refused(Refusal),
    /// There was no answer: the run may have begun or may yet begin.
    Unknown,
}

/// A run that an upstream lists as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: Run,
    /// Its progress.
    pub percent: u32,
}

/// A run that an upstream lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEnd {
    /// Sequence number of the end at this incarnation of the upstream, from 1.
    pub number: u64,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub fate: Fate,
}

/// An order to start a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Start {
    /// Resources that the run uses.
    pub need: Need,
    /// The job that its task belongs to.
    pub job: Arc<str>,
    /// The queue that the job came from.
    pub queue: Arc<str>,
    /// Which runs may be beside it.
    pub isolation: Isolation,
    /// What it requires of the upstream.
    pub requirement: Requirement,
}

/// Which runs may be beside a run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Isolation {
    /// All.
    #[default]
    Shared,
    /// Those of a few jobs: one after the upstream's start, then one more with each job that
    /// was completed there, so that a crash hits few others.
    Limited,
    /// Those of its own job.
    Alone,
}

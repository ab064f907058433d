//! What goes into a coordinator and what comes out.

use std::time::Duration;

use gentian_wire::id::{Job, Node};
use gentian_wire::outcome::Outcome;

use crate::gate::TaskStatus;
use crate::home::{self, ClaimOutcome, Holder};
use crate::refusal::Refusal;

/// What a coordinator is told of its job. Tasks stand in the order of their
/// indices.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The job's key.
    pub job: Job,
    /// Id of this attempt, drawn at random.
    pub coordinator: u64,
    /// The job's home under the view in force.
    pub home: Node,
    /// The agents of each task.
    pub tasks: Vec<TaskAgents>,
}

/// The agents of one task.
#[derive(Clone, Debug)]
pub struct TaskAgents {
    /// Those that may start it, under the view in force.
    pub candidates: Vec<Node>,
    /// Those that may have started it, under any view since the key's
    /// creation; nothing where this entry doesn't know them all.
    pub may_have_started: Option<Vec<Node>>,
}

/// What has happened to a job.
#[derive(Clone, Debug)]
pub enum Event<A> {
    /// The home has replied.
    Claimed(home::Result<ClaimOutcome>),
    /// The home can't be reached.
    ClaimFailed,
    /// The earlier coordinator's answer, or nothing where it can't be had.
    FollowEnded(Option<Answer<A>>),
    /// A start has ended.
    StartEnded {
        /// Index of the task.
        task: u32,
        /// Where it was sent.
        agent: Node,
        /// How it ended.
        reply: StartResult<A>,
    },
    /// A candidate has told what it knows of some tasks.
    AskReplied {
        /// The candidate.
        agent: Node,
        /// Indices of the tasks, and what it told.
        answers: Vec<(u32, TaskStatus<A>)>,
    },
    /// An agent can't be reached, and replies to nothing it was sent.
    AgentLost {
        /// The agent.
        agent: Node,
    },
    /// The deadline has passed, or the caller gave up.
    Abandoned,
}

/// How a start ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartResult<A> {
    /// The upstream has run it.
    Finished {
        /// Done, failed or unknown.
        outcome: Outcome,
        /// What it gave.
        answer: A,
    },
    /// The agent has refused it.
    Refused(Refusal),
    /// It was not sent: no connection.
    NotSent,
    /// It was sent, and no reply will come.
    NoReply,
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Claim the job.
    Claim {
        /// The job's home.
        home: Node,
    },
    /// Wait for the answer of the coordinator that has the job.
    Follow {
        /// The coordinator; the entry there knows it by its ballot.
        holder: Holder,
    },
    /// Ask a candidate about tasks.
    Ask {
        /// The candidate.
        agent: Node,
        /// Indices of the tasks.
        tasks: Vec<u32>,
        /// Whether the reply may wait until the tasks have ended.
        wait: bool,
    },
    /// Start a task.
    Start {
        /// Index of the task.
        task: u32,
        /// The candidate that was picked.
        agent: Node,
    },
    /// Stop tasks whose answers are of no more use.
    Cancel {
        /// Where they were sent.
        agent: Node,
        /// Indices of the tasks.
        tasks: Vec<u32>,
    },
    /// Answer the caller.
    Answer(Answer<A>),
}

/// A task that waits for a place at one of some agents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Index of the task.
    pub task: u32,
    /// The agents; at least one.
    pub candidates: Vec<Node>,
}

/// When an offered task, for which there was no place, is offered again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// Soon, as if all candidates had refused it; not for ever.
    NextRound,
    /// From this time on, however often.
    At(Duration),
    /// Not at all: the task is given up.
    GiveUp,
}

/// The one answer of a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<A> {
    /// The job's key.
    pub job: Job,
    /// Whether all tasks are done.
    pub complete: bool,
    /// What became of each task. `NotRun` says that this submission has not
    /// run it and never will.
    pub tasks: Vec<(Outcome, Option<A>)>,
}

/// Chooses among a task's candidates.
pub trait AgentPicker {
    /// Index of the candidate to send to, which counts as sent; nothing where
    /// none has a free slot.
    fn pick(&mut self, candidates: &[&Node]) -> Option<usize>;
}

impl<F: FnMut(&[&Node]) -> Option<usize>> AgentPicker for F {
    fn pick(&mut self, candidates: &[&Node]) -> Option<usize> {
        self(candidates)
    }
}

/// Time between two rounds of starts of a task that all candidates refused.
pub(super) const PAUSE: Duration = Duration::from_millis(20);

/// Rounds after which a refused task is given up.
pub(super) const ROUNDS: u8 = 6;

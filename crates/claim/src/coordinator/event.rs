//! Inputs and outputs of a coordinator.

use std::time::Duration;

use gentian_wire::id::{Job, Node};
use gentian_wire::outcome::Outcome;

use crate::gate::TaskStatus;
use crate::home::{self, ClaimOutcome, Holder};
use crate::refusal::Refusal;

/// A job and the agents that may take part in it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The job's key.
    pub job: Job,
    /// Id of this attempt, drawn at random.
    pub coordinator: u64,
    /// The job's home agent under the view in force.
    pub home: Node,
    /// The agents of each task, in the order of the task indices.
    pub tasks: Vec<TaskAgents>,
}

/// The agents of one task.
#[derive(Clone, Debug)]
pub struct TaskAgents {
    /// Agents that may start the task, under the view in force.
    pub candidates: Vec<Node>,
    /// Agents that an earlier coordinator may have started the task at, under
    /// any view since the key's creation. `None` if this entry doesn't know all
    /// of those views.
    pub may_have_started: Option<Vec<Node>>,
}

/// An input of the coordinator.
#[derive(Clone, Debug)]
pub enum Event<A> {
    /// The home agent has replied to the claim.
    Claimed(home::Result<ClaimOutcome>),
    /// The home agent can't be reached.
    ClaimFailed,
    /// The answer of the earlier coordinator that was followed; `None` if that
    /// coordinator can't be reached or has no answer.
    FollowEnded(Option<Answer<A>>),
    /// A start has finished, was refused or got no reply.
    StartEnded {
        /// Index of the task.
        task: u32,
        /// The agent that it was sent to.
        agent: Node,
        /// How the start ended.
        reply: StartResult<A>,
    },
    /// A candidate has replied to an [`Ask`](Action::Ask).
    AskReplied {
        /// The candidate.
        agent: Node,
        /// Indices of the tasks, and their status at the candidate.
        answers: Vec<(u32, TaskStatus<A>)>,
    },
    /// An agent can't be reached; no replies to messages sent to it will come.
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
    /// The upstream has run the task.
    Finished {
        /// How the task ended: done, failed or unknown.
        outcome: Outcome,
        /// The answer of the upstream.
        answer: A,
    },
    /// The agent has refused the start.
    Refused(Refusal),
    /// The start was not sent, since there was no connection.
    NotSent,
    /// The start was sent, and no reply will come.
    NoReply,
}

/// An output of the coordinator: a message to send.
#[derive(Clone, Debug, PartialEq)]
pub enum Action<A> {
    /// Claim the job.
    Claim {
        /// The job's home agent.
        home: Node,
    },
    /// Wait for the answer of the coordinator that claimed the job earlier.
    Follow {
        /// The earlier coordinator, whose entry finds it by the id in the ballot.
        holder: Holder,
    },
    /// Ask a candidate whether tasks have started there, and tombstone those
    /// that have not.
    Ask {
        /// The candidate.
        agent: Node,
        /// Indices of the tasks.
        tasks: Vec<u32>,
        /// Whether the candidate may delay its reply until the tasks have ended.
        wait: bool,
    },
    /// Start a task.
    Start {
        /// Index of the task.
        task: u32,
        /// The candidate that was picked for it.
        agent: Node,
    },
    /// Cancel tasks whose answers are no longer needed.
    Cancel {
        /// The agent that they were sent to.
        agent: Node,
        /// Indices of the tasks.
        tasks: Vec<u32>,
    },
    /// Answer the caller.
    Answer(Answer<A>),
}

/// A task that is ready to start. The caller looks for a candidate with a free slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Offer {
    /// Index of the task.
    pub task: u32,
    /// Agents that may start it; at least one.
    pub candidates: Vec<Node>,
}

/// When a declined task is offered again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Retry {
    /// After the pause between rounds, as if all candidates had refused the task. The
    /// task is given up after the last round.
    NextRound,
    /// From this time on, without a limit on the number of attempts.
    At(Duration),
    /// Never: the task is given up.
    GiveUp,
}

/// The answer of a job, given once.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer<A> {
    /// The job's key.
    pub job: Job,
    /// Whether all tasks are done.
    pub complete: bool,
    /// Outcome and answer of each task. `NotRun` means that this submission has
    /// not run the task and never will.
    pub tasks: Vec<(Outcome, Option<A>)>,
}

/// Picks one of a task's candidates.
pub trait AgentPicker {
    /// Index of the candidate to start the task at, or `None` if none has a free
    /// slot. The task counts as sent to the returned candidate.
    fn pick(&mut self, candidates: &[&Node]) -> Option<usize>;
}

impl<F: FnMut(&[&Node]) -> Option<usize>> AgentPicker for F {
    fn pick(&mut self, candidates: &[&Node]) -> Option<usize> {
        self(candidates)
    }
}

/// Pause after the first round of starts in which all candidates refused a task. The
/// pause grows by this much with each further round.
pub(super) const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Number of refused rounds after which a task is given up.
pub(super) const MAX_ROUNDS: u8 = 6;

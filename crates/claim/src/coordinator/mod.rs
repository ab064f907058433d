//! State machine of one job at an entry, from its claim to its answer.
//!
//! [`Coordinator::handle`] takes events and returns messages to send. Starts
//! are returned by [`Coordinator::start`] and [`Coordinator::assign`] only, so
//! that the caller decides how many tasks start and at which agents. A job is
//! answered exactly once: as complete when all its tasks are done, or as failed
//! as soon as one task can't be done any more. Tasks that still run then are
//! cancelled and reported as unknown, so that the caller doesn't wait for the
//! rest of a failed job.
//!
//! A coordinator keeps using the view under which it claimed the job, however
//! long the job takes. If another coordinator takes the job over, that one asks
//! the candidates of all views up to its own, which include the first
//! coordinator's view at the claim but might not include a later one.

mod candidate_check;
mod event;
mod offer;
mod reply;
mod takeover;
mod task;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gentian_wire::id::{Ballot, Job, Node};
use gentian_wire::outcome::Outcome;

use crate::home;

use task::{Ready, TaskState};

pub use event::{Action, AgentPicker, Answer, Event, Offer, Plan, Retry, StartResult, TaskAgents};

/// A job in progress; `A` is the type of a task's answer.
#[derive(Debug)]
pub struct Coordinator<A> {
    plan: Plan,
    phase: Phase,
    ballot: Ballot,
    tasks: Vec<TaskState<A>>,
    /// Indices of the tasks that are ready to start, without those that the caller holds
    /// an [`Offer`] for.
    waiting_tasks: VecDeque<u32>,
    /// Number of tasks that are not finished.
    unfinished: usize,
    /// Whether the job can't complete any more.
    failed: bool,
    unexpected_replies: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// Waits for the home's reply to the claim.
    Claiming,
    /// Waits for the answer of the coordinator that claimed the job earlier.
    Following,
    /// Checks, starts and awaits tasks.
    Running,
    Answered,
}

impl<A: Clone> Coordinator<A> {
    /// Returns the coordinator of a job and the claim to send first.
    pub fn new(plan: Plan) -> (Coordinator<A>, Action<A>) {
        let count = plan.tasks.len();
        let claim = Action::Claim {
            home: plan.home.clone(),
        };
        let coordinator = Coordinator {
            ballot: home::first_ballot(plan.coordinator),
            plan,
            phase: Phase::Claiming,
            tasks: (0..count).map(|_| TaskState::Unclaimed).collect(),
            waiting_tasks: VecDeque::new(),
            unfinished: count,
            failed: false,
            unexpected_replies: 0,
        };
        (coordinator, claim)
    }

    /// The job's key.
    pub fn job(&self) -> Job {
        self.plan.job
    }

    /// The ballot to send with asks, starts and cancels.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the job has been answered.
    pub fn is_answered(&self) -> bool {
        self.phase == Phase::Answered
    }

    /// Number of replies that matched no outstanding message.
    pub fn unexpected_replies(&self) -> u64 {
        self.unexpected_replies
    }

    /// Number of tasks that wait to be offered or started.
    pub fn waiting(&self) -> usize {
        self.waiting_tasks.len()
    }

    /// Earliest time at which a waiting task that was refused may be offered again.
    pub fn next_retry(&self) -> Option<Duration> {
        let at = |index: &u32| match &self.tasks[*index as usize] {
            TaskState::Ready(ready) => ready.retry_time(),
            _ => None,
        };
        self.waiting_tasks.iter().filter_map(at).min()
    }

    /// Handles an event at time `now` and returns the messages to send. Events
    /// after the answer only count as unexpected replies.
    pub fn handle(&mut self, event: Event<A>, now: Duration) -> Vec<Action<A>> {
        let mut out = Vec::new();
        if self.phase == Phase::Answered {
            self.unexpected_replies += 1;
            return out;
        }
        match event {
            Event::Claimed(claim) => self.handle_claim_reply(claim, &mut out),
            Event::ClaimFailed => self.claim_failed(),
            Event::FollowEnded(answer) => self.handle_follow_end(answer, &mut out),
            Event::StartEnded { task, agent, reply } => {
                self.handle_start_end(task, &agent, reply, now)
            }
            Event::AskReplied { agent, answers } => {
                self.handle_ask_reply(&agent, answers, &mut out)
            }
            Event::AgentLost { agent } => self.handle_agent_loss(&agent),
            Event::Abandoned => self.failed = true,
        }
        self.answer_if_decided(&mut out);
        out
    }

    /// Handles the loss of an agent or of the connection to it.
    fn handle_agent_loss(&mut self, agent: &Node) {
        for index in 0..self.tasks.len() {
            match &self.tasks[index] {
                TaskState::Sent { agent: at, .. } | TaskState::StartedByOther(at)
                    if at == agent =>
                {
                    self.finish_task(index, Outcome::Unknown, None);
                }
                TaskState::Checking(check) if check.awaits(agent) => {
                    self.handle_inconclusive(index, agent);
                }
                _ => {}
            }
        }
    }

    fn enqueue(&mut self, index: usize) {
        self.tasks[index] = TaskState::Ready(Ready::default());
        self.waiting_tasks.push_back(index as u32);
    }

    fn finish_task(&mut self, index: usize, outcome: Outcome, answer: Option<A>) {
        self.tasks[index] = TaskState::Finished { outcome, answer };
        self.unfinished -= 1;
        self.failed |= outcome != Outcome::Done;
    }

    /// Answers the job if all its tasks are finished or it has failed.
    fn answer_if_decided(&mut self, out: &mut Vec<Action<A>>) {
        let open = self.unfinished > 0 || self.phase == Phase::Claiming;
        if self.phase == Phase::Answered || (open && !self.failed) {
            return;
        }
        self.phase = Phase::Answered;
        self.waiting_tasks.clear();
        if self.failed {
            out.retain(|action| matches!(action, Action::Answer(_)));
            self.cancel_sent(out);
        }
        let tasks = std::mem::take(&mut self.tasks);
        out.push(Action::Answer(Answer {
            job: self.plan.job,
            complete: !self.failed,
            tasks: tasks.into_iter().map(TaskState::into_outcome).collect(),
        }));
    }

    fn cancel_sent(&self, out: &mut Vec<Action<A>>) {
        let mut sent: BTreeMap<&Node, Vec<u32>> = BTreeMap::new();
        for (index, state) in (0..).zip(&self.tasks) {
            if let TaskState::Sent { agent, .. } = state {
                sent.entry(agent).or_default().push(index);
            }
        }
        let cancel = |(agent, tasks): (&Node, _)| Action::Cancel {
            agent: agent.clone(),
            tasks,
        };
        out.extend(sent.into_iter().map(cancel));
    }
}

//! One job at an entry, from its claim to its one answer.
//!
//! [`Coordinator::handle`] takes replies in and gives messages to send out.
//! Starts are emitted by [`Coordinator::start`] alone, for as many free slots
//! as the caller knows of. A job is answered once: complete when all tasks are
//! done, or failed as soon as one task can't be. What then still runs is
//! cancelled and told as unknown: a caller waits for no work of a failed job.
//!
//! A coordinator keeps to the view it claimed under, however long the job
//! takes. Whoever takes over asks the candidates of that view, but may not ask
//! those of a later one.

mod asking;
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

use task::{Ready, State};

pub use event::{Action, AgentPicker, Answer, Event, Offer, Plan, Retry, StartResult, TaskAgents};

/// A job in progress; `A` is the answer of a task.
#[derive(Debug)]
pub struct Coordinator<A> {
    plan: Plan,
    phase: Phase,
    ballot: Ballot,
    tasks: Vec<State<A>>,
    queue: VecDeque<u32>,
    left: usize,
    doomed: bool,
    strays: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Claiming,
    Following,
    Running,
    Answered,
}

impl<A: Clone> Coordinator<A> {
    /// A job that has sent nothing yet, and the claim to send.
    pub fn new(plan: Plan) -> (Coordinator<A>, Action<A>) {
        let count = plan.tasks.len();
        let claim = Action::Claim {
            home: plan.home.clone(),
        };
        let coordinator = Coordinator {
            ballot: home::first_ballot(plan.coordinator),
            plan,
            phase: Phase::Claiming,
            tasks: (0..count).map(|_| State::Unclaimed).collect(),
            queue: VecDeque::new(),
            left: count,
            doomed: false,
            strays: 0,
        };
        (coordinator, claim)
    }

    /// The job's key.
    pub fn job(&self) -> Job {
        self.plan.job
    }

    /// The ballot to be sent with asks and starts.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Whether the answer has been given.
    pub fn is_answered(&self) -> bool {
        self.phase == Phase::Answered
    }

    /// Replies that no message in progress had asked for.
    pub fn unexpected_replies(&self) -> u64 {
        self.strays
    }

    /// Number of tasks that wait to be started.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// When a task that was refused everywhere may be tried again.
    pub fn next_retry(&self) -> Option<Duration> {
        let at = |index: &u32| match &self.tasks[*index as usize] {
            State::Ready(ready) => ready.wake(),
            _ => None,
        };
        self.queue.iter().filter_map(at).min()
    }

    /// Takes an event at time `now`; gives the messages to send. After the
    /// answer events change nothing.
    pub fn handle(&mut self, event: Event<A>, now: Duration) -> Vec<Action<A>> {
        let mut out = Vec::new();
        if self.phase == Phase::Answered {
            self.strays += 1;
            return out;
        }
        match event {
            Event::Claimed(claim) => self.claimed(claim, &mut out),
            Event::ClaimFailed => self.claim_failed(),
            Event::FollowEnded(answer) => self.followed(answer, &mut out),
            Event::StartEnded { task, agent, reply } => self.started(task, &agent, reply, now),
            Event::AskReplied { agent, answers } => self.asked(&agent, answers, &mut out),
            Event::AgentLost { agent } => self.lost(&agent),
            Event::Abandoned => self.doomed = true,
        }
        self.conclude(&mut out);
        out
    }

    /// The connection to an agent, or the agent itself, is gone.
    fn lost(&mut self, agent: &Node) {
        for index in 0..self.tasks.len() {
            match &self.tasks[index] {
                State::Sent { agent: at, .. } | State::Elsewhere(at) if at == agent => {
                    self.settle(index, Outcome::Unknown, None);
                }
                State::Asking(asking) if asking.awaits(agent) => self.blocked(index, agent),
                _ => {}
            }
        }
    }

    fn ready(&mut self, index: usize) {
        self.tasks[index] = State::Ready(Ready::default());
        self.queue.push_back(index as u32);
    }

    fn settle(&mut self, index: usize, outcome: Outcome, answer: Option<A>) {
        self.tasks[index] = State::Over { outcome, answer };
        self.left -= 1;
        self.doomed |= outcome != Outcome::Done;
    }

    /// Answers the job where all is done or nothing more can be.
    fn conclude(&mut self, out: &mut Vec<Action<A>>) {
        let open = self.left > 0 || self.phase == Phase::Claiming;
        if self.phase == Phase::Answered || (open && !self.doomed) {
            return;
        }
        self.phase = Phase::Answered;
        self.queue.clear();
        if self.doomed {
            out.retain(|action| matches!(action, Action::Answer(_)));
            self.cancel(out);
        }
        let tasks = std::mem::take(&mut self.tasks);
        out.push(Action::Answer(Answer {
            job: self.plan.job,
            complete: !self.doomed,
            tasks: tasks.into_iter().map(State::into_outcome).collect(),
        }));
    }

    fn cancel(&self, out: &mut Vec<Action<A>>) {
        let mut sent: BTreeMap<&Node, Vec<u32>> = BTreeMap::new();
        for (index, state) in (0..).zip(&self.tasks) {
            if let State::Sent { agent, .. } = state {
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

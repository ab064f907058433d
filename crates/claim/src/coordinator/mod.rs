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
mod task;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gentian_wire::id::{Ballot, Job, Node};
use gentian_wire::outcome::Outcome;

use crate::gate::Ask;
use crate::home::{self, Claim};
use crate::refusal::Refusal;

use asking::Asking;
use task::{Ready, State};

pub use event::{Action, Answer, Event, Load, Offer, Place, Plan, Reply};

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
            ballot: home::first(plan.coordinator),
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
    pub fn strays(&self) -> u64 {
        self.strays
    }

    /// Number of tasks that wait to be started.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// When a task that was refused everywhere may be tried again.
    pub fn wake(&self) -> Option<Duration> {
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
            Event::Followed(answer) => self.followed(answer, &mut out),
            Event::Started { task, agent, reply } => self.started(task, &agent, reply, now),
            Event::Asked { agent, answers } => self.asked(&agent, answers, &mut out),
            Event::Lost { agent } => self.lost(&agent),
            Event::Ended => self.doomed = true,
        }
        self.conclude(&mut out);
        out
    }

    /// Emits starts for up to `credit` of the waiting tasks.
    pub fn start(&mut self, now: Duration, credit: usize, load: &mut impl Load) -> Vec<Action<A>> {
        let mut out = Vec::new();
        for _ in 0..self.queue.len() {
            if out.len() == credit {
                break;
            }
            let Some(offer) = self.offer(now) else {
                break;
            };
            let open: Vec<&Node> = offer.candidates.iter().collect();
            match load.pick(&open) {
                Some(chosen) => out.extend(self.assign(offer.task, &offer.candidates[chosen])),
                None => self.queue.push_back(offer.task),
            }
        }
        out
    }

    /// Takes a waiting task out, for a caller that finds a place for it by and
    /// by. Each offer ends with [`assign`](Self::assign) or
    /// [`decline`](Self::decline).
    pub fn offer(&mut self, now: Duration) -> Option<Offer> {
        for _ in 0..self.queue.len() {
            let task = self.queue.pop_front()?;
            let candidates = self.open(task, now);
            if !candidates.is_empty() {
                return Some(Offer { task, candidates });
            }
            self.queue.push_back(task);
        }
        None
    }

    /// Sends an offered task to `agent`, unless the job was answered since.
    pub fn assign(&mut self, task: u32, agent: &Node) -> Option<Action<A>> {
        let state = self.tasks.get_mut(task as usize)?;
        let State::Ready(ready) = *state else {
            return None;
        };
        let agent = agent.clone();
        *state = State::Sent {
            agent: agent.clone(),
            ready,
        };
        Some(Action::Start { task, agent })
    }

    /// Puts an offered task back, for which no place was found.
    pub fn decline(&mut self, task: u32, now: Duration) -> Vec<Action<A>> {
        let mut out = Vec::new();
        let index = task as usize;
        if let Some(State::Ready(ready)) = self.tasks.get(index) {
            let ready = ready.next_round(now);
            self.wait(index, ready);
            self.conclude(&mut out);
        }
        out
    }

    fn open(&self, task: u32, now: Duration) -> Vec<Node> {
        let index = task as usize;
        match &self.tasks[index] {
            State::Ready(ready) => ready.open(&self.plan.tasks[index].candidates, now),
            _ => Vec::new(),
        }
    }

    fn claimed(&mut self, claim: home::Result<Claim>, out: &mut Vec<Action<A>>) {
        if self.phase != Phase::Claiming {
            self.strays += 1;
            return;
        }
        let id = self.plan.coordinator;
        match claim {
            Ok(Claim::First) => self.run(),
            Ok(Claim::Forgotten) => self.take_over(home::second(id), out),
            Ok(Claim::Claimed(holder)) if holder.ballot.coordinator == id => {
                self.take_over(holder.successor(id), out);
            }
            Ok(Claim::Claimed(holder)) => {
                self.phase = Phase::Following;
                self.hold();
                self.ballot = holder.successor(id);
                out.push(Action::Follow { holder });
            }
            Err(_) => self.doomed = true,
        }
    }

    fn claim_failed(&mut self) {
        if self.phase == Phase::Claiming {
            self.doomed = true;
        }
    }

    fn followed(&mut self, answer: Option<Answer<A>>, out: &mut Vec<Action<A>>) {
        if self.phase != Phase::Following {
            self.strays += 1;
            return;
        }
        let fits = |answer: &Answer<A>| {
            answer.job == self.plan.job && answer.tasks.len() == self.tasks.len()
        };
        match answer.filter(fits) {
            Some(answer) => {
                self.phase = Phase::Answered;
                out.push(Action::Answer(answer));
            }
            None => self.take_over(self.ballot, out),
        }
    }

    /// Nobody else has the job: all tasks may start.
    fn run(&mut self) {
        self.phase = Phase::Running;
        for index in 0..self.tasks.len() {
            self.ready(index);
        }
    }

    /// Another coordinator has or had the job, so that nothing is proved of the
    /// tasks that this one has not sent.
    fn hold(&mut self) {
        for state in &mut self.tasks {
            if matches!(state, State::Unclaimed | State::Ready(_)) {
                *state = State::Held;
            }
        }
    }

    /// Asks all candidates of all views before a task may start.
    fn take_over(&mut self, ballot: Ballot, out: &mut Vec<Action<A>>) {
        self.phase = Phase::Running;
        self.ballot = ballot;
        self.hold();
        let mut asks: BTreeMap<Node, Vec<u32>> = BTreeMap::new();
        for (index, place) in (0..).zip(&self.plan.tasks) {
            let Some(former) = &place.former else {
                self.settle(index as usize, Outcome::Unknown, None);
                return;
            };
            for agent in former {
                asks.entry(agent.clone()).or_default().push(index);
            }
            self.tasks[index as usize] = State::Asking(Asking::new(former));
        }
        let ask = |(agent, tasks)| Action::Ask {
            agent,
            tasks,
            wait: false,
        };
        out.extend(asks.into_iter().map(ask));
    }

    fn asked(&mut self, agent: &Node, answers: Vec<(u32, Ask<A>)>, out: &mut Vec<Action<A>>) {
        for (index, ask) in answers {
            let index = index as usize;
            match self.tasks.get(index) {
                Some(State::Asking(asking)) if asking.awaits(agent) => {
                    self.told(index, agent, ask, out);
                }
                Some(State::Elsewhere(at)) if at == agent => self.told(index, agent, ask, out),
                _ => self.strays += 1,
            }
        }
    }

    /// Takes one candidate's answer about one task.
    fn told(&mut self, index: usize, agent: &Node, ask: Ask<A>, out: &mut Vec<Action<A>>) {
        match ask {
            Ask::Finished { outcome, answer } => self.ended(index, outcome, answer),
            Ask::Running => {
                self.tasks[index] = State::Elsewhere(agent.clone());
                out.push(Action::Ask {
                    agent: agent.clone(),
                    tasks: vec![index as u32],
                    wait: true,
                });
            }
            Ask::Tombstoned => self.promised(index, agent, out),
            Ask::Forgotten | Ask::Superseded => self.blocked(index, agent),
        }
    }

    fn promised(&mut self, index: usize, agent: &Node, out: &mut Vec<Action<A>>) {
        if let State::Asking(asking) = &mut self.tasks[index] {
            asking.promised(agent);
            self.decide(index);
        } else {
            self.ask_again(index, out);
        }
    }

    fn blocked(&mut self, index: usize, agent: &Node) {
        if let State::Asking(asking) = &mut self.tasks[index] {
            asking.blocked(agent);
            self.decide(index);
        } else {
            self.settle(index, Outcome::Unknown, None);
        }
    }

    /// Decides a task once all its candidates have spoken.
    fn decide(&mut self, index: usize) {
        let State::Asking(asking) = &self.tasks[index] else {
            return;
        };
        match asking.verdict() {
            None => {}
            Some(true) => self.ready(index),
            Some(false) => self.settle(index, Outcome::Unknown, None),
        }
    }

    /// A start that was running was taken back: its candidates are asked anew.
    fn ask_again(&mut self, index: usize, out: &mut Vec<Action<A>>) {
        let Some(former) = &self.plan.tasks[index].former else {
            return;
        };
        let ask = |agent: &Node| Action::Ask {
            agent: agent.clone(),
            tasks: vec![index as u32],
            wait: false,
        };
        out.extend(former.iter().map(ask));
        self.tasks[index] = State::Asking(Asking::new(former));
    }

    fn started(&mut self, index: u32, agent: &Node, reply: Reply<A>, now: Duration) {
        let index = index as usize;
        let ready = match self.tasks.get(index) {
            Some(State::Sent { agent: at, ready }) if at == agent => *ready,
            _ => {
                self.strays += 1;
                return;
            }
        };
        match reply {
            Reply::Ended { outcome, answer } => self.ended(index, outcome, Some(answer)),
            Reply::Refused(refusal) => self.refused(index, refusal, ready, agent, now),
            Reply::Unsent => self.retry(index, ready, agent, now),
            Reply::Lost => self.settle(index, Outcome::Unknown, None),
        }
    }

    /// A task has run. Done without its answer is of no use to the caller.
    fn ended(&mut self, index: usize, outcome: Outcome, answer: Option<A>) {
        let outcome = match outcome {
            Outcome::Done if answer.is_none() => Outcome::Failed,
            // The gate can't say so of a task it has started.
            Outcome::NotRun => Outcome::Unknown,
            outcome => outcome,
        };
        self.settle(index, outcome, answer);
    }

    fn refused(
        &mut self,
        index: usize,
        refusal: Refusal,
        ready: Ready,
        agent: &Node,
        now: Duration,
    ) {
        if refusal.may_retry() {
            self.retry(index, ready, agent, now);
        } else if refusal.proves_not_run() {
            self.settle(index, Outcome::NotRun, None);
        } else {
            self.settle(index, Outcome::Unknown, None);
            self.hold();
        }
    }

    fn retry(&mut self, index: usize, ready: Ready, agent: &Node, now: Duration) {
        let candidates = &self.plan.tasks[index].candidates;
        let ready = ready.after_refusal(candidates, agent, now);
        self.wait(index, ready);
    }

    /// Puts a task in the queue again, or gives it up after its last round.
    fn wait(&mut self, index: usize, ready: Option<Ready>) {
        match ready {
            Some(ready) => {
                self.tasks[index] = State::Ready(ready);
                self.queue.push_back(index as u32);
            }
            None => self.settle(index, Outcome::NotRun, None),
        }
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

//! Handles the reply to the claim, and takes the job over from an earlier
//! coordinator unless the reply rules one out.

use std::collections::BTreeMap;

use gentian_wire::id::{Ballot, Node};
use gentian_wire::outcome::Outcome;

use super::candidate_check::CandidateCheck;
use super::event::{Action, Answer};
use super::task::TaskState;
use super::{Coordinator, Phase};
use crate::gate::TaskStatus;
use crate::home::{self, ClaimOutcome};

impl<A: Clone> Coordinator<A> {
    pub(super) fn handle_claim_reply(
        &mut self,
        claim: home::Result<ClaimOutcome>,
        out: &mut Vec<Action<A>>,
    ) {
        if self.phase != Phase::Claiming {
            self.unexpected_replies += 1;
            return;
        }
        let id = self.plan.coordinator;
        match claim {
            Ok(ClaimOutcome::First) => self.enqueue_all(),
            Ok(ClaimOutcome::Forgotten) => self.take_over(home::takeover_ballot(id), out),
            Ok(ClaimOutcome::Claimed(holder)) if holder.ballot.coordinator == id => {
                self.take_over(holder.next_ballot(id), out);
            }
            Ok(ClaimOutcome::Claimed(holder)) => {
                self.phase = Phase::Following;
                self.mark_held_by_other();
                self.ballot = holder.next_ballot(id);
                out.push(Action::Follow { holder });
            }
            Err(_) => self.failed = true,
        }
    }

    pub(super) fn claim_failed(&mut self) {
        if self.phase == Phase::Claiming {
            self.failed = true;
        }
    }

    pub(super) fn handle_follow_end(
        &mut self,
        answer: Option<Answer<A>>,
        out: &mut Vec<Action<A>>,
    ) {
        if self.phase != Phase::Following {
            self.unexpected_replies += 1;
            return;
        }
        let is_for_job = |answer: &Answer<A>| {
            answer.job == self.plan.job && answer.tasks.len() == self.tasks.len()
        };
        match answer.filter(is_for_job) {
            Some(answer) => {
                self.phase = Phase::Answered;
                out.push(Action::Answer(answer));
            }
            None => self.take_over(self.ballot, out),
        }
    }

    /// Queues all tasks, since no other coordinator has claimed the job.
    pub(super) fn enqueue_all(&mut self) {
        self.phase = Phase::Running;
        for index in 0..self.tasks.len() {
            self.enqueue(index);
        }
    }

    /// Marks all tasks that this coordinator has not sent as possibly started by
    /// another coordinator.
    pub(super) fn mark_held_by_other(&mut self) {
        for state in &mut self.tasks {
            if matches!(state, TaskState::Unclaimed | TaskState::Ready(_)) {
                *state = TaskState::HeldByOther;
            }
        }
    }

    /// Asks the candidates of all views since the job's creation whether they have
    /// started its tasks. A task may start once all its candidates have tombstoned it.
    pub(super) fn take_over(&mut self, ballot: Ballot, out: &mut Vec<Action<A>>) {
        self.phase = Phase::Running;
        self.ballot = ballot;
        self.mark_held_by_other();
        let mut asks: BTreeMap<Node, Vec<u32>> = BTreeMap::new();
        for (index, agents) in (0..).zip(&self.plan.tasks) {
            let Some(may_have_started) = &agents.may_have_started else {
                self.finish_task(index as usize, Outcome::Unknown, None);
                return;
            };
            for agent in may_have_started {
                asks.entry(agent.clone()).or_default().push(index);
            }
            self.tasks[index as usize] = TaskState::Checking(CandidateCheck::new(may_have_started));
        }
        let ask = |(agent, tasks)| Action::Ask {
            agent,
            tasks,
            wait: false,
        };
        out.extend(asks.into_iter().map(ask));
    }

    pub(super) fn handle_ask_reply(
        &mut self,
        agent: &Node,
        answers: Vec<(u32, TaskStatus<A>)>,
        out: &mut Vec<Action<A>>,
    ) {
        for (index, status) in answers {
            let index = index as usize;
            match self.tasks.get(index) {
                Some(TaskState::Checking(check)) if check.awaits(agent) => {
                    self.handle_status(index, agent, status, out);
                }
                Some(TaskState::StartedByOther(at)) if at == agent => {
                    self.handle_status(index, agent, status, out)
                }
                _ => self.unexpected_replies += 1,
            }
        }
    }

    /// Handles the status of one task at one candidate.
    pub(super) fn handle_status(
        &mut self,
        index: usize,
        agent: &Node,
        status: TaskStatus<A>,
        out: &mut Vec<Action<A>>,
    ) {
        match status {
            TaskStatus::Finished { outcome, answer } => self.finish_started(index, outcome, answer),
            TaskStatus::Running => {
                self.tasks[index] = TaskState::StartedByOther(agent.clone());
                out.push(Action::Ask {
                    agent: agent.clone(),
                    tasks: vec![index as u32],
                    wait: true,
                });
            }
            TaskStatus::Tombstoned => self.handle_tombstone(index, agent, out),
            TaskStatus::Forgotten | TaskStatus::Superseded => {
                self.handle_inconclusive(index, agent)
            }
        }
    }

    /// Handles a candidate that has tombstoned a task. If the task was running there
    /// before, its start was undone.
    pub(super) fn handle_tombstone(
        &mut self,
        index: usize,
        agent: &Node,
        out: &mut Vec<Action<A>>,
    ) {
        if let TaskState::Checking(check) = &mut self.tasks[index] {
            check.tombstoned(agent);
            self.decide(index);
        } else {
            self.ask_again(index, out);
        }
    }

    /// Handles a candidate that can't tell whether it has started a task, or that can't
    /// be reached.
    pub(super) fn handle_inconclusive(&mut self, index: usize, agent: &Node) {
        if let TaskState::Checking(check) = &mut self.tasks[index] {
            check.inconclusive(agent);
            self.decide(index);
        } else {
            self.finish_task(index, Outcome::Unknown, None);
        }
    }

    /// Queues or finishes a task once all its candidates have replied.
    pub(super) fn decide(&mut self, index: usize) {
        let TaskState::Checking(check) = &self.tasks[index] else {
            return;
        };
        match check.may_start() {
            None => {}
            Some(true) => self.enqueue(index),
            Some(false) => self.finish_task(index, Outcome::Unknown, None),
        }
    }

    /// Asks all candidates again, after the agent at which the task was running
    /// has undone its start.
    pub(super) fn ask_again(&mut self, index: usize, out: &mut Vec<Action<A>>) {
        let Some(may_have_started) = &self.plan.tasks[index].may_have_started else {
            return;
        };
        let ask = |agent: &Node| Action::Ask {
            agent: agent.clone(),
            tasks: vec![index as u32],
            wait: false,
        };
        out.extend(may_have_started.iter().map(ask));
        self.tasks[index] = TaskState::Checking(CandidateCheck::new(may_have_started));
    }
}

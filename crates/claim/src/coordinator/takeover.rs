//! The claim, and what follows it where another coordinator had the job.

use std::collections::BTreeMap;

use gentian_wire::id::{Ballot, Node};
use gentian_wire::outcome::Outcome;

use super::asking::Asking;
use super::event::{Action, Answer};
use super::task::State;
use super::{Coordinator, Phase};
use crate::gate::TaskStatus;
use crate::home::{self, ClaimOutcome};

impl<A: Clone> Coordinator<A> {
    pub(super) fn claimed(&mut self, claim: home::Result<ClaimOutcome>, out: &mut Vec<Action<A>>) {
        if self.phase != Phase::Claiming {
            self.strays += 1;
            return;
        }
        let id = self.plan.coordinator;
        match claim {
            Ok(ClaimOutcome::First) => self.run(),
            Ok(ClaimOutcome::Forgotten) => self.take_over(home::takeover_ballot(id), out),
            Ok(ClaimOutcome::Claimed(holder)) if holder.ballot.coordinator == id => {
                self.take_over(holder.next_ballot(id), out);
            }
            Ok(ClaimOutcome::Claimed(holder)) => {
                self.phase = Phase::Following;
                self.hold();
                self.ballot = holder.next_ballot(id);
                out.push(Action::Follow { holder });
            }
            Err(_) => self.doomed = true,
        }
    }

    pub(super) fn claim_failed(&mut self) {
        if self.phase == Phase::Claiming {
            self.doomed = true;
        }
    }

    pub(super) fn followed(&mut self, answer: Option<Answer<A>>, out: &mut Vec<Action<A>>) {
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
    pub(super) fn run(&mut self) {
        self.phase = Phase::Running;
        for index in 0..self.tasks.len() {
            self.ready(index);
        }
    }

    /// Another coordinator has or had the job, so that nothing is proved of the
    /// tasks that this one has not sent.
    pub(super) fn hold(&mut self) {
        for state in &mut self.tasks {
            if matches!(state, State::Unclaimed | State::Ready(_)) {
                *state = State::Held;
            }
        }
    }

    /// Asks all candidates of all views before a task may start.
    pub(super) fn take_over(&mut self, ballot: Ballot, out: &mut Vec<Action<A>>) {
        self.phase = Phase::Running;
        self.ballot = ballot;
        self.hold();
        let mut asks: BTreeMap<Node, Vec<u32>> = BTreeMap::new();
        for (index, place) in (0..).zip(&self.plan.tasks) {
            let Some(may_have_started) = &place.may_have_started else {
                self.settle(index as usize, Outcome::Unknown, None);
                return;
            };
            for agent in may_have_started {
                asks.entry(agent.clone()).or_default().push(index);
            }
            self.tasks[index as usize] = State::Asking(Asking::new(may_have_started));
        }
        let ask = |(agent, tasks)| Action::Ask {
            agent,
            tasks,
            wait: false,
        };
        out.extend(asks.into_iter().map(ask));
    }

    pub(super) fn asked(
        &mut self,
        agent: &Node,
        answers: Vec<(u32, TaskStatus<A>)>,
        out: &mut Vec<Action<A>>,
    ) {
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
    pub(super) fn told(
        &mut self,
        index: usize,
        agent: &Node,
        ask: TaskStatus<A>,
        out: &mut Vec<Action<A>>,
    ) {
        match ask {
            TaskStatus::Finished { outcome, answer } => self.ended(index, outcome, answer),
            TaskStatus::Running => {
                self.tasks[index] = State::Elsewhere(agent.clone());
                out.push(Action::Ask {
                    agent: agent.clone(),
                    tasks: vec![index as u32],
                    wait: true,
                });
            }
            TaskStatus::Tombstoned => self.promised(index, agent, out),
            TaskStatus::Forgotten | TaskStatus::Superseded => self.blocked(index, agent),
        }
    }

    pub(super) fn promised(&mut self, index: usize, agent: &Node, out: &mut Vec<Action<A>>) {
        if let State::Asking(asking) = &mut self.tasks[index] {
            asking.promised(agent);
            self.decide(index);
        } else {
            self.ask_again(index, out);
        }
    }

    pub(super) fn blocked(&mut self, index: usize, agent: &Node) {
        if let State::Asking(asking) = &mut self.tasks[index] {
            asking.blocked(agent);
            self.decide(index);
        } else {
            self.settle(index, Outcome::Unknown, None);
        }
    }

    /// Decides a task once all its candidates have spoken.
    pub(super) fn decide(&mut self, index: usize) {
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
        self.tasks[index] = State::Asking(Asking::new(may_have_started));
    }
}

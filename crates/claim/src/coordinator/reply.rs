//! How starts end.

use std::time::Duration;

use gentian_wire::id::Node;
use gentian_wire::outcome::Outcome;

use super::event::StartResult;
use super::task::{Ready, State};
use super::Coordinator;
use crate::refusal::Refusal;

impl<A: Clone> Coordinator<A> {
    pub(super) fn started(
        &mut self,
        index: u32,
        agent: &Node,
        reply: StartResult<A>,
        now: Duration,
    ) {
        let index = index as usize;
        let ready = match self.tasks.get(index) {
            Some(State::Sent { agent: at, ready }) if at == agent => *ready,
            _ => {
                self.strays += 1;
                return;
            }
        };
        match reply {
            StartResult::Finished { outcome, answer } => self.ended(index, outcome, Some(answer)),
            StartResult::Refused(refusal) => self.refused(index, refusal, ready, agent, now),
            StartResult::NotSent => self.retry(index, ready, agent, now),
            StartResult::NoReply => self.settle(index, Outcome::Unknown, None),
        }
    }

    /// A task has run. Done without its answer is of no use to the caller.
    pub(super) fn ended(&mut self, index: usize, outcome: Outcome, answer: Option<A>) {
        let outcome = match outcome {
            Outcome::Done if answer.is_none() => Outcome::Failed,
            // The gate can't say so of a task it has started.
            Outcome::NotRun => Outcome::Unknown,
            outcome => outcome,
        };
        self.settle(index, outcome, answer);
    }

    pub(super) fn refused(
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

    pub(super) fn retry(&mut self, index: usize, ready: Ready, agent: &Node, now: Duration) {
        let candidates = &self.plan.tasks[index].candidates;
        let ready = ready.after_refusal(candidates, agent, now);
        self.wait(index, ready);
    }

    /// Puts a task in the queue again, or gives it up after its last round.
    pub(super) fn wait(&mut self, index: usize, ready: Option<Ready>) {
        match ready {
            Some(ready) => {
                self.tasks[index] = State::Ready(ready);
                self.queue.push_back(index as u32);
            }
            None => self.settle(index, Outcome::NotRun, None),
        }
    }
}

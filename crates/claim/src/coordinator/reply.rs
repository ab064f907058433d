//! Handles the replies to starts.

use std::time::Duration;

use gentian_wire::id::Node;
use gentian_wire::outcome::Outcome;

use super::event::StartResult;
use super::task::{Ready, TaskState};
use super::Coordinator;
use crate::refusal::Refusal;

impl<A: Clone> Coordinator<A> {
    pub(super) fn handle_start_end(
        &mut self,
        index: u32,
        agent: &Node,
        reply: StartResult<A>,
        now: Duration,
    ) {
        let index = index as usize;
        let ready = match self.tasks.get(index) {
            Some(TaskState::Sent { agent: at, ready }) if at == agent => *ready,
            _ => {
                self.unexpected_replies += 1;
                return;
            }
        };
        match reply {
            StartResult::Finished { outcome, answer } => {
                self.finish_started(index, outcome, Some(answer))
            }
            StartResult::Refused(refusal) => self.handle_refusal(index, refusal, ready, agent, now),
            StartResult::NotSent => self.retry_elsewhere(index, ready, agent, now),
            StartResult::NoReply => self.finish_task(index, Outcome::Unknown, None),
        }
    }

    /// Finishes a task that has run. Without its answer, which the caller needs, a task
    /// that is `Done` counts as `Failed`.
    pub(super) fn finish_started(&mut self, index: usize, outcome: Outcome, answer: Option<A>) {
        let outcome = match outcome {
            Outcome::Done if answer.is_none() => Outcome::Failed,
            // The gate never reports this outcome for a task that it has started.
            Outcome::NotRun => Outcome::Unknown,
            outcome => outcome,
        };
        self.finish_task(index, outcome, answer);
    }

    /// Retries a refused task elsewhere or finishes it. After `Duplicate` or `Tombstoned`,
    /// another coordinator has started or may start tasks of the job, so this one starts
    /// no more.
    pub(super) fn handle_refusal(
        &mut self,
        index: usize,
        refusal: Refusal,
        ready: Ready,
        agent: &Node,
        now: Duration,
    ) {
        if refusal.may_retry() {
            self.retry_elsewhere(index, ready, agent, now);
        } else if refusal.proves_not_run() {
            self.finish_task(index, Outcome::NotRun, None);
        } else {
            self.finish_task(index, Outcome::Unknown, None);
            self.mark_held_by_other();
        }
    }

    /// Queues a task again that did not start at `agent`, or gives it up after the last
    /// round.
    pub(super) fn retry_elsewhere(
        &mut self,
        index: usize,
        ready: Ready,
        agent: &Node,
        now: Duration,
    ) {
        let candidates = &self.plan.tasks[index].candidates;
        let ready = ready.after_refusal(candidates, agent, now);
        self.requeue(index, ready);
    }

    /// Puts a task back into the queue, or gives it up if `ready` is `None`.
    pub(super) fn requeue(&mut self, index: usize, ready: Option<Ready>) {
        match ready {
            Some(ready) => {
                self.tasks[index] = TaskState::Ready(ready);
                self.waiting_tasks.push_back(index as u32);
            }
            None => self.finish_task(index, Outcome::NotRun, None),
        }
    }
}

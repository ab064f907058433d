//! Offers waiting tasks to the caller, and starts those that the caller found an
//! agent for.

use std::time::Duration;

use gentian_wire::id::Node;

use super::event::{Action, AgentPicker, Offer, Retry};
use super::task::TaskState;
use super::Coordinator;

impl<A: Clone> Coordinator<A> {
    /// Starts up to `max_starts` of the waiting tasks at agents chosen by `picker`.
    pub fn start(
        &mut self,
        now: Duration,
        max_starts: usize,
        picker: &mut impl AgentPicker,
    ) -> Vec<Action<A>> {
        let mut out = Vec::new();
        for _ in 0..self.waiting_tasks.len() {
            if out.len() == max_starts {
                break;
            }
            let Some(offer) = self.offer(now) else {
                break;
            };
            let eligible: Vec<&Node> = offer.candidates.iter().collect();
            match picker.pick(&eligible) {
                Some(chosen) => out.extend(self.assign(offer.task, &offer.candidates[chosen])),
                None => self.waiting_tasks.push_back(offer.task),
            }
        }
        out
    }

    /// Takes a task out of the queue, for a caller that finds an agent for it
    /// asynchronously. The caller must end each offer with
    /// [`assign`](Self::assign) or [`decline`](Self::decline).
    pub fn offer(&mut self, now: Duration) -> Option<Offer> {
        for _ in 0..self.waiting_tasks.len() {
            let task = self.waiting_tasks.pop_front()?;
            let candidates = self.eligible(task, now);
            if !candidates.is_empty() {
                return Some(Offer { task, candidates });
            }
            self.waiting_tasks.push_back(task);
        }
        None
    }

    /// Starts an offered task at `agent`, unless the job was answered since.
    pub fn assign(&mut self, task: u32, agent: &Node) -> Option<Action<A>> {
        let state = self.tasks.get_mut(task as usize)?;
        let TaskState::Ready(ready) = *state else {
            return None;
        };
        let agent = agent.clone();
        *state = TaskState::Sent {
            agent: agent.clone(),
            ready,
        };
        Some(Action::Start { task, agent })
    }

    /// Returns an offered task for which the caller found no agent.
    pub fn decline(&mut self, task: u32, retry: Retry, now: Duration) -> Vec<Action<A>> {
        let mut out = Vec::new();
        let index = task as usize;
        if let Some(TaskState::Ready(ready)) = self.tasks.get(index) {
            let ready = match retry {
                Retry::NextRound => ready.next_round(now),
                Retry::At(from) => Some(ready.delay_until(from)),
                Retry::GiveUp => None,
            };
            self.requeue(index, ready);
            self.answer_if_decided(&mut out);
        }
        out
    }

    /// The candidates at which a task may start now; none unless the task is ready.
    pub(super) fn eligible(&self, task: u32, now: Duration) -> Vec<Node> {
        let index = task as usize;
        match &self.tasks[index] {
            TaskState::Ready(ready) => ready.eligible(&self.plan.tasks[index].candidates, now),
            _ => Vec::new(),
        }
    }
}

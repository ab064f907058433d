//! Which tasks may start, and where.

use std::time::Duration;

use gentian_wire::id::Node;

use super::event::{Action, AgentPicker, Offer, Retry};
use super::task::State;
use super::Coordinator;

impl<A: Clone> Coordinator<A> {
    /// Emits starts for up to `credit` of the waiting tasks.
    pub fn start(
        &mut self,
        now: Duration,
        credit: usize,
        picker: &mut impl AgentPicker,
    ) -> Vec<Action<A>> {
        let mut out = Vec::new();
        for _ in 0..self.queue.len() {
            if out.len() == credit {
                break;
            }
            let Some(offer) = self.offer(now) else {
                break;
            };
            let open: Vec<&Node> = offer.candidates.iter().collect();
            match picker.pick(&open) {
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
    pub fn decline(&mut self, task: u32, retry: Retry, now: Duration) -> Vec<Action<A>> {
        let mut out = Vec::new();
        let index = task as usize;
        if let Some(State::Ready(ready)) = self.tasks.get(index) {
            let ready = match retry {
                Retry::NextRound => ready.next_round(now),
                Retry::At(from) => Some(ready.put_off(from)),
                Retry::GiveUp => None,
            };
            self.wait(index, ready);
            self.conclude(&mut out);
        }
        out
    }

    pub(super) fn open(&self, task: u32, now: Duration) -> Vec<Node> {
        let index = task as usize;
        match &self.tasks[index] {
            State::Ready(ready) => ready.open(&self.plan.tasks[index].candidates, now),
            _ => Vec::new(),
        }
    }
}

//! The state of one task at its coordinator.

use std::time::Duration;

use gentian_wire::id::Node;
use gentian_wire::outcome::Outcome;

use super::asking::Asking;
use super::event::{PAUSE, ROUNDS};

#[derive(Debug)]
pub(super) enum State<A> {
    /// Nothing was sent, the claim included.
    Unclaimed,
    /// Another coordinator had the job before this one.
    Held,
    Asking(Asking),
    /// Started by an earlier coordinator and running there.
    Elsewhere(Node),
    Ready(Ready),
    Sent {
        agent: Node,
        ready: Ready,
    },
    Over {
        outcome: Outcome,
        answer: Option<A>,
    },
}

impl<A> State<A> {
    /// What is told of the task when the job is answered now.
    pub(super) fn into_outcome(self) -> (Outcome, Option<A>) {
        match self {
            State::Over { outcome, answer } => (outcome, answer),
            State::Unclaimed | State::Ready(_) => (Outcome::NotRun, None),
            State::Held | State::Asking(_) | State::Elsewhere(_) | State::Sent { .. } => {
                (Outcome::Unknown, None)
            }
        }
    }
}

/// A task that may start at any of its candidates.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ready {
    /// A bit for each candidate that has refused it in this round.
    refused: u64,
    rounds: u8,
    /// Earliest time of the next start.
    from: Duration,
}

impl Ready {
    /// Earliest time of the next start, where there is one.
    pub(super) fn wake(&self) -> Option<Duration> {
        (!self.from.is_zero()).then_some(self.from)
    }

    /// The candidates that may be sent to.
    pub(super) fn open(&self, candidates: &[Node], now: Duration) -> Vec<Node> {
        if now < self.from {
            return Vec::new();
        }
        let open = |(i, _): &(u32, _)| self.refused & bit(*i) == 0;
        let open = (0..).zip(candidates).filter(open);
        open.map(|(_, agent)| agent.clone()).collect()
    }

    /// The state after a refusal, or nothing after the last round.
    pub(super) fn after_refusal(
        mut self,
        candidates: &[Node],
        agent: &Node,
        now: Duration,
    ) -> Option<Ready> {
        for (i, candidate) in (0..).zip(candidates) {
            if candidate == agent {
                self.refused |= bit(i);
            }
        }
        if self.open(candidates, Duration::MAX).is_empty() {
            self.next_round(now)
        } else {
            Some(self)
        }
    }

    /// The state until `from`, when it may start again.
    pub(super) fn put_off(mut self, from: Duration) -> Ready {
        self.from = from;
        self
    }

    /// The state after all candidates have refused, or nothing after the last
    /// round.
    pub(super) fn next_round(mut self, now: Duration) -> Option<Ready> {
        self.rounds += 1;
        self.refused = 0;
        self.from = now + PAUSE * u32::from(self.rounds);
        (self.rounds < ROUNDS).then_some(self)
    }
}

/// Candidates beyond the 64th share a bit.
fn bit(index: u32) -> u64 {
    1 << index.min(63)
}

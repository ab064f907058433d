//! State of one task at its coordinator.

use std::time::Duration;

use gentian_wire::id::Node;
use gentian_wire::outcome::Outcome;

use super::candidate_check::CandidateCheck;
use super::event::{MAX_ROUNDS, ROUND_PAUSE};

#[derive(Debug)]
pub(super) enum TaskState<A> {
    /// The home agent has not replied to the claim yet, so the task was not sent.
    Unclaimed,
    /// Another coordinator may have started the task.
    HeldByOther,
    /// The candidates are being asked whether they have started the task.
    Checking(CandidateCheck),
    /// An earlier coordinator started the task at this agent, where it runs.
    StartedByOther(Node),
    /// The task waits to be started.
    Ready(Ready),
    /// The task's start was sent to this agent, and its end is not known.
    Sent {
        agent: Node,
        /// State to go on with if the agent refuses the task.
        ready: Ready,
    },
    Finished {
        outcome: Outcome,
        answer: Option<A>,
    },
}

impl<A> TaskState<A> {
    /// Outcome and answer of the task if the job is answered in this state.
    pub(super) fn into_outcome(self) -> (Outcome, Option<A>) {
        match self {
            TaskState::Finished { outcome, answer } => (outcome, answer),
            TaskState::Unclaimed | TaskState::Ready(_) => (Outcome::NotRun, None),
            TaskState::HeldByOther
            | TaskState::Checking(_)
            | TaskState::StartedByOther(_)
            | TaskState::Sent { .. } => (Outcome::Unknown, None),
        }
    }
}

/// A task that may start at any candidate that has not refused it in this round.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Ready {
    /// Bit set of the candidates that have refused the task in this round.
    refused: u64,
    /// Number of rounds in which all candidates have refused the task.
    rounds: u8,
    /// Earliest time of the next start; zero if it may start at once.
    not_before: Duration,
}

impl Ready {
    /// Earliest time of the next start, if the task has to wait.
    pub(super) fn retry_time(&self) -> Option<Duration> {
        (!self.not_before.is_zero()).then_some(self.not_before)
    }

    /// The candidates at which the task may start now.
    pub(super) fn eligible(&self, candidates: &[Node], now: Duration) -> Vec<Node> {
        if now < self.not_before {
            return Vec::new();
        }
        let open = |(i, _): &(u32, _)| self.refused & bit(*i) == 0;
        let open = (0..).zip(candidates).filter(open);
        open.map(|(_, agent)| agent.clone()).collect()
    }

    /// The state after a refusal by `agent`, or `None` after the last round.
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
        if self.eligible(candidates, Duration::MAX).is_empty() {
            self.next_round(now)
        } else {
            Some(self)
        }
    }

    /// The same state with starts delayed until `not_before`.
    pub(super) fn delay_until(mut self, not_before: Duration) -> Ready {
        self.not_before = not_before;
        self
    }

    /// The state after all candidates have refused, or `None` after the last
    /// round.
    pub(super) fn next_round(mut self, now: Duration) -> Option<Ready> {
        self.rounds += 1;
        self.refused = 0;
        self.not_before = now + ROUND_PAUSE * u32::from(self.rounds);
        (self.rounds < MAX_ROUNDS).then_some(self)
    }
}

/// The bit that stands for a candidate. Candidates from the 64th on share a bit.
fn bit(index: u32) -> u64 {
    1 << index.min(63)
}

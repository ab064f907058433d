//! Retries of requests, at once or after a backoff, within the service's retry budget.

use std::time::Duration;

use gentian::limit::retry::Attempt;
use gentian::wire::outcome::Outcome;

use super::super::Reason;
use super::{PendingRequest, Service, DEFAULT_WAIT};

/// How long a request that an agent has refused waits in the entry when the retry
/// budget is spent.
const SPENT_BUDGET_WAIT: Duration = Duration::from_millis(50);

impl Service {
    /// Retries a request at once or after a backoff, if the retry budget allows it.
    pub(super) fn retry(&mut self, pending: PendingRequest, outcome: Outcome, now: Duration) {
        let earlier = pending.request.tried_agents.len().saturating_sub(1);
        let tried = Attempt {
            outcome,
            // Request handlers only ask for retries that are safe.
            idempotent: true,
            previous_attempts: u32::try_from(earlier).unwrap_or(u32::MAX),
            time_left: pending.deadline.saturating_sub(now),
            expected_run_time: self.runtime.quantile(0.5).unwrap_or_default(),
        };
        match tried.retry_backoff(&mut self.budget, &mut self.rng) {
            Some(Duration::ZERO) => self.enqueue(pending, now),
            Some(backoff) => self.postpone(pending, backoff, now),
            None if outcome == Outcome::NotRun
                && tried.time_left > tried.expected_run_time + SPENT_BUDGET_WAIT =>
            {
                self.postpone(pending, SPENT_BUDGET_WAIT, now);
            }
            None => self.refuse(pending, Reason::RetryBudgetSpent, DEFAULT_WAIT),
        }
    }

    fn postpone(&mut self, pending: PendingRequest, wait: Duration, now: Duration) {
        self.backoff.insert((now + wait, pending.number), pending);
    }

    /// Queues the retries whose backoff has ended.
    pub(super) fn end_backoffs(&mut self, now: Duration) {
        while let Some(first) = self.backoff.first_entry() {
            if first.key().0 > now {
                return;
            }
            let pending = first.remove();
            self.enqueue(pending, now);
        }
    }
}

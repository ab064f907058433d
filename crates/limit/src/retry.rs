//! Retries, on one layer and within a budget.
//!
//! Only an entry retries; an agent, an upstream's client and the callers' side
//! of an entry don't. The budget is a share of the requests that were let in, so
//! that a service that refuses or fails everything is not sent several times
//! its load.

use std::time::Duration;

use gentian_wire::outcome::Outcome;
use rand::Rng;

const SHORTEST: Duration = Duration::from_millis(2);
const LONGEST: Duration = Duration::from_millis(250);

/// Retries saved up at most.
const CAPACITY: f64 = 20.0;

/// Doublings after which a backoff is at its longest for certain.
const MOST_DOUBLINGS: u32 = 16;

/// Retries that the requests of one service may still cause.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// A budget of `share` retries per request, from 0 to 1, full at first.
    pub fn new(share: f64) -> Budget {
        Budget {
            share: share.clamp(0.0, 1.0),
            tokens: CAPACITY,
        }
    }

    /// Changes the share of retries per request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Counts a request that was let in.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(CAPACITY);
    }

    /// Takes a retry or a hedge out of the budget, if it holds one.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// One try that did not bring an answer.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// What became of it.
    pub outcome: Outcome,
    /// Whether the request may run twice.
    pub idempotent: bool,
    /// Tries before this one.
    pub previous_attempts: u32,
    /// Time left until the deadline.
    pub time_left: Duration,
    /// How long the request is expected to run.
    pub expected_run_time: Duration,
}

impl Attempt {
    /// How long to wait before the request is sent again, or nothing where it
    /// must not or can't be: it may have run, there is no time, or the budget
    /// is spent. A refusal is tried elsewhere at once the first time.
    pub fn retry_backoff<R: Rng>(&self, budget: &mut Budget, rng: &mut R) -> Option<Duration> {
        if !self.outcome.may_retry(self.idempotent) {
            return None;
        }
        let backoff = self.backoff(rng);
        let in_time = backoff.saturating_add(self.expected_run_time) <= self.time_left;
        (in_time && budget.try_withdraw()).then_some(backoff)
    }

    fn backoff<R: Rng>(&self, rng: &mut R) -> Duration {
        if self.outcome == Outcome::NotRun && self.previous_attempts == 0 {
            return Duration::ZERO;
        }
        let doubled = SHORTEST * 2u32.pow(self.previous_attempts.min(MOST_DOUBLINGS));
        doubled
            .min(LONGEST)
            .mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}

//! Retry budget and backoff.
//!
//! Only an entry's dispatcher retries; agents, clients of upstreams and the part of
//! an entry that faces callers do not, so that retries don't multiply across layers.
//! The budget is a share of the admitted requests, so that a service that refuses or
//! fails everything is not sent a multiple of its load.

use std::time::Duration;

use gentian_wire::outcome::Outcome;
use rand::Rng;

const MIN_BACKOFF: Duration = Duration::from_millis(2);
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Largest number of retries that the budget can accumulate.
const MAX_TOKENS: f64 = 20.0;

/// Bound on the exponent of the backoff, to avoid overflow; the backoff reaches its
/// maximum well before.
const MAX_DOUBLINGS: u32 = 16;

/// Retry budget of one service: a token bucket filled by admitted requests.
#[derive(Clone, Debug)]
pub struct Budget {
    share: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget that allows `share` retries per request, from 0 to 1.
    pub fn new(share: f64) -> Budget {
        Budget {
            share: share.clamp(0.0, 1.0),
            tokens: MAX_TOKENS,
        }
    }

    /// Changes the number of retries allowed per request.
    pub fn set_share(&mut self, share: f64) {
        self.share = share.clamp(0.0, 1.0);
    }

    /// Adds the share of one admitted request to the budget.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.share).min(MAX_TOKENS);
    }

    /// Takes one retry or hedge out of the budget; `false` if there is none left.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// An attempt that brought no answer.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
    /// Number of attempts before this one.
    pub previous_attempts: u32,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Expected run time of the request.
    pub expected_run_time: Duration,
}

impl Attempt {
    /// Time to wait before the request is retried, or `None` if it must not be: it may
    /// have run and is not idempotent, too little time is left, or the budget is spent.
    /// After its first refusal a request is retried without delay.
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
        let doubled = MIN_BACKOFF * 2u32.pow(self.previous_attempts.min(MAX_DOUBLINGS));
        doubled
            .min(MAX_BACKOFF)
            .mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}

//! Settings of outlier detection.

use std::time::Duration;

use rand::Rng;

/// Largest random addition to a backoff, as a share of it.
const JITTER: f64 = 0.3;

/// Bound on the exponent of the backoff, to avoid overflow; the backoff has reached its
/// maximum by then.
const MAX_DOUBLINGS: u32 = 16;

/// When upstreams are ejected, and when they return.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(crate) consecutive_failures: u32,
    pub(crate) consecutive_refusals: u32,
    pub(crate) slow_factor: f64,
    pub(crate) max_out_share: f64,
    pub(crate) min_ejection_time: Duration,
    pub(crate) max_ejection_time: Duration,
    pub(crate) trial_successes: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            consecutive_failures: 3,
            consecutive_refusals: 3,
            slow_factor: 4.0,
            max_out_share: 0.34,
            min_ejection_time: Duration::from_secs(2),
            max_ejection_time: Duration::from_secs(120),
            trial_successes: 3,
        }
    }
}

impl Settings {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Duration of an ejection that follows the given number of earlier ones.
    pub(crate) fn backoff<R: Rng>(&self, ejections: u32, rng: &mut R) -> Duration {
        let doubled = self.min_ejection_time * 2u32.pow(ejections.min(MAX_DOUBLINGS));
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        doubled.min(self.max_ejection_time).mul_f64(jitter)
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder(Settings);

impl Builder {
    /// Minimum number of failures in a row that ejects an upstream. More are needed if
    /// the other upstreams fail too.
    pub fn consecutive_failures(mut self, consecutive_failures: u32) -> Builder {
        self.0.consecutive_failures = consecutive_failures.max(1);
        self
    }

    /// Number of refusals in a row that ejects an upstream.
    pub fn consecutive_refusals(mut self, consecutive_refusals: u32) -> Builder {
        self.0.consecutive_refusals = consecutive_refusals.max(1);
        self
    }

    /// How many times slower than the others an upstream must be to be ejected.
    pub fn slow_factor(mut self, slow_factor: f64) -> Builder {
        self.0.slow_factor = slow_factor.max(1.5);
        self
    }

    /// Share of the upstreams that may be ejected or on trial at a time, from 0 to 1.
    /// If there are at least two upstreams, one may always be, but never all of them.
    pub fn max_out_share(mut self, share: f64) -> Builder {
        self.0.max_out_share = share.clamp(0.0, 1.0);
        self
    }

    /// Duration of the first ejection, before jitter is added.
    pub fn min_ejection_time(mut self, min_ejection_time: Duration) -> Builder {
        self.0.min_ejection_time = min_ejection_time;
        self
    }

    /// Longest duration of an ejection, before jitter is added. An upstream that has not
    /// been ejected for longer than this starts again with the shortest ejection.
    pub fn max_ejection_time(mut self, max_ejection_time: Duration) -> Builder {
        self.0.max_ejection_time = max_ejection_time;
        self
    }

    /// Number of good requests in a row that ends a trial.
    pub fn trial_successes(mut self, trial_successes: u32) -> Builder {
        self.0.trial_successes = trial_successes.max(1);
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}

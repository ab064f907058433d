//! Settings of the ejection.

use std::time::Duration;

use rand::Rng;

/// Part of a backoff that is random.
const JITTER: f64 = 0.3;

/// Doublings after which a backoff is at its longest for certain.
const MOST_DOUBLINGS: u32 = 16;

/// When an upstream is ejected and how it comes back.
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
    /// Settings to change one by one, from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Time out after the given number of earlier ejections.
    pub(crate) fn backoff<R: Rng>(&self, ejections: u32, rng: &mut R) -> Duration {
        let doubled = self.min_ejection_time * 2u32.pow(ejections.min(MOST_DOUBLINGS));
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        doubled.min(self.max_ejection_time).mul_f64(jitter)
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder(Settings);

impl Builder {
    /// Fewest failures in a row that eject; more where the others fail too.
    pub fn consecutive_failures(mut self, consecutive_failures: u32) -> Builder {
        self.0.consecutive_failures = consecutive_failures.max(1);
        self
    }

    /// Refusals in a row that eject.
    pub fn consecutive_refusals(mut self, consecutive_refusals: u32) -> Builder {
        self.0.consecutive_refusals = consecutive_refusals.max(1);
        self
    }

    /// How many times slower than the others ejects.
    pub fn slow_factor(mut self, slow_factor: f64) -> Builder {
        self.0.slow_factor = slow_factor.max(1.5);
        self
    }

    /// Share of the upstreams that may be out at a time, from 0 to 1; one may
    /// be where there are at least two.
    pub fn max_out_share(mut self, share: f64) -> Builder {
        self.0.max_out_share = share.clamp(0.0, 1.0);
        self
    }

    /// Time out after the first ejection.
    pub fn min_ejection_time(mut self, min_ejection_time: Duration) -> Builder {
        self.0.min_ejection_time = min_ejection_time;
        self
    }

    /// Longest time out, and time without an ejection after which earlier ones
    /// are forgotten.
    pub fn max_ejection_time(mut self, max_ejection_time: Duration) -> Builder {
        self.0.max_ejection_time = max_ejection_time;
        self
    }

    /// Good requests in a row that end a trial.
    pub fn trial_successes(mut self, trial_successes: u32) -> Builder {
        self.0.trial_successes = trial_successes.max(1);
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.0
    }
}

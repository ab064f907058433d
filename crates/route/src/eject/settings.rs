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
    pub(crate) failures: u32,
    pub(crate) refusals: u32,
    pub(crate) slow: f64,
    pub(crate) most_out: f64,
    pub(crate) shortest: Duration,
    pub(crate) longest: Duration,
    pub(crate) trials: u32,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            failures: 3,
            refusals: 3,
            slow: 4.0,
            most_out: 0.34,
            shortest: Duration::from_secs(2),
            longest: Duration::from_secs(120),
            trials: 3,
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
        let doubled = self.shortest * 2u32.pow(ejections.min(MOST_DOUBLINGS));
        let jitter = 1.0 + JITTER * rng.random::<f64>();
        doubled.min(self.longest).mul_f64(jitter)
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder(Settings);

impl Builder {
    /// Fewest failures in a row that eject; more where the others fail too.
    pub fn failures(mut self, failures: u32) -> Builder {
        self.0.failures = failures.max(1);
        self
    }

    /// Refusals in a row that eject.
    pub fn refusals(mut self, refusals: u32) -> Builder {
        self.0.refusals = refusals.max(1);
        self
    }

    /// How many times slower than the others ejects.
    pub fn slow(mut self, slow: f64) -> Builder {
        self.0.slow = slow.max(1.5);
        self
    }

    /// Share of the upstreams that may be out at a time, from 0 to 1; one may
    /// be where there are at least two.
    pub fn most_out(mut self, share: f64) -> Builder {
        self.0.most_out = share.clamp(0.0, 1.0);
        self
    }

    /// Time out after the first ejection.
    pub fn shortest(mut self, shortest: Duration) -> Builder {
        self.0.shortest = shortest;
        self
    }

    /// Longest time out, and time without an ejection after which earlier ones
    /// are forgotten.
    pub fn longest(mut self, longest: Duration) -> Builder {
        self.0.longest = longest;
        self
    }

    /// Good requests in a row that end a trial.
    pub fn trials(mut self, trials: u32) -> Builder {
        self.0.trials = trials.max(1);
        self
    }

    /// The settings.
    pub fn build(self) -> Settings {
        self.0
    }
}

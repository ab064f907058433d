//! Settings of a bulkhead.

use std::time::Duration;

/// When queues are confined, where, and for how long.
#[derive(Clone, Debug)]
pub struct Settings {
    pub(super) crash_time: Duration,
    pub(super) simultaneous: Duration,
    pub(super) fade: Duration,
    pub(super) quiet: Duration,
    pub(super) pool_share: f64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            crash_time: Duration::from_millis(20),
            simultaneous: Duration::from_millis(30),
            fade: Duration::from_secs(10),
            quiet: Duration::from_secs(5),
            pool_share: 0.34,
        }
    }
}

impl Settings {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Number of upstreams in the pool: at least one, if one is left for the others.
    pub(super) fn pool_size(&self, upstreams: usize) -> usize {
        let share = (upstreams as f64 * self.pool_share).ceil() as usize;
        share.min(upstreams.saturating_sub(1))
    }
}

/// Builds [`Settings`].
#[derive(Clone, Debug, Default)]
pub struct Builder(Settings);

impl Builder {
    /// Mean time from the start of a task that crashes its upstream to the crash.
    pub fn crash_time(mut self, time: Duration) -> Builder {
        self.0.crash_time = time;
        self
    }

    /// Crashes of two upstreams within this time have a common cause outside.
    pub fn simultaneous(mut self, time: Duration) -> Builder {
        self.0.simultaneous = time;
        self
    }

    /// Time in which evidence loses most of its weight.
    pub fn fade(mut self, time: Duration) -> Builder {
        self.0.fade = time;
        self
    }

    /// Time without a crash after which a queue is released; longer than a restart takes.
    pub fn quiet(mut self, time: Duration) -> Builder {
        self.0.quiet = time;
        self
    }

    /// Share of a service's upstreams in the pool.
    pub fn pool_share(mut self, share: f64) -> Builder {
        self.0.pool_share = share;
        self
    }

    /// Returns the settings.
    pub fn build(self) -> Settings {
        self.0
    }
}

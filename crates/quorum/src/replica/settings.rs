//! Timing and message size of a replica.

use std::time::Duration;

/// Settings that contradict one another.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The lease could lapse when one heartbeat round is lost.
    #[error("heartbeat interval {heartbeat:?} must be at most a third of the lease {lease:?}")]
    HeartbeatTooLong {
        /// The heartbeat interval.
        heartbeat: Duration,
        /// The lease duration.
        lease: Duration,
    },
    /// A follower could vote while the leader still holds its lease.
    #[error("lease {lease:?} and event gap {gap:?} together must be less than the election timeout {election:?}")]
    LeaseTooLong {
        /// The lease duration.
        lease: Duration,
        /// The longest gap between two events, which a jump of the clock may add
        /// to a follower's time without being noticed.
        gap: Duration,
        /// The election timeout.
        election: Duration,
    },
}

/// `Result` of building settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Timing and message size of a replica. All members must have equal settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    pub(crate) heartbeat_interval: Duration,
    pub(crate) election_timeout: Duration,
    pub(crate) lease_duration: Duration,
    pub(crate) max_event_gap: Duration,
    pub(crate) max_message_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(70),
            election_timeout: Duration::from_millis(400),
            lease_duration: Duration::from_millis(215),
            max_event_gap: Duration::from_millis(150),
            max_message_bytes: 1 << 20,
        }
    }
}

impl Settings {
    /// Starts from the defaults.
    pub fn builder() -> Builder {
        Builder(Self::default())
    }
}

/// Builds [`Settings`].
#[derive(Clone, Copy, Debug)]
pub struct Builder(Settings);

impl Builder {
    /// Time between two heartbeat rounds of a leader.
    pub fn heartbeat_interval(mut self, interval: Duration) -> Self {
        self.0.heartbeat_interval = interval;
        self
    }

    /// Shortest time without contact from a leader after which a member votes for
    /// another. It starts an election itself after one to two times this.
    pub fn election_timeout(mut self, timeout: Duration) -> Self {
        self.0.election_timeout = timeout;
        self
    }

    /// How long the leader's lease lasts, from the sending of a heartbeat round
    /// that a majority has answered.
    pub fn lease_duration(mut self, duration: Duration) -> Self {
        self.0.lease_duration = duration;
        self
    }

    /// Time between two events above which a member assumes that its process was
    /// frozen or its clock jumped, and waits a whole election timeout again.
    pub fn max_event_gap(mut self, gap: Duration) -> Self {
        self.0.max_event_gap = gap;
        self
    }

    /// Total size of entries in one message, unless a single entry is larger.
    pub fn max_message_bytes(mut self, bytes: usize) -> Self {
        self.0.max_message_bytes = bytes;
        self
    }

    /// Checks that the settings agree with one another and returns them.
    pub fn build(self) -> Result<Settings> {
        let settings = self.0;
        if settings.heartbeat_interval * 3 > settings.lease_duration {
            return Err(Error::HeartbeatTooLong {
                heartbeat: settings.heartbeat_interval,
                lease: settings.lease_duration,
            });
        }
        if settings.lease_duration + settings.max_event_gap >= settings.election_timeout {
            return Err(Error::LeaseTooLong {
                lease: settings.lease_duration,
                gap: settings.max_event_gap,
                election: settings.election_timeout,
            });
        }
        Ok(settings)
    }
}

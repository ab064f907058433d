//! Timing of a replica.

use std::time::Duration;

/// Settings that contradict one another.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The heartbeat leaves no room for a lost one.
    #[error("heartbeat {heartbeat:?} must be at most a third of the lease {lease:?}")]
    HeartbeatTooLong {
        /// The heartbeat.
        heartbeat: Duration,
        /// The lease.
        lease: Duration,
    },
    /// A follower could vote while the leader still holds its lease.
    #[error("lease {lease:?} and gap {gap:?} together must be less than election {election:?}")]
    LeaseTooLong {
        /// The lease.
        lease: Duration,
        /// The gap.
        gap: Duration,
        /// The election timeout.
        election: Duration,
    },
}

/// `Result` of building settings.
pub type Result<T> = std::result::Result<T, Error>;

/// Timing of a replica, equal on all members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Settings {
    pub(crate) heartbeat: Duration,
    pub(crate) election: Duration,
    pub(crate) lease: Duration,
    pub(crate) gap: Duration,
    pub(crate) message_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(70),
            election: Duration::from_millis(400),
            lease: Duration::from_millis(215),
            gap: Duration::from_millis(150),
            message_bytes: 1 << 20,
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
    pub fn heartbeat_interval(mut self, heartbeat: Duration) -> Self {
        self.0.heartbeat = heartbeat;
        self
    }

    /// Shortest time without leader contact after which a member votes; a
    /// member campaigns after one to two such times.
    pub fn election_timeout(mut self, election: Duration) -> Self {
        self.0.election = election;
        self
    }

    /// How long a confirmed round keeps the leader's lease, from its sending.
    pub fn lease_duration(mut self, lease: Duration) -> Self {
        self.0.lease = lease;
        self
    }

    /// Longest time between two events before a member takes its process for
    /// frozen, or its clock for jumped, and waits a whole election timeout again.
    pub fn max_event_gap(mut self, gap: Duration) -> Self {
        self.0.gap = gap;
        self
    }

    /// Size in bytes above which a message takes no further entry.
    pub fn max_message_bytes(mut self, bytes: usize) -> Self {
        self.0.message_bytes = bytes;
        self
    }

    /// Checks the settings.
    pub fn build(self) -> Result<Settings> {
        let settings = self.0;
        if settings.heartbeat * 3 > settings.lease {
            return Err(Error::HeartbeatTooLong {
                heartbeat: settings.heartbeat,
                lease: settings.lease,
            });
        }
        if settings.lease + settings.gap >= settings.election {
            return Err(Error::LeaseTooLong {
                lease: settings.lease,
                gap: settings.gap,
                election: settings.election,
            });
        }
        Ok(settings)
    }
}

//! The range of key creation times for which a process has complete records.
//!
//! A job key contains its creation time. A process that keeps its records in
//! memory has seen every use of a key created since the process started. It may
//! have lost the records of older keys (`Forgotten`), and drops records once
//! they leave the retention window (`Expired`).

use std::time::Duration;

use gentian_wire::id::Job;

use crate::refusal::Refusal;

/// How long after its creation a job key is accepted and its records are kept.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Largest difference allowed between the wall clocks of any two nodes.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// A result whose error says why a key lies outside of the window.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The window of one process. The clock that it is advanced by never goes back.
#[derive(Clone, Debug)]
pub struct KeyWindow {
    horizon: Duration,
    /// The latest wall time passed in.
    wall: Duration,
    retention: Duration,
    skew: Duration,
}

impl KeyWindow {
    /// The window of a process that started at wall time `start`, with
    /// [`RETENTION`] and [`MAX_CLOCK_SKEW`].
    pub fn new(start: Duration) -> KeyWindow {
        KeyWindow::with_limits(start, RETENTION, MAX_CLOCK_SKEW)
    }

    /// The window of a process that started at wall time `start`, with the given
    /// retention and bound on clock skew.
    pub fn with_limits(start: Duration, retention: Duration, skew: Duration) -> KeyWindow {
        KeyWindow {
            horizon: start + skew,
            wall: start,
            retention,
            skew,
        }
    }

    /// Moves the clock to `wall`. An earlier time is ignored: a key whose record
    /// was dropped must stay expired.
    pub fn advance(&mut self, wall: Duration) {
        self.wall = self.wall.max(wall);
    }

    /// Wall time before which keys count as forgotten: the start of the process
    /// plus the clock skew. An agent joins the view once this time has passed.
    pub fn horizon(&self) -> Duration {
        self.horizon
    }

    /// Whether the key has left the retention window.
    pub fn is_expired(&self, job: Job) -> bool {
        job.created() + self.retention <= self.wall
    }

    /// Checks that the key lies within the window.
    ///
    /// # Errors
    ///
    /// `Expired` for a key that has left the retention window, or was created too far
    /// in the future, as its records would have to be kept for too long; `Forgotten`
    /// for a key created before [`horizon`](Self::horizon).
    pub fn check(&self, job: Job) -> Result<()> {
        let ahead = job.created() > self.wall + 2 * self.skew;
        if ahead || self.is_expired(job) {
            return Err(Refusal::Expired);
        }
        if job.created() < self.horizon {
            return Err(Refusal::Forgotten);
        }
        Ok(())
    }
}

//! The span of job keys that a process may speak about.
//!
//! A key holds its creation time. A process that keeps its records in memory
//! knows every key created between its own start and now, and nothing of the
//! rest: older keys are forgotten, and keys past the retention window expired.

use std::time::Duration;

use gentian_wire::id::Job;

use crate::refusal::Refusal;

/// How long a job key is remembered after its creation.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Bound on the difference between any two wall clocks of the system.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(5);

/// A result whose error tells why a key is outside of the span.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The span of one process. Its clock never runs backwards.
#[derive(Clone, Debug)]
pub struct KeyWindow {
    horizon: Duration,
    wall: Duration,
    retention: Duration,
    skew: Duration,
}

impl KeyWindow {
    /// KeyWindow of a process that started at `start`, with [`RETENTION`] and
    /// [`MAX_CLOCK_SKEW`].
    pub fn new(start: Duration) -> KeyWindow {
        KeyWindow::with_limits(start, RETENTION, MAX_CLOCK_SKEW)
    }

    /// KeyWindow with a retention window and a clock skew bound of its own.
    pub fn with_limits(start: Duration, retention: Duration, skew: Duration) -> KeyWindow {
        KeyWindow {
            horizon: start + skew,
            wall: start,
            retention,
            skew,
        }
    }

    /// Moves the clock to `wall`; an earlier time is ignored, for a record
    /// dropped once must stay expired.
    pub fn advance(&mut self, wall: Duration) {
        self.wall = self.wall.max(wall);
    }

    /// Keys created before this wall time are forgotten. An agent joins the
    /// view once it has passed.
    pub fn horizon(&self) -> Duration {
        self.horizon
    }

    /// Whether the key has left the retention window.
    pub fn is_expired(&self, job: Job) -> bool {
        job.created() + self.retention <= self.wall
    }

    /// Checks that the key lies within the span.
    ///
    /// # Errors
    ///
    /// `Expired` for a key past the window, or so far ahead that it would be
    /// kept for longer than the window; `Forgotten` for one older than the
    /// process.
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

//! The upstream's clock, as read from its messages.

use std::time::Duration;

use super::MAX_CLOCK_DRIFT;

/// A reading of the upstream's clock.
///
/// The upstream measures its lease with a clock that stands still while its system is
/// suspended, and so must the agent's clock that the age of a reading is measured with: a
/// reading that is advanced too far makes a lease that ends too late.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamClock {
    reading: Duration,
    /// When the agent received the reading.
    read_at: Duration,
}

impl UpstreamClock {
    /// A reading that the agent received at `now`. It was taken then or before.
    pub fn new(reading: Duration, now: Duration) -> UpstreamClock {
        UpstreamClock {
            reading,
            read_at: now,
        }
    }

    /// Time since the agent received the reading.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.read_at)
    }

    /// The upstream's clock at `now`, or a time before that: the clock may be slow by
    /// [`MAX_CLOCK_DRIFT`].
    pub fn lower_bound(&self, now: Duration) -> Duration {
        self.reading + self.age(now).mul_f64(1.0 - MAX_CLOCK_DRIFT)
    }
}

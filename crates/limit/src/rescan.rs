//! When room is sought again for the jobs that wait.
//!
//! The load that this answers: jobs wait at a scheduler, and many agents report to it, each
//! many times a second. If each report started a search, a scheduler with a line would spend
//! its time on searches that are in vain, and the line would grow. What was blocked stays
//! blocked until capacity is gained, or until time has changed what may start: a task that was
//! to wait for a fast upstream may no longer be in time at any, and capacity that is kept for
//! urgent jobs is released.

use std::time::Duration;

/// Time after a search from which another one is due though no capacity was gained.
const PERIOD: Duration = Duration::from_millis(10);

/// Decides when to look at the waiting jobs again.
#[derive(Clone, Debug, Default)]
pub struct Rescan {
    /// Whether capacity was gained since the last search.
    gained: bool,
    last: Option<Duration>,
}

impl Rescan {
    /// Records that something may start that could not before.
    pub fn record_gain(&mut self) {
        self.gained = true;
    }

    /// Whether a search is due, which is then to be made at once.
    pub fn take_due(&mut self, now: Duration) -> bool {
        let expired = self.last.is_none_or(|last| now >= last + PERIOD);
        if !self.gained && !expired {
            return false;
        }
        self.gained = false;
        self.last = Some(now);
        true
    }
}

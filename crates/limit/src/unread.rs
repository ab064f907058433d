//! How long a request may have waited unread before its reader got to it.
//!
//! Callers go on sending while a process stands still: frozen, suspended with its system,
//! or out of processor. What it reads then is as old as the gap, and a caller whose
//! deadline has passed meanwhile may have sent its job to another process.

use std::time::Duration;

/// Time without a sign of life from which a process has stood still.
const MIN_GAP: Duration = Duration::from_millis(100);
/// Longest time for which a process may still read what came in a gap. What comes after
/// it counts as old for as long.
const MAX_CATCH_UP: Duration = Duration::from_millis(250);

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug)]
struct Gap {
    began: Duration,
    ended: Duration,
}

impl Gap {
    fn length(self) -> Duration {
        self.ended.saturating_sub(self.began)
    }

    /// When the process has read all that came in the gap.
    fn caught_up_at(self) -> Duration {
        self.ended + self.length().min(MAX_CATCH_UP)
    }
}

/// Bounds the age of what a process reads. Times are on a clock that goes on while the
/// system is suspended.
#[derive(Clone, Debug)]
pub struct Unread {
    /// When the process last showed that it runs.
    last: Duration,
    /// The gap that it last had to catch up on.
    gap: Option<Gap>,
}

impl Unread {
    /// A process that runs at `now`.
    pub fn new(now: Duration) -> Unread {
        Unread {
            last: now,
            gap: None,
        }
    }

    /// Records that the process runs. To be called several times within [`MIN_GAP`].
    pub fn record(&mut self, now: Duration) {
        let gap = Gap {
            began: self.last,
            ended: now,
        };
        self.last = now;
        // While the process catches up on a gap, a shorter one hides nothing older.
        let former = self.gap.filter(|former| gap.began < former.caught_up_at());
        let hidden = former.is_some_and(|former| former.length() > gap.length());
        if gap.length() >= MIN_GAP && !hidden {
            self.gap = Some(gap);
        }
    }

    /// Longest time that a request may have waited which is read at `now`; none in a
    /// process that runs without gaps.
    pub fn longest_wait(&self, now: Duration) -> Duration {
        let standing = now.saturating_sub(self.last);
        let gap = self.gap.filter(|gap| now < gap.caught_up_at());
        let since = gap.map_or(Duration::ZERO, |gap| now.saturating_sub(gap.began));
        match standing >= MIN_GAP {
            true => standing.max(since),
            false => since,
        }
    }
}

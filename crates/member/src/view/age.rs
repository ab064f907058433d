//! How long views have been in force, by this process's monotonic clock.
//!
//! Wall time is not usable for this: if the clock jumped ahead, views would be
//! dropped while jobs placed under them are still running. A process counts instead
//! from when it first saw a view, so an age may be too low, which keeps views for
//! longer, but never too high.

use std::collections::VecDeque;
use std::time::Duration;

use gentian_wire::id::View;

/// When this process first saw each view, as durations since a monotonic origin.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewAges {
    first_seen: VecDeque<(View, Duration)>,
}

impl ViewAges {
    /// Records that the given view is in force.
    pub fn observe(&mut self, now: Duration, view: View) {
        if self.first_seen.back().is_none_or(|(last, _)| *last < view) {
            self.first_seen.push_back((view, now));
        }
    }

    /// Returns a lower bound of the time that the current view has been in force.
    pub fn current_age(&self, now: Duration) -> Duration {
        self.first_seen
            .back()
            .map_or(Duration::ZERO, |(_, seen)| now.saturating_sub(*seen))
    }

    /// Forgets the views that were replaced at least `keep` ago, and returns the
    /// oldest of the others; `None` if there is nothing to forget.
    pub fn take_outdated(&mut self, now: Duration, keep: Duration) -> Option<View> {
        let is_old = |(_, seen): &(View, Duration)| now.saturating_sub(*seen) >= keep;
        let count = self
            .first_seen
            .iter()
            .take_while(|entry| is_old(entry))
            .count();
        if count < 2 {
            return None;
        }
        self.first_seen.drain(..count - 1);
        self.first_seen.front().map(|(view, _)| *view)
    }
}

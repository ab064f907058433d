//! How long views have been in force, by this process's own clock.
//!
//! Wall time would do for neither use: a clock that jumps ahead would drop
//! views whose jobs are still running. Here a process counts from when it first
//! saw a view, so ages are only ever too low, which keeps views for longer.

use std::collections::VecDeque;
use std::time::Duration;

use gentian_wire::id::View;

/// Times at which this process first saw each view, since a monotonic origin.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ViewAges {
    seen: VecDeque<(View, Duration)>,
}

impl ViewAges {
    /// Notes that the given view is in force.
    pub fn observe(&mut self, now: Duration, view: View) {
        if self.seen.back().is_none_or(|(last, _)| *last < view) {
            self.seen.push_back((view, now));
        }
    }

    /// How long the view in force has been so, at least.
    pub fn current_age(&self, now: Duration) -> Duration {
        self.seen
            .back()
            .map_or(Duration::ZERO, |(_, seen)| now.saturating_sub(*seen))
    }

    /// The view before which all were replaced at least `keep` ago.
    ///
    /// Forgets what it tells.
    pub fn take_outdated(&mut self, now: Duration, keep: Duration) -> Option<View> {
        let old = |(_, seen): &(View, Duration)| now.saturating_sub(*seen) >= keep;
        let count = self.seen.iter().take_while(|entry| old(entry)).count();
        if count < 2 {
            return None;
        }
        self.seen.drain(..count - 1);
        self.seen.front().map(|(view, _)| *view)
    }
}

//! Recent ends of runs, for owners that missed the report of an end.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Fate, Run};

/// How long an end is kept, for owners whose stream broke before the end was reported.
const END_RETENTION: Duration = Duration::from_secs(3);

/// Largest number of ends kept.
const MAX_ENDS: usize = 4096;

/// Runs that ended recently, oldest first.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentEnds(VecDeque<(Duration, Run, Fate)>);

impl RecentEnds {
    pub(super) fn push(&mut self, run: Run, fate: Fate, now: Duration) {
        self.prune(now);
        self.0.push_back((now, run, fate));
    }

    pub(super) fn prune(&mut self, now: Duration) {
        let old = |(at, ..): &(Duration, Run, Fate)| now.saturating_sub(*at) > END_RETENTION;
        while self.0.len() > MAX_ENDS || self.0.front().is_some_and(old) {
            self.0.pop_front();
        }
    }

    pub(super) fn fate(&self, run: &Run) -> Option<Fate> {
        let mut ends = self.0.iter().rev();
        ends.find(|(_, ended, _)| ended == run)
            .map(|(.., fate)| *fate)
    }

    /// Whether this run or a later one of the same task has run here and ended.
    pub(super) fn has_later(&self, run: &Run) -> bool {
        let mut ends = self.0.iter();
        ends.any(|(_, ended, fate)| {
            let began = !matches!(fate, Fate::Refused(_));
            began && ended.task == run.task && ended.number >= run.number
        })
    }
}

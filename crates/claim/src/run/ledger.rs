//! Runs that ended a short while ago.

use std::collections::VecDeque;
use std::time::Duration;

use super::{Fate, Run};

/// How long an end is remembered for an owner whose stream broke.
const KEPT: Duration = Duration::from_secs(3);

/// Ends remembered at most.
const MOST: usize = 4096;

/// Runs that ended a short while ago.
#[derive(Clone, Debug, Default)]
pub(super) struct Ended(VecDeque<(Duration, Run, Fate)>);

impl Ended {
    pub(super) fn push(&mut self, run: Run, fate: Fate, now: Duration) {
        self.prune(now);
        self.0.push_back((now, run, fate));
    }

    pub(super) fn prune(&mut self, now: Duration) {
        let old = |(at, ..): &(Duration, Run, Fate)| now.saturating_sub(*at) > KEPT;
        while self.0.len() > MOST || self.0.front().is_some_and(old) {
            self.0.pop_front();
        }
    }

    pub(super) fn fate(&self, run: &Run) -> Option<Fate> {
        let mut ends = self.0.iter().rev();
        ends.find(|(_, ended, _)| ended == run)
            .map(|(.., fate)| *fate)
    }

    /// Whether this run, or a later one of its task, has ended here.
    pub(super) fn has_later(&self, run: &Run) -> bool {
        let mut ends = self.0.iter();
        ends.any(|(_, ended, fate)| {
            let began = !matches!(fate, Fate::Refused(_));
            began && ended.task == run.task && ended.number >= run.number
        })
    }
}

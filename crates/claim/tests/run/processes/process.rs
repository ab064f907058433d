//! One process of the upstream.

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use gentian_claim::run::{Fate, ListedEnd, Run};

use super::super::ms;

/// Longest lease that the upstream accepts.
const MAX_HOLD: Duration = ms(1_000);

/// One process of the upstream.
pub(super) struct Process {
    pub(super) born: u64,
    pub(super) began_at: Duration,
    pub(super) next_heartbeat: Duration,
    /// When it carries orders out without an answer.
    pub(super) silence: Range<Duration>,
    /// When it last answered a poll.
    pub(super) listed_at: Duration,
    pub(super) token: u64,
    pub(super) lease_until: Duration,
    /// When each run will be done.
    pub(super) running: BTreeMap<Run, Duration>,
    pub(super) ended: Vec<ListedEnd>,
    /// When runs were completed here, also those whose ends are forgotten.
    done: BTreeMap<Run, Duration>,
    pub(super) last_end: u64,
    /// Highest number of each task that has ended or was stopped here.
    pub(super) finished: BTreeMap<Arc<str>, u64>,
}

impl Process {
    pub(super) fn new(born: u64, now: Duration, first_heartbeat: Duration) -> Process {
        Process {
            born,
            began_at: now,
            next_heartbeat: now + first_heartbeat,
            silence: now..now,
            listed_at: now,
            token: 0,
            lease_until: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            done: BTreeMap::new(),
            last_end: 0,
            finished: BTreeMap::new(),
        }
    }

    /// Whether it has completed the run, unless it has answered no poll since and was silent then
    /// or later.
    pub(super) fn tells_done(&self, run: &Run) -> bool {
        let is_unheard = |at: &Duration| self.listed_at <= *at && self.silence.end > *at;
        self.done.get(run).is_some_and(|at| !is_unheard(at))
    }

    pub(super) fn end(&mut self, run: &Run, fate: Fate, now: Duration) {
        self.running.remove(run);
        self.finished.insert(run.task.clone(), run.number);
        if fate == Fate::Done {
            self.done.insert(run.clone(), now);
        }
        self.last_end += 1;
        let (number, run) = (self.last_end, run.clone());
        self.ended.push(ListedEnd { number, run, fate });
    }

    pub(super) fn advance(&mut self, now: Duration) {
        let lapsed = now > self.lease_until;
        let due = |end: &Duration| lapsed || *end <= now;
        let due: Vec<Run> = self
            .running
            .iter()
            .filter(|(_, end)| due(end))
            .map(|(run, _)| run.clone())
            .collect();
        for run in due {
            self.end(&run, if lapsed { Fate::Lost } else { Fate::Done }, now);
        }
    }

    /// Extends the lease to a time on this process's clock.
    pub(super) fn extend_lease(&mut self, deadline: Option<Duration>, now: Duration) {
        if let Some(deadline) = deadline {
            let until = (self.began_at + deadline).min(now + MAX_HOLD);
            self.lease_until = self.lease_until.max(until);
        }
    }
}

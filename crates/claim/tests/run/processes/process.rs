//! One process of the upstream.

use std::collections::{BTreeMap, BTreeSet};
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
    pub(super) token: u64,
    pub(super) lease_until: Duration,
    /// When each run will be done.
    pub(super) running: BTreeMap<Run, Duration>,
    pub(super) ended: Vec<ListedEnd>,
    /// Runs that have completed here, also those whose ends are forgotten.
    pub(super) done: BTreeSet<Run>,
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
            token: 0,
            lease_until: now,
            running: BTreeMap::new(),
            ended: Vec::new(),
            done: BTreeSet::new(),
            last_end: 0,
            finished: BTreeMap::new(),
        }
    }

    pub(super) fn end(&mut self, run: &Run, fate: Fate) {
        self.running.remove(run);
        self.finished.insert(run.task.clone(), run.number);
        if fate == Fate::Done {
            self.done.insert(run.clone());
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
            self.end(&run, if lapsed { Fate::Lost } else { Fate::Done });
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

//! Which runs are admitted, and the capacity that they use.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gentian_wire::need::Need;

use super::live::LiveRun;
use super::{Isolation, Owner, Refusal, Run, Runs, Start, MAX_LEASE};

impl Runs {
    /// Capacity used by the runs of all entries but `owner`; all of it while runs of no
    /// further job may be there.
    pub fn used_by_others(&self, owner: &Owner) -> Need {
        let others = self.live.values().filter(|live| live.owner != *owner);
        match self.takes_further_jobs() {
            true => others.fold(Need::default(), |sum, live| sum.plus(live.need)),
            false => self.capacity,
        }
    }

    /// Capacity used by all runs; all of it while runs of no further job may be there.
    pub fn used(&self) -> Need {
        match self.takes_further_jobs() {
            true => self.sum_of_needs(),
            false => self.capacity,
        }
    }

    fn sum_of_needs(&self) -> Need {
        let needs = self.live.values().map(|live| live.need);
        needs.fold(Need::default(), Need::plus)
    }

    /// Extends an owner's lease to `until`, but to no longer than [`MAX_LEASE`] from
    /// `now`. A lease never gets shorter.
    pub fn renew_lease(&mut self, owner: &Owner, until: Duration, now: Duration) {
        let until = until.min(now + MAX_LEASE);
        let lease = self.leases.entry(owner.clone()).or_default();
        *lease = until.max(*lease);
    }

    /// Admits a run, which the caller then starts at the upstream.
    pub fn admit(
        &mut self,
        owner: &Owner,
        run: &Run,
        start: Start,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.check_admission(owner, run, &start, now)?;
        let live = LiveRun::new(owner.clone(), start, self.polls, now);
        self.live.insert(run.clone(), live);
        Ok(())
    }

    fn check_admission(
        &self,
        owner: &Owner,
        run: &Run,
        start: &Start,
        now: Duration,
    ) -> Result<(), Refusal> {
        if self.denied {
            return Err(Refusal::Denied);
        }
        if !self.is_open() {
            return Err(Refusal::Closed);
        }
        if !start.requirement.is_met_by(self.kind.as_ref()) {
            return Err(Refusal::Unsuitable);
        }
        if self.leases.get(owner).is_none_or(|until| *until <= now) {
            return Err(Refusal::Expired);
        }
        if self.live_runs_of_task(run).next().is_some() || self.recent_ends.has_later(run) {
            return Err(Refusal::OldRun);
        }
        let fits = self.sum_of_needs().plus(start.need).fits(self.capacity);
        if !fits || self.is_kept_apart(start) {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Checks whether an admitted run may still be started. It may have waited, while its
    /// owner lost contact and started the task elsewhere, or the upstream began to drain.
    pub fn check_start(&self, run: &Run, now: Duration) -> Result<(), Refusal> {
        if self.denied {
            return Err(Refusal::Denied);
        }
        let replaced = |live: &LiveRun| live.phase_after_replacement.is_some();
        if !self.is_open() || self.live.get(run).is_some_and(replaced) {
            return Err(Refusal::Closed);
        }
        let wanted = |live: &&LiveRun| !live.stop_requested && self.lease_of(&live.owner) > now;
        let live = self.live.get(run).filter(wanted).ok_or(Refusal::Expired)?;
        let is_suitable = live.requirement.is_met_by(self.kind.as_ref());
        is_suitable.then_some(()).ok_or(Refusal::Unsuitable)
    }

    /// Runs of the same task that are, or may be, at the upstream.
    fn live_runs_of_task<'a>(&'a self, run: &'a Run) -> impl Iterator<Item = &'a Run> {
        let first = Run {
            task: run.task.clone(),
            number: 0,
        };
        let same = self.live.range(first..).map(|(live, _)| live);
        same.take_while(|live| live.task == run.task)
    }

    /// Whether a run may not be beside those that are here, or they not beside it.
    fn is_kept_apart(&self, start: &Start) -> bool {
        let others = self.live.values().filter(|live| live.job != start.job);
        let most_others = match start.isolation {
            Isolation::Shared => usize::MAX,
            Isolation::Limited => self.most_jobs() - 1,
            Isolation::Alone => 0,
        };
        let jobs: BTreeSet<&Arc<str>> = others.clone().map(|live| &live.job).collect();
        let mut others = others;
        jobs.len() > most_others || others.any(|live| live.isolation == Isolation::Alone)
    }

    /// Whether the isolation of the runs that are here leaves room for another job.
    fn takes_further_jobs(&self) -> bool {
        let any = |isolation| self.live.values().any(|live| live.isolation == isolation);
        if any(Isolation::Alone) {
            return false;
        }
        if !any(Isolation::Limited) {
            return true;
        }
        let jobs: BTreeSet<&Arc<str>> = self.live.values().map(|live| &live.job).collect();
        jobs.len() < self.most_jobs()
    }

    /// Most jobs with runs of limited isolation that may be here at once: one more with
    /// each job that was completed (slow start).
    fn most_jobs(&self) -> usize {
        1 + self.completed_jobs as usize
    }
}

//! Which runs are admitted, and the capacity that they use.

use std::time::Duration;

use gentian_wire::need::Need;

use super::live::LiveRun;
use super::{Owner, Refusal, Run, Runs, Start, MAX_LEASE};

impl Runs {
    /// Capacity that is used for the entries other than `owner`: by their runs, or all of
    /// it if one of their runs must be alone.
    pub fn used_by_others(&self, owner: &Owner) -> Need {
        let others = self.live.values().filter(|live| live.owner != *owner);
        if others.clone().any(|live| live.alone) {
            return self.capacity;
        }
        others.fold(Need::default(), |sum, live| sum.plus(live.need))
    }

    /// Capacity used by all runs; all of it if one of them must be alone.
    pub fn used(&self) -> Need {
        match self.live.values().any(|live| live.alone) {
            true => self.capacity,
            false => self.sum_of_needs(),
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
        if !self.open {
            return Err(Refusal::Closed);
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

    /// Whether a run of another job is there that must run alone, or any while this one
    /// must.
    fn is_kept_apart(&self, start: &Start) -> bool {
        let mut others = self.live.values().filter(|live| live.job != start.job);
        others.any(|live| start.alone || live.alone)
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
}

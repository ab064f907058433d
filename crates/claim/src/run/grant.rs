//! Leases that are granted to the upstream, and when its runs must be gone by them.

use std::time::Duration;

use super::{Owner, Runs, MAX_CLOCK_DRIFT, MAX_LEASE, STOP_GRACE};

/// Identifies a lease that is being sent to the upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseGrant(u64);

impl Runs {
    /// End of the lease that the upstream may be granted now: at most [`MAX_LEASE`] from
    /// `now`, not after the longest lease of an owner that has runs there, and at most
    /// [`MAX_LEASE`] after a run that may still be there should have ended. `None` if no
    /// owner with runs there holds a lease.
    pub fn upstream_lease(&self, now: Duration) -> Option<Duration> {
        let owners = self.live.values().filter(|live| !live.stop_requested);
        let longest = owners.map(|live| self.lease_of(&live.owner)).max()?;
        let mut until = longest.min(now + MAX_LEASE);
        if let Some(over_at) = self.first_over_at() {
            until = until.min(over_at + MAX_LEASE);
        }
        (until > now).then_some(until)
    }

    /// Time from which on the first of the runs that may be at the upstream should not be
    /// there any more, or will not be unless its owner renews its lease.
    fn first_over_at(&self) -> Option<Duration> {
        let known = self.live.values().map(|live| {
            let lease = self.lease_of(&live.owner);
            live.given_up_at.map_or(lease, |at| at.min(lease))
        });
        known.chain(self.unknown_since).min()
    }

    /// End of an owner's lease; zero without one.
    pub(super) fn lease_of(&self, owner: &Owner) -> Duration {
        self.leases.get(owner).copied().unwrap_or_default()
    }

    /// Records that a lease until `until` is being sent to the upstream. The caller
    /// ends the grant with [`end_grant`](Self::end_grant).
    pub fn begin_grant(&mut self, until: Duration, now: Duration) -> LeaseGrant {
        let length = until.saturating_sub(now).mul_f64(1.0 + MAX_CLOCK_DRIFT);
        self.grants += 1;
        let grant = LeaseGrant(self.grants);
        self.pending_grants.insert(grant, now + length + STOP_GRACE);
        grant
    }

    /// Records whether a lease may have reached the upstream.
    pub fn end_grant(&mut self, grant: LeaseGrant, reached: bool) {
        let until = self.pending_grants.remove(&grant).unwrap_or_default();
        if reached {
            self.gone_at = self.gone_at.max(until);
        }
    }

    /// Records that the system was suspended for `length`. The clock that the upstream measures
    /// its lease with may have stood still as well, so that its runs are gone later.
    pub fn record_suspension(&mut self, length: Duration) {
        self.gone_at += length;
        self.pending_grants
            .values_mut()
            .for_each(|at| *at += length);
        for live in self.live.values_mut() {
            live.postpone_end(length);
        }
    }

    /// When all runs at the upstream must be gone, unless another lease is granted.
    pub(super) fn all_gone_at(&self) -> Duration {
        let pending = self.pending_grants.values().copied().max();
        self.gone_at.max(pending.unwrap_or_default())
    }
}

//! Claims of jobs at their home agent.
//!
//! The home tells the first coordinator of a job from the later ones, so that
//! the first may start tasks after one round trip. It is never needed for
//! safety: a coordinator that isn't told `First` proves through the gates that
//! nothing runs twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gentian_wire::id::{Ballot, Job, Node, View};

use crate::key_window::KeyWindow;
use crate::placement::ViewHistory;
use crate::refusal::Refusal;

/// A result whose error is the refusal to be told.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The entry's side of one attempt at one job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claimant {
    /// Unique to the attempt.
    pub id: u64,
    /// Where the entry is reached.
    pub address: SocketAddr,
}

/// The latest claim of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Its ballot, which holds the coordinator's id.
    pub ballot: Ballot,
    /// Where the entry is reached.
    pub address: SocketAddr,
}

impl Holder {
    /// Ballot of the coordinator that takes over from this one.
    pub fn next_ballot(&self, coordinator: u64) -> Ballot {
        Ballot {
            epoch: self.ballot.epoch + 1,
            coordinator,
        }
    }
}

/// What a claim found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// Nobody else has claimed the job, anywhere.
    First,
    /// Somebody has; the claimant is noted as the successor.
    Claimed(Holder),
    /// Somebody may have, before this home's memory or at another home.
    Forgotten,
}

/// Ballot of a job's first coordinator.
pub fn first_ballot(coordinator: u64) -> Ballot {
    Ballot {
        epoch: 0,
        coordinator,
    }
}

/// Ballot of a coordinator that was told `Forgotten`.
pub fn takeover_ballot(coordinator: u64) -> Ballot {
    Ballot {
        epoch: 1,
        coordinator,
    }
}

/// The claims of which one agent is the home.
#[derive(Debug)]
pub struct Home {
    node: Node,
    memory: KeyWindow,
    seen: View,
    holders: BTreeMap<Job, Holder>,
}

impl Home {
    /// The home at agent `node`, with no claims.
    pub fn new(node: Node, memory: KeyWindow) -> Home {
        Home {
            node,
            memory,
            seen: View::default(),
            holders: BTreeMap::new(),
        }
    }

    /// Moves the clock to `wall` and drops what has expired.
    pub fn advance(&mut self, wall: Duration) {
        self.memory.advance(wall);
        while let Some(first) = self.holders.first_entry() {
            if !self.memory.is_expired(*first.key()) {
                break;
            }
            first.remove();
        }
    }

    /// Notes that `view` is in force.
    pub fn observe_view(&mut self, view: View) {
        self.seen = self.seen.max(view);
    }

    /// Claims a job for a coordinator that goes by `view`; `views` are those
    /// this agent knows.
    ///
    /// # Errors
    ///
    /// `Expired`, or `OldView` where a newer view was seen.
    pub fn claim(
        &mut self,
        job: Job,
        claimant: Claimant,
        view: View,
        views: &ViewHistory,
    ) -> Result<ClaimOutcome> {
        self.observe_view(views.number());
        if view < self.seen {
            return Err(Refusal::OldView);
        }
        self.observe_view(view);
        let remembered = match self.memory.check(job) {
            Ok(()) => true,
            Err(Refusal::Forgotten) => false,
            Err(refusal) => return Err(refusal),
        };
        if let Some(holder) = self.holders.get(&job) {
            return Ok(self.claim_again(job, claimant, *holder));
        }
        let sole = view == views.number() && views.is_sole_home(job, &self.node);
        let (claim, ballot) = if remembered && sole {
            (ClaimOutcome::First, first_ballot(claimant.id))
        } else {
            (ClaimOutcome::Forgotten, takeover_ballot(claimant.id))
        };
        self.hold(job, claimant, ballot);
        Ok(claim)
    }

    /// Number of claims held.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no claim is held.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn claim_again(&mut self, job: Job, claimant: Claimant, holder: Holder) -> ClaimOutcome {
        if holder.ballot == first_ballot(claimant.id) {
            return ClaimOutcome::First;
        }
        self.hold(job, claimant, holder.next_ballot(claimant.id));
        ClaimOutcome::Claimed(holder)
    }

    fn hold(&mut self, job: Job, claimant: Claimant, ballot: Ballot) {
        let address = claimant.address;
        self.holders.insert(job, Holder { ballot, address });
    }
}

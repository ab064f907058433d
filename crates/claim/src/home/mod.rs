//! Job claims, as recorded by a job's home agent.
//!
//! The home tells the first coordinator of a job from later ones, so that the
//! first can start tasks after one round trip. Without a reply of `First`, a
//! coordinator has to ask the gates of all candidates before it starts a task;
//! if a home has lost its records, jobs therefore start later, but no task can
//! run twice.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gentian_wire::id::{Ballot, Job, Node, View};

use crate::key_window::KeyWindow;
use crate::placement::ViewHistory;
use crate::refusal::Refusal;

/// A result whose error is the refusal to send to the coordinator.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A coordinator that claims a job: one attempt at the job by one entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Claimant {
    /// Id of the attempt, unique to it.
    pub id: u64,
    /// Address of the entry.
    pub address: SocketAddr,
}

/// The coordinator that claimed a job last.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Holder {
    /// The coordinator's ballot, which contains its id.
    pub ballot: Ballot,
    /// Address of the entry.
    pub address: SocketAddr,
}

impl Holder {
    /// Ballot under which the coordinator with the given id takes the job over from
    /// this holder.
    pub fn next_ballot(&self, coordinator: u64) -> Ballot {
        Ballot {
            epoch: self.ballot.epoch + 1,
            coordinator,
        }
    }
}

/// What the home knows of a job that was just claimed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// No other coordinator has claimed the job, at this or any other home.
    First,
    /// The given holder has claimed the job before. The home has recorded the
    /// claimant as the new holder.
    Claimed(Holder),
    /// Another coordinator may have claimed the job before this agent started,
    /// or at another home.
    Forgotten,
}

/// Ballot of a coordinator whose claim was answered with `First`.
pub fn first_ballot(coordinator: u64) -> Ballot {
    Ballot {
        epoch: 0,
        coordinator,
    }
}

/// Ballot of a coordinator whose claim was answered with `Forgotten`.
pub fn takeover_ballot(coordinator: u64) -> Ballot {
    Ballot {
        epoch: 1,
        coordinator,
    }
}

/// The claims recorded by one agent as the home of their jobs.
#[derive(Debug)]
pub struct Home {
    node: Node,
    window: KeyWindow,
    latest_view: View,
    holders: BTreeMap<Job, Holder>,
}

impl Home {
    /// The records of agent `node`, without claims.
    pub fn new(node: Node, window: KeyWindow) -> Home {
        Home {
            node,
            window,
            latest_view: View::default(),
            holders: BTreeMap::new(),
        }
    }

    /// Moves the clock to `wall` and drops the claims of expired jobs.
    pub fn advance(&mut self, wall: Duration) {
        self.window.advance(wall);
        while let Some(first) = self.holders.first_entry() {
            if !self.window.is_expired(*first.key()) {
                break;
            }
            first.remove();
        }
    }

    /// Records that `view` is or was in force.
    pub fn observe_view(&mut self, view: View) {
        self.latest_view = self.latest_view.max(view);
    }

    /// Claims a job for a coordinator that acts under `view`; `views` is this
    /// agent's own history.
    ///
    /// # Errors
    ///
    /// `Expired` if the key has left the retention window or was created too far in
    /// the future, or `OldView` if this agent has seen a newer view than the
    /// coordinator.
    pub fn claim(
        &mut self,
        job: Job,
        claimant: Claimant,
        view: View,
        views: &ViewHistory,
    ) -> Result<ClaimOutcome> {
        self.observe_view(views.number());
        if view < self.latest_view {
            return Err(Refusal::OldView);
        }
        self.observe_view(view);
        // Whether an earlier claim of the job at this agent would still be recorded.
        let remembered = match self.window.check(job) {
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
        self.record(job, claimant, ballot);
        Ok(claim)
    }

    /// Number of recorded claims.
    pub fn len(&self) -> usize {
        self.holders.len()
    }

    /// Whether no claims are recorded.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    /// Claims a job that has a holder. The first holder may repeat its claim, such as
    /// after the reply was lost, and gets the same reply.
    fn claim_again(&mut self, job: Job, claimant: Claimant, holder: Holder) -> ClaimOutcome {
        if holder.ballot == first_ballot(claimant.id) {
            return ClaimOutcome::First;
        }
        self.record(job, claimant, holder.next_ballot(claimant.id));
        ClaimOutcome::Claimed(holder)
    }

    fn record(&mut self, job: Job, claimant: Claimant, ballot: Ballot) {
        let address = claimant.address;
        self.holders.insert(job, Holder { ballot, address });
    }
}

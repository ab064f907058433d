//! What other threads may know of the replica.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use gentian::quorum::id::Member;
use gentian::quorum::replica::Role;
use gentian::quorum::{Members, Replica};
use rand::Rng;

use super::clock;

/// The replica's state after its last event.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// This member.
    pub(crate) id: Member,
    /// Its role.
    pub(crate) role: Role,
    /// Its term.
    pub(crate) term: u64,
    /// Whether it belongs to a cluster.
    pub(crate) initialized: bool,
    /// Address of the leader it knows.
    pub(crate) leader: Option<String>,
    /// Highest index known to be committed.
    pub(crate) commit: u64,
    /// Members in force.
    pub(crate) members: Members,
    /// When each member was heard last, on the clock of leases.
    pub(crate) heard: BTreeMap<Member, Duration>,
    lease_until: Option<Duration>,
}

impl Status {
    fn new<R: Rng>(replica: &Replica<R>, leader: Option<String>) -> Status {
        Status {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            initialized: replica.cluster().is_some(),
            leader,
            commit: replica.commit_index(),
            members: replica.members().clone(),
            heard: BTreeMap::new(),
            lease_until: replica.lease_until(),
        }
    }

    /// Whether a majority has confirmed that this member leads now.
    pub(crate) fn leads(&self) -> bool {
        self.lease_until.is_some_and(|until| clock::now() < until)
    }
}

/// A [`Status`] shared between threads.
#[derive(Clone, Debug)]
pub(crate) struct Published(Arc<Mutex<Status>>);

impl Published {
    pub(super) fn new<R: Rng>(replica: &Replica<R>) -> Published {
        Published(Arc::new(Mutex::new(Status::new(replica, None))))
    }

    pub(super) fn set<R: Rng>(&self, replica: &Replica<R>, leader: Option<String>) {
        let mut status = self.lock();
        let same = status.members == *replica.members();
        if same {
            status.role = replica.role();
            status.term = replica.term();
            status.initialized = replica.cluster().is_some();
            status.leader = leader;
            status.commit = replica.commit_index();
            status.lease_until = replica.lease_until();
        } else {
            let heard = std::mem::take(&mut status.heard);
            *status = Status::new(replica, leader);
            let members = status.members.clone();
            status.heard = heard;
            status.heard.retain(|id, _| members.get(*id).is_some());
        }
    }

    /// Notes that a member was heard.
    pub(super) fn heard(&self, member: Member, now: Duration) {
        self.lock().heard.insert(member, now);
    }

    /// A copy of the status.
    pub(crate) fn get(&self) -> Status {
        self.lock().clone()
    }

    /// The term in which this member leads now, or the address of who does.
    pub(crate) fn leader(&self) -> Result<u64, Option<String>> {
        let status = self.lock();
        match status.leads() {
            true => Ok(status.term),
            false if status.role == Role::Leader => Err(None),
            false => Err(status.leader.clone()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Status> {
        self.0.lock().expect("no thread panics with this lock")
    }
}

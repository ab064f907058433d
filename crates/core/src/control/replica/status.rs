//! The replica's status, as shared with other threads.

use std::collections::BTreeMap;
use std::sync::{Arc, MutexGuard};
use std::time::Duration;

use gentian::quorum::id::Member;
use gentian::quorum::replica::Role;
use gentian::quorum::{Members, Replica};
use rand::Rng;

use crate::clock;
use crate::panics::Mutex;

/// The replica's status after its last event.
#[derive(Clone, Debug)]
pub(crate) struct Status {
    /// Id of this member.
    pub(crate) id: Member,
    /// Role of this member.
    pub(crate) role: Role,
    /// Current term.
    pub(crate) term: u64,
    /// Whether this member belongs to a cluster.
    pub(crate) initialized: bool,
    /// Address of the leader, if it is known.
    pub(crate) leader: Option<String>,
    /// Highest index known to be committed.
    pub(crate) commit: u64,
    /// Index of the last entry that the state machine has applied.
    pub(crate) applied: u64,
    /// Size of the entries after the snapshot.
    pub(crate) log_bytes: usize,
    /// Size of the state in the snapshot.
    pub(crate) snapshot_bytes: usize,
    /// Members in force.
    pub(crate) members: Members,
    /// When each member was last heard from, in the time of [`clock::now`].
    pub(crate) last_heard: BTreeMap<Member, Duration>,
    lease_until: Option<Duration>,
}

impl Status {
    fn new<R: Rng>(replica: &Replica<R>, leader: Option<String>, applied: u64) -> Status {
        Status {
            id: replica.id(),
            role: replica.role(),
            term: replica.term(),
            initialized: replica.cluster().is_some(),
            leader,
            commit: replica.commit_index(),
            applied,
            log_bytes: replica.log().bytes(),
            snapshot_bytes: replica.log().snapshot().data.len(),
            members: replica.members().clone(),
            last_heard: BTreeMap::new(),
            lease_until: replica.lease_until(applied),
        }
    }

    /// Whether this member leads and its leader lease, confirmed by a majority, is valid
    /// now.
    pub(crate) fn leads(&self) -> bool {
        self.lease_until.is_some_and(|until| clock::now() < until)
    }
}

/// A [`Status`] that the replica's thread updates and others read.
#[derive(Clone, Debug)]
pub(crate) struct SharedStatus(Arc<Mutex<Status>>);

impl SharedStatus {
    pub(super) fn new<R: Rng>(replica: &Replica<R>) -> SharedStatus {
        SharedStatus(Arc::new(Mutex::new(Status::new(replica, None, 0))))
    }

    /// Takes over the status of the replica. `applied` is the index of the last entry that
    /// the state machine has applied.
    pub(super) fn set<R: Rng>(&self, replica: &Replica<R>, leader: Option<String>, applied: u64) {
        let mut status = self.lock();
        let same_members = status.members == *replica.members();
        if same_members {
            status.role = replica.role();
            status.term = replica.term();
            status.initialized = replica.cluster().is_some();
            status.leader = leader;
            status.commit = replica.commit_index();
            status.applied = applied;
            status.log_bytes = replica.log().bytes();
            status.snapshot_bytes = replica.log().snapshot().data.len();
            status.lease_until = replica.lease_until(applied);
        } else {
            let last_heard = std::mem::take(&mut status.last_heard);
            *status = Status::new(replica, leader, applied);
            let members = status.members.clone();
            status.last_heard = last_heard;
            status.last_heard.retain(|id, _| members.get(*id).is_some());
        }
    }

    /// Records that a message from `member` arrived.
    pub(super) fn record_heard(&self, member: Member, now: Duration) {
        self.lock().last_heard.insert(member, now);
    }

    /// Returns a copy of the status.
    pub(crate) fn get(&self) -> Status {
        self.lock().clone()
    }

    /// Returns the term in which this member leads now, or the address of the leader as
    /// far as it is known.
    pub(crate) fn leader(&self) -> Result<u64, Option<String>> {
        let status = self.lock();
        match status.leads() {
            true => Ok(status.term),
            false if status.role == Role::Leader => Err(None),
            false => Err(status.leader.clone()),
        }
    }

    /// Whether this member is leader in its own view but has no valid lease, as just
    /// after its election or after a stall of the process.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        let status = self.lock();
        status.role == Role::Leader && !status.leads()
    }

    fn lock(&self) -> MutexGuard<'_, Status> {
        self.0.lock()
    }
}

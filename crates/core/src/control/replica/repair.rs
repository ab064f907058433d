//! Automatic membership: control instances form a cluster, join it and replace lost
//! members without an operator.

use std::net::SocketAddr;
use std::sync::MutexGuard;
use std::time::Duration;

use gentian::quorum::id::{Command, Member};
use gentian::quorum::repair::MembershipRepair;
use gentian::wire::control::JoinRequest;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::watch;

use super::thread::Event;
use super::Handle;
use crate::clock;
use crate::renew::ControlPeers;

const TICK_INTERVAL: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Ticks between two join requests.
const JOIN_REQUEST_TICKS: u32 = 2;

impl Handle {
    /// Maintains the membership until `stop` turns true. `own` is this instance's
    /// address; `seeds` holds the addresses of the instances to send join requests to.
    /// If `found` is set, the seeds become the initial members of a new cluster, which
    /// the one with the lowest address initializes.
    pub(crate) async fn maintain_members(
        self,
        own: SocketAddr,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        found: bool,
        mut stop: watch::Receiver<bool>,
    ) {
        let initial = seeds.borrow().clone();
        let founder = found && initial.iter().min() == Some(&own);
        let mut peers = ControlPeers::new(seeds);
        let mut last_term = 0;
        for tick in 0.. {
            tokio::select! {
                () = tokio::time::sleep(TICK_INTERVAL) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            if founder && !self.status().initialized {
                self.initialize_cluster(&initial).await;
            }
            match self.leader() {
                Ok(current_term) => self.repair_members(&mut last_term, current_term).await,
                Err(_) if tick % JOIN_REQUEST_TICKS == 0 && self.may_need_to_join() => {
                    self.request_join(&mut peers, own).await;
                }
                Err(_) => {}
            }
        }
    }

    /// Records the join request of an instance. Returns whether it is already a member.
    pub(crate) fn join_requested(&self, member: Member, address: String) -> bool {
        self.repair().join_requested(member, address, clock::now());
        self.status().members.get(member).is_some()
    }

    async fn initialize_cluster(&self, addresses: &[SocketAddr]) {
        match self.init(addresses).await {
            Ok(()) => log::info!("control cluster initialized with members {addresses:?}"),
            Err(error) => log::warn!(
                "control cluster can't be initialized with {addresses:?}, trying again: {error}"
            ),
        }
    }

    /// Whether this instance may not be a member: it knows no leader, or the members it
    /// knows don't include it.
    fn may_need_to_join(&self) -> bool {
        let status = self.status();
        status.leader.is_none() || status.members.get(status.id).is_none()
    }

    async fn request_join(&self, peers: &mut ControlPeers, own: SocketAddr) {
        let Some(mut client) = peers.client(CALL_TIMEOUT) else {
            return;
        };
        let request = JoinRequest {
            member: self.status().id.get(),
            address: own.to_string(),
        };
        match tokio::time::timeout(CALL_TIMEOUT, client.join(request)).await {
            Ok(Ok(reply)) => {
                let reply = reply.into_inner();
                // Only a leader can let this instance in.
                if !reply.leads {
                    peers.follow_leader(&reply.leader_address);
                }
            }
            Ok(Err(_)) | Err(_) => peers.rotate(),
        }
    }

    /// Makes the next change of the members that is due, as the leader in
    /// `current_term`. `last_term` is the term of the call before, and is updated.
    async fn repair_members(&self, last_term: &mut u64, current_term: u64) {
        let now = clock::now();
        if *last_term != current_term {
            *last_term = current_term;
            self.repair().started_leading(now);
        }
        let status = self.status();
        let due = self
            .repair()
            .next_change(&status.members, status.id, &status.last_heard, now);
        let Some(change) = due else {
            return;
        };
        log::info!("changing the control members: {change:?}");
        let command = Command::random(&mut StdRng::from_os_rng());
        let event = |reply| Event::ChangeMembers {
            command,
            change,
            reply,
        };
        if let Err(error) = self.request(event).await {
            log::warn!("change of the control members is not confirmed: {error}");
        }
    }

    fn repair(&self) -> MutexGuard<'_, MembershipRepair> {
        self.repair.lock()
    }
}

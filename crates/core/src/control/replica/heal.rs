//! Members that nobody operates: they form, grow and heal by themselves.

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
use super::{clock, Handle};
use crate::renew::ControlPeers;

const TICK: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Ticks between two requests to join.
const ASK_TICKS: u32 = 2;

impl Handle {
    /// Keeps the members until `stop` turns true. `seeds` are the instances to
    /// ask, and with `found` the first members; `own` is this instance's address.
    pub(crate) async fn keep(
        self,
        own: SocketAddr,
        seeds: watch::Receiver<Vec<SocketAddr>>,
        found: bool,
        mut stop: watch::Receiver<bool>,
    ) {
        let first = seeds.borrow().clone();
        let founder = found && first.iter().min() == Some(&own);
        let mut peers = ControlPeers::new(seeds);
        let mut term = 0;
        for tick in 0.. {
            tokio::select! {
                () = tokio::time::sleep(TICK) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
            if founder && !self.status().initialized {
                self.form(&first).await;
            }
            match self.leader() {
                Ok(now) => self.heal(&mut term, now).await,
                Err(_) if tick % ASK_TICKS == 0 && self.is_outside() => {
                    self.ask_in(&mut peers, own).await;
                }
                Err(_) => {}
            }
        }
    }

    /// Notes that an instance wants to join; whether it is a member already.
    pub(crate) fn asked(&self, member: Member, address: String) -> bool {
        self.healer().join_requested(member, address, clock::now());
        self.status().members.get(member).is_some()
    }

    async fn form(&self, addresses: &[SocketAddr]) {
        match self.init(addresses).await {
            Ok(()) => log::info!("control forms with {addresses:?}"),
            Err(error) => log::warn!("control can't form yet: {error}"),
        }
    }

    /// Whether this instance may have to ask to become a member again.
    fn is_outside(&self) -> bool {
        let status = self.status();
        status.leader.is_none() || status.members.get(status.id).is_none()
    }

    async fn ask_in(&self, peers: &mut ControlPeers, own: SocketAddr) {
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
                // An instance that knows no leader, such as this one, can't help.
                if !reply.leads {
                    peers.follow_leader(&reply.leader_address);
                }
            }
            Ok(Err(_)) | Err(_) => peers.rotate(),
        }
    }

    async fn heal(&self, term: &mut u64, now_term: u64) {
        let now = clock::now();
        if *term != now_term {
            *term = now_term;
            self.healer().started_leading(now);
        }
        let status = self.status();
        let due = self
            .healer()
            .next_change(&status.members, status.id, &status.heard, now);
        let Some(change) = due else {
            return;
        };
        log::info!("control changes its members: {change:?}");
        let command = Command::random(&mut StdRng::from_os_rng());
        let event = |answer| Event::Change {
            command,
            change,
            answer,
        };
        if let Err(error) = self.ask(event).await {
            log::warn!("control members are not known to be changed: {error}");
        }
    }

    fn healer(&self) -> MutexGuard<'_, MembershipRepair> {
        self.healer.lock().expect("no thread panics with this lock")
    }
}

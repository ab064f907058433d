//! Chooses the control instance to call: the leader if it is known, otherwise
//! the known instances in rotation.

use std::net::SocketAddr;
use std::time::Duration;

use gentian::wire::address;
use gentian::wire::control::control_client::ControlClient;
use tokio::sync::watch;
use tonic::transport::{Channel, Endpoint};

/// The known control instances, and a client for the one to call.
#[derive(Debug)]
pub(crate) struct ControlPeers {
    /// Addresses from the settings, which may be reloaded.
    seeds: watch::Receiver<Vec<SocketAddr>>,
    /// Addresses that a control instance sent.
    members: Vec<SocketAddr>,
    /// Position in the rotation, modulo the number of addresses.
    next: usize,
    /// The leader according to the instance called before.
    leader: Option<SocketAddr>,
    client: Option<ControlClient<Channel>>,
}

impl ControlPeers {
    /// `seeds` holds the addresses from the settings in force.
    pub(crate) fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> ControlPeers {
        ControlPeers {
            seeds,
            members: Vec::new(),
            next: 0,
            leader: None,
            client: None,
        }
    }

    /// Returns a client for the current instance, or `None` if no address is known.
    /// The client is reused until [`rotate`](Self::rotate) or
    /// [`follow_leader`](Self::follow_leader) discards it; `connect_timeout` applies
    /// only to a new one.
    pub(crate) fn client(&mut self, connect_timeout: Duration) -> Option<ControlClient<Channel>> {
        if self.client.is_none() {
            let address = self.leader.or_else(|| self.current())?;
            self.client = Some(connect(address, connect_timeout));
        }
        self.client.clone()
    }

    /// Discards the client and selects another instance: after a named leader the
    /// one at the current position of the rotation, otherwise the next one.
    pub(crate) fn rotate(&mut self) {
        self.client = None;
        if self.leader.take().is_none() {
            self.next = self.next.wrapping_add(1);
        }
    }

    /// Goes on with the client of an instance that has answered.
    pub(super) fn keep(&mut self, client: ControlClient<Channel>) {
        self.client = Some(client);
    }

    /// Replaces the addresses that control sent. Invalid ones are skipped.
    pub(super) fn set_members(&mut self, addresses: &[String]) {
        let members = addresses.iter().filter_map(|text| address::parse(text));
        self.members = members.collect();
    }

    /// The current instance of the rotation over the seeds and the other members.
    fn current(&self) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        let others = self
            .members
            .iter()
            .filter(|address| !seeds.contains(address));
        let all: Vec<_> = seeds.iter().chain(others).collect();
        let index = self.next.checked_rem(all.len())?;
        Some(*all[index])
    }

    /// Selects the leader that an instance named, or the next instance if `leader`
    /// is not an address. Returns whether the caller may retry without a pause:
    /// not if the instance that named the leader was itself selected by such a
    /// hint, because instances with outdated information could name each other.
    pub(crate) fn follow_leader(&mut self, leader: &str) -> bool {
        let was_hinted = self.leader.is_some();
        self.rotate();
        self.leader = address::parse(leader);
        self.leader.is_some() && !was_hinted
    }
}

/// Returns a client of one control instance, which connects with the first call.
pub(crate) fn connect(address: SocketAddr, connect_timeout: Duration) -> ControlClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .tcp_nodelay(true)
        .connect_timeout(connect_timeout);
    ControlClient::new(endpoint.connect_lazy())
}

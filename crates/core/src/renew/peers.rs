//! The control instances that a node asks in turn.

use std::net::SocketAddr;
use std::time::Duration;

use gentian::wire::control::control_client::ControlClient;
use tonic::transport::{Channel, Endpoint};

/// The instances of the settings, and the one to ask next.
#[derive(Debug)]
pub(crate) struct Peers {
    addresses: Vec<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
    client: Option<ControlClient<Channel>>,
}

impl Peers {
    pub(crate) fn new(addresses: &[SocketAddr]) -> Peers {
        Peers {
            addresses: addresses.to_vec(),
            next: 0,
            leader: None,
            client: None,
        }
    }

    /// A client for the instance to ask now, kept until it fails.
    pub(crate) fn client(&mut self, connect: Duration) -> Option<ControlClient<Channel>> {
        if self.client.is_none() {
            let address = self.leader.or(self.addresses.get(self.next).copied())?;
            self.client = Some(open(address, connect));
        }
        self.client.clone()
    }

    /// Asks another instance from now on.
    pub(crate) fn turn(&mut self) {
        self.client = None;
        if self.leader.take().is_none() {
            self.next = (self.next + 1) % self.addresses.len().max(1);
        }
    }

    /// Asks the leader that an instance named, or else another instance.
    pub(crate) fn follow(&mut self, leader: &str) {
        self.turn();
        self.leader = leader.parse().ok();
    }
}

fn open(address: SocketAddr, connect: Duration) -> ControlClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .tcp_nodelay(true)
        .connect_timeout(connect);
    ControlClient::new(endpoint.connect_lazy())
}

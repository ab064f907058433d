//! The control instances that a node asks in turn.

use std::net::SocketAddr;
use std::time::Duration;

use gentian::wire::control::control_client::ControlClient;
use tokio::sync::watch;
use tonic::transport::{Channel, Endpoint};

/// The instances of the settings, and the one to ask next.
#[derive(Debug)]
pub(crate) struct ControlPeers {
    seeds: watch::Receiver<Vec<SocketAddr>>,
    told: Vec<SocketAddr>,
    next: usize,
    leader: Option<SocketAddr>,
    client: Option<ControlClient<Channel>>,
}

impl ControlPeers {
    /// Instances to ask; `seeds` are those of the settings in force.
    pub(crate) fn new(seeds: watch::Receiver<Vec<SocketAddr>>) -> ControlPeers {
        ControlPeers {
            seeds,
            told: Vec::new(),
            next: 0,
            leader: None,
            client: None,
        }
    }

    /// A client for the instance to ask now, kept until it fails.
    pub(crate) fn client(&mut self, connect: Duration) -> Option<ControlClient<Channel>> {
        if self.client.is_none() {
            let address = self.leader.or_else(|| self.turn_of())?;
            self.client = Some(open(address, connect));
        }
        self.client.clone()
    }

    /// Asks another instance from now on.
    pub(crate) fn rotate(&mut self) {
        self.client = None;
        if self.leader.take().is_none() {
            self.next = self.next.wrapping_add(1);
        }
    }

    /// Takes in which instances there are now.
    pub(crate) fn learn(&mut self, addresses: &[String]) {
        let told = addresses.iter().filter_map(|address| address.parse().ok());
        self.told = told.collect();
    }

    /// Those that the settings name and those that were told take turns.
    fn turn_of(&self) -> Option<SocketAddr> {
        let seeds = self.seeds.borrow();
        let new = self.told.iter().filter(|address| !seeds.contains(address));
        let all: Vec<_> = seeds.iter().chain(new).collect();
        let index = self.next.checked_rem(all.len())?;
        Some(*all[index])
    }

    /// Asks the leader that an instance named, or else another instance; whether
    /// there is a new one to ask. A leader that was asked on such a hint and
    /// names another is not believed, so that hints can't go round in circles.
    pub(crate) fn follow_leader(&mut self, leader: &str) -> bool {
        let hinted = self.leader.is_some();
        self.rotate();
        self.leader = leader.parse().ok();
        self.leader.is_some() && !hinted
    }
}

fn open(address: SocketAddr, connect: Duration) -> ControlClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .tcp_nodelay(true)
        .connect_timeout(connect);
    ControlClient::new(endpoint.connect_lazy())
}

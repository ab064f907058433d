//! A node's lease: renewed against control, with the view and the configuration
//! that are in force under it.

mod lines;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use gentian::wire::control::control_client::ControlClient;
use gentian::wire::control::{Member, Node, RenewReply, RenewRequest, Upstream};
use tokio::sync::watch;
use tonic::transport::{Channel, Endpoint};

pub(crate) use lines::log_changes;

const PERIOD: Duration = Duration::from_millis(1000);
const RETRY: Duration = Duration::from_millis(200);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// What a node knows of the system, and until when it may act on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Held {
    /// Until when; nothing is in force before the first renewal.
    pub(crate) until: Option<Instant>,
    /// The version in force.
    pub(crate) version: u64,
    /// The view in force.
    pub(crate) view: u64,
    /// The view's members.
    pub(crate) members: Vec<Member>,
    /// The configuration document, JSON.
    pub(crate) document: Vec<u8>,
}

impl Held {
    /// Whether the node may act on what it knows.
    pub(crate) fn in_force(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

/// Tells what upstreams this node announces; entries have none.
pub(crate) trait Announce: Send + Sync + 'static {
    /// The upstreams that are heard of now.
    fn upstreams(&self) -> Vec<Upstream>;
}

/// An entry's announcement: no upstreams.
#[derive(Debug)]
pub(crate) struct Nothing;

impl Announce for Nothing {
    fn upstreams(&self) -> Vec<Upstream> {
        Vec::new()
    }
}

/// The loop that keeps a lease.
#[derive(Debug)]
pub(crate) struct Loop<A> {
    node: Node,
    announce: Arc<A>,
    clients: Vec<ControlClient<Channel>>,
    held: watch::Sender<Arc<Held>>,
    next: Mutex<usize>,
}

impl<A: Announce> Loop<A> {
    /// A loop for `node` that asks the control instances at `addresses`.
    pub(crate) fn new(node: Node, announce: Arc<A>, addresses: &[SocketAddr]) -> Loop<A> {
        let clients = addresses.iter().map(client).collect();
        Loop {
            node,
            announce,
            clients,
            held: watch::Sender::new(Arc::default()),
            next: Mutex::new(0),
        }
    }

    /// What is held, as it changes.
    pub(crate) fn held(&self) -> watch::Receiver<Arc<Held>> {
        self.held.subscribe()
    }

    /// Renews until `stop` turns true.
    pub(crate) async fn run(self, mut stop: watch::Receiver<bool>) {
        loop {
            let pause = match self.renew().await {
                true => PERIOD,
                false => RETRY,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    }

    async fn renew(&self) -> bool {
        let Some(mut client) = self.client() else {
            return false;
        };
        let known = self.held.borrow().clone();
        let request = RenewRequest {
            node: Some(self.node.clone()),
            upstreams: self.announce.upstreams(),
            known_version: known.version,
            known_view: known.view,
        };
        let sent = Instant::now();
        let call = tokio::time::timeout(CALL_TIMEOUT, client.renew(request));
        match call.await {
            Ok(Ok(reply)) if reply.get_ref().granted => {
                self.adopt(&known, sent, reply.into_inner());
                true
            }
            _ => {
                self.turn();
                false
            }
        }
    }

    fn client(&self) -> Option<ControlClient<Channel>> {
        let next = *self.next.lock().expect("no thread panics with this lock");
        self.clients.get(next).cloned()
    }

    fn turn(&self) {
        let mut next = self.next.lock().expect("no thread panics with this lock");
        *next = (*next + 1) % self.clients.len().max(1);
    }

    fn adopt(&self, known: &Held, sent: Instant, reply: RenewReply) {
        let mut held = known.clone();
        held.until = Some(sent + Duration::from_millis(u64::from(reply.lease_ms)));
        if reply.version > held.version {
            held.version = reply.version;
            held.document = reply.document.to_vec();
        }
        if reply.view > held.view {
            held.view = reply.view;
            held.members = reply.members;
        }
        self.held.send_replace(Arc::new(held));
    }
}

fn client(address: &SocketAddr) -> ControlClient<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .connect_timeout(CALL_TIMEOUT);
    ControlClient::new(endpoint.connect_lazy())
}

//! A node's lease: renewed against control, with the views and the
//! configuration that are in force under it.

mod held;
mod peers;
mod status;

mod lines;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::wire::control::{Node, RenewReply, RenewRequest, Upstream};
use tokio::sync::watch;

pub(crate) use held::Held;
pub(crate) use peers::Peers;
pub(crate) use status::Status;

pub(crate) use lines::log_changes;

const PERIOD: Duration = Duration::from_millis(1000);
const RETRY: Duration = Duration::from_millis(75);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two renewals until then.
const UNSETTLED: Duration = Duration::from_millis(200);
/// Time without a change of the roster after which the usual period is enough.
const SETTLED: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest time for which a node may act on a view after the next was accepted.
pub(crate) const GRACE: Duration = Duration::from_secs(9);

/// Tells what this node announces of itself; entries have no upstreams.
pub(crate) trait Announce: Send + Sync + 'static {
    /// The upstreams that are heard of now.
    fn upstreams(&self) -> Vec<Upstream>;

    /// Whether the process stops.
    fn leaving(&self) -> bool {
        false
    }
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
    peers: Peers,
    period: Duration,
    changed_at: Instant,
    held: watch::Sender<Arc<Held>>,
}

impl<A: Announce> Loop<A> {
    /// A loop for `node` that asks the control instances at `addresses`.
    pub(crate) fn new(
        node: Node,
        announce: Arc<A>,
        control: watch::Receiver<Vec<SocketAddr>>,
    ) -> Loop<A> {
        Loop {
            node,
            announce,
            peers: Peers::new(control),
            period: PERIOD,
            changed_at: Instant::now(),
            held: watch::Sender::new(Arc::default()),
        }
    }

    /// Renews with another period.
    pub(crate) fn period(mut self, period: Duration) -> Loop<A> {
        self.period = period;
        self
    }

    /// What is held, as it changes.
    pub(crate) fn held(&self) -> watch::Receiver<Arc<Held>> {
        self.held.subscribe()
    }

    /// Renews until `stop` turns true.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let pause = match self.renew().await {
                true if self.is_settled() => self.period,
                true => UNSETTLED,
                false => RETRY,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    }

    /// Whether what is held has been the same for a while: after a restart of
    /// many, the leader hears of them one after the other.
    fn is_settled(&self) -> bool {
        self.changed_at.elapsed() > SETTLED
    }

    async fn renew(&mut self) -> bool {
        let Some(mut client) = self.peers.client(CONNECT_TIMEOUT) else {
            return false;
        };
        let known = self.held.borrow().clone();
        let request = RenewRequest {
            node: Some(self.node.clone()),
            upstreams: self.announce.upstreams(),
            known_version: known.version,
            known_view: known.view,
            leaving: self.announce.leaving(),
            known_roster: known.roster,
        };
        let sent = Instant::now();
        match tokio::time::timeout(CALL_TIMEOUT, client.renew(request)).await {
            Ok(Ok(reply)) => self.answered(&known, sent, reply.get_ref()),
            Ok(Err(_)) | Err(_) => {
                self.peers.turn();
                false
            }
        }
    }

    fn answered(&mut self, known: &Held, sent: Instant, reply: &RenewReply) -> bool {
        if !reply.granted {
            self.peers.follow(&reply.leader_address);
            return false;
        }
        self.peers.learn(&reply.control);
        match known.renewed(sent, Instant::now(), reply) {
            Ok(held) => {
                if held.roster != known.roster {
                    self.changed_at = Instant::now();
                }
                self.held.send_replace(Arc::new(held));
                true
            }
            Err(error) => {
                log::warn!("a renewal is not taken: {error}");
                self.peers.turn();
                false
            }
        }
    }
}

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

pub(crate) use held::LeaseState;
pub(crate) use peers::ControlPeers;
pub(crate) use status::StatusHandler;

pub(crate) use lines::log_changes;

const PERIOD: Duration = Duration::from_millis(1000);
const RETRY: Duration = Duration::from_millis(50);
/// Time for a connection at first, doubled with each call that fails: among
/// instances that are down, the next one is soon asked, and a far one is reached
/// all the same.
const SHORTEST_CONNECT: Duration = Duration::from_millis(75);
const LONGEST_CONNECT: Duration = Duration::from_millis(600);
/// Time between two renewals until then.
const UNSETTLED: Duration = Duration::from_millis(200);
/// Time without a change of the roster after which the usual period is enough.
const SETTLED: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest time for which a node may act on a view after the next was accepted.
pub(crate) const VIEW_GRACE: Duration = Duration::from_secs(9);

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
pub(crate) struct NoUpstreams;

impl Announce for NoUpstreams {
    fn upstreams(&self) -> Vec<Upstream> {
        Vec::new()
    }
}

/// What came of one call for a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Renewal {
    Granted,
    /// Not granted by an instance that named another one to ask.
    Elsewhere,
    Failed,
}

/// The loop that keeps a lease.
#[derive(Debug)]
pub(crate) struct Loop<A> {
    node: Node,
    announce: Arc<A>,
    peers: ControlPeers,
    connect: Duration,
    period: Duration,
    changed_at: Instant,
    held: watch::Sender<Arc<LeaseState>>,
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
            peers: ControlPeers::new(control),
            connect: SHORTEST_CONNECT,
            period: PERIOD,
            changed_at: Instant::now(),
            held: watch::Sender::new(Arc::default()),
        }
    }

    /// Renews with another period.
    pub(crate) fn with_period(mut self, period: Duration) -> Loop<A> {
        self.period = period;
        self
    }

    /// What is held, as it changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<LeaseState>> {
        self.held.subscribe()
    }

    /// Renews until `stop` turns true.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let pause = match self.renew().await {
                Renewal::Granted if self.is_settled() => self.period,
                Renewal::Granted => UNSETTLED,
                Renewal::Elsewhere => Duration::ZERO,
                Renewal::Failed => RETRY,
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

    async fn renew(&mut self) -> Renewal {
        let Some(mut client) = self.peers.client(self.connect) else {
            return Renewal::Failed;
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
                self.peers.rotate();
                self.connect = (self.connect * 2).min(LONGEST_CONNECT);
                Renewal::Failed
            }
        }
    }

    fn answered(&mut self, known: &LeaseState, sent: Instant, reply: &RenewReply) -> Renewal {
        if !reply.granted {
            return match self.peers.follow_leader(&reply.leader_address) {
                true => Renewal::Elsewhere,
                false => Renewal::Failed,
            };
        }
        self.peers.learn(&reply.control);
        match known.renewed(sent, Instant::now(), reply) {
            Ok(held) => {
                if held.roster != known.roster {
                    self.changed_at = Instant::now();
                }
                self.held.send_replace(Arc::new(held));
                self.connect = SHORTEST_CONNECT;
                Renewal::Granted
            }
            Err(error) => {
                log::warn!("a renewal is not taken: {error}");
                self.peers.rotate();
                Renewal::Failed
            }
        }
    }
}

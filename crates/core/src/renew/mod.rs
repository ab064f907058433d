//! Keeps a node's lease: renews it with the control leader, and receives the
//! configuration and the views that the node may act on while the lease is valid.

mod control_peers;
mod log_changes;
mod state;
mod status;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::wire::control::control_client::ControlClient;
use gentian::wire::control::{Node, RenewReply, RenewRequest, Upstream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tonic::transport::Channel;

use crate::clock;
use crate::panics::AbortOnPanic;

pub(crate) use control_peers::{connect as connect_control, ControlPeers};
pub(crate) use log_changes::log_changes;
pub(crate) use state::LeaseState;
pub(crate) use status::StatusHandler;

const RENEWAL_PERIOD: Duration = Duration::from_millis(1000);
/// Pause after a failed renewal.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Long enough to reach distant instances.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without an answer after which a node that has no lease calls the next instance, too.
/// One that is down costs no more than that, and a distant one may still answer.
const SEARCH_INTERVAL: Duration = Duration::from_millis(75);
/// Renewal period until the list of agents has been stable for [`STABLE_AFTER`].
const UNSTABLE_PERIOD: Duration = Duration::from_millis(200);
/// Time without a change of the list of agents after which the normal period is used.
const STABLE_AFTER: Duration = Duration::from_millis(1500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Longest time that a node may still act on a view after the next one was accepted.
pub(crate) const VIEW_GRACE: Duration = Duration::from_secs(9);

/// What a node announces about itself with each renewal.
pub(crate) trait Announce: Send + Sync + 'static {
    /// The upstreams that are announced to this node; entries have none.
    fn upstreams(&self) -> Vec<Upstream>;

    /// Whether the node is draining.
    fn leaving(&self) -> bool {
        false
    }
}

/// The announcement of an entry, which has no upstreams.
#[derive(Debug)]
pub(crate) struct NoUpstreams;

impl Announce for NoUpstreams {
    fn upstreams(&self) -> Vec<Upstream> {
        Vec::new()
    }
}

/// The outcome of one renewal request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Renewal {
    Granted,
    /// The instance doesn't lead and named the leader, which is called next.
    Redirected,
    /// The instance has not answered yet; another one is called at once.
    Unanswered,
    Failed,
}

/// An answer of a control instance.
#[derive(Debug)]
struct Answer {
    /// The instance that answered.
    client: ControlClient<Channel>,
    /// When the request was sent, in the time of [`clock::now`].
    sent: Duration,
    reply: RenewReply,
}

/// Renews a node's lease periodically.
#[derive(Debug)]
pub(crate) struct Loop<A> {
    node: Node,
    announce: Arc<A>,
    peers: ControlPeers,
    /// Calls that have not been answered yet.
    calls: JoinSet<Option<Answer>>,
    /// Whether the last call did not grant the lease, so that the next instance is called
    /// before this one has answered.
    searching: bool,
    period: Duration,
    /// When the list of agents last changed.
    present_changed_at: Instant,
    state: watch::Sender<Arc<LeaseState>>,
}

impl<A: Announce> Loop<A> {
    /// `control` holds the addresses of the control instances.
    pub(crate) fn new(
        node: Node,
        announce: Arc<A>,
        control: watch::Receiver<Vec<SocketAddr>>,
    ) -> Loop<A> {
        Loop {
            node,
            announce,
            peers: ControlPeers::new(control),
            calls: JoinSet::new(),
            searching: true,
            period: RENEWAL_PERIOD,
            present_changed_at: Instant::now(),
            state: watch::Sender::new(Arc::default()),
        }
    }

    /// Sets the time between two renewals.
    pub(crate) fn with_period(mut self, period: Duration) -> Loop<A> {
        self.period = period;
        self
    }

    /// Returns a receiver of the lease's state, which is updated by each renewal.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<LeaseState>> {
        self.state.subscribe()
    }

    /// Renews until `stop` turns true.
    pub(crate) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let _essential = AbortOnPanic("the renewal of the lease");
        loop {
            let pause = match self.renew().await {
                Renewal::Granted if self.is_stable() => self.period,
                Renewal::Granted => UNSTABLE_PERIOD,
                Renewal::Redirected | Renewal::Unanswered => Duration::ZERO,
                Renewal::Failed => RETRY_PAUSE,
            };
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    }

    /// Whether the list of agents has been stable for a while. After a restart of
    /// many nodes the leader learns of the agents one after the other, so a node
    /// renews more often until then.
    fn is_stable(&self) -> bool {
        self.present_changed_at.elapsed() > STABLE_AFTER
    }

    /// Calls an instance, and waits for its answer or an earlier one's.
    async fn renew(&mut self) -> Renewal {
        let Some(client) = self.peers.client(CONNECT_TIMEOUT) else {
            return Renewal::Failed;
        };
        self.calls.spawn(call(client, self.request()));
        let patience = match self.searching {
            true => SEARCH_INTERVAL,
            false => CALL_TIMEOUT,
        };
        let renewal = match tokio::time::timeout(patience, self.calls.join_next()).await {
            Ok(Some(Ok(Some(answer)))) => self.handle_answer(answer),
            // The call has failed, which it has logged.
            Ok(_) => {
                self.peers.rotate();
                Renewal::Failed
            }
            // It goes on beside the next one, which may be answered sooner.
            Err(_) => {
                self.peers.rotate();
                Renewal::Unanswered
            }
        };
        self.searching = renewal != Renewal::Granted;
        if renewal == Renewal::Failed {
            self.state.borrow().record_failure(clock::now());
        }
        renewal
    }

    fn request(&self) -> RenewRequest {
        let known = self.state.borrow();
        RenewRequest {
            node: Some(self.node.clone()),
            upstreams: self.announce.upstreams(),
            known_version: known.version,
            known_view: known.view,
            leaving: self.announce.leaving(),
            known_roster: known.roster,
        }
    }

    fn handle_answer(&mut self, answer: Answer) -> Renewal {
        let reply = answer.reply;
        if !reply.granted {
            return match self.peers.follow_leader(&reply.leader_address) {
                true => Renewal::Redirected,
                false => Renewal::Failed,
            };
        }
        self.peers.set_members(&reply.control);
        let known = self.state.borrow().clone();
        match known.with_reply(answer.sent, clock::now(), &reply) {
            Ok(state) => {
                if state.roster != known.roster {
                    self.present_changed_at = Instant::now();
                }
                self.state.send_replace(Arc::new(state));
                self.peers.keep(answer.client);
                // Answers to the other calls would tell nothing new.
                self.calls = JoinSet::new();
                Renewal::Granted
            }
            Err(error) => {
                log::warn!("lease renewal rejected, trying another control instance: {error}");
                self.peers.rotate();
                Renewal::Failed
            }
        }
    }
}

/// Sends a renewal; logs the reason and returns `None` if it is not answered.
async fn call(mut client: ControlClient<Channel>, request: RenewRequest) -> Option<Answer> {
    let _essential = AbortOnPanic("a renewal of the lease");
    let sent = clock::now();
    match tokio::time::timeout(CALL_TIMEOUT, client.renew(request)).await {
        Ok(Ok(reply)) => Some(Answer {
            client,
            sent,
            reply: reply.into_inner(),
        }),
        Ok(Err(status)) => {
            log::debug!("lease renewal failed: {status}");
            None
        }
        Err(_) => {
            log::debug!("lease renewal: no answer within {CALL_TIMEOUT:?}");
            None
        }
    }
}

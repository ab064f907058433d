//! The agent beside an upstream that runs tasks under leases.
//!
//! The agent is the only one that orders anything of its upstream. Entries send
//! it orders over one stream each, which carry the entry's lease; what became
//! of a run is told on the same stream. What is decided is in
//! [`gentian::claim::run`], here are the calls and the streams.

mod beside;
mod calls;
mod http;
mod known;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use gentian::wire::agent::agent_server::AgentServer;
use gentian::wire::control;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::metrics;
use crate::renew;
use crate::serve::{self, Server};

use beside::Beside;

/// Longest time for runs to end once the process stops, after which its entries
/// take them elsewhere.
const DRAIN: Duration = Duration::from_millis(4_500);
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// Time for the last reports to be sent.
const LAST_REPORTS: Duration = Duration::from_millis(50);

/// Serves on the given listeners until `stop` turns true and what runs has ended.
pub(super) async fn run(
    node: control::Node,
    http: Server,
    peer: TcpListener,
    control: watch::Receiver<Vec<std::net::SocketAddr>>,
    stop: watch::Receiver<bool>,
) {
    let name = format!("node {}", node.name);
    let metrics = Arc::new(metrics::Runs::new());
    let beside = Arc::new(Beside::new(node.incarnation, metrics.clone()));
    let renewal = renew::Loop::new(node, beside.clone(), control);
    tokio::spawn(renew::log_changes(name, renewal.held()));
    let (drained, drain) = watch::channel(false);
    let mut closed = drain.clone();
    let service = stream::Service::new(beside.clone());
    let peer = tonic::transport::Server::builder()
        .add_service(AgentServer::new(service))
        .serve_with_incoming_shutdown(serve::peers(peer), async move {
            // A closed channel means that the process stops as well.
            let _ = closed.wait_for(|closed| *closed).await;
        });
    let local = http::Local::new(beside.clone(), metrics);
    let local = Arc::new(renew::Status::new("agent", renewal.held(), local));
    let http = http.serve(local, drain.clone());
    let looking = tokio::spawn(calls::look(beside.clone()));
    let telling = tokio::spawn(beside::tell(beside.clone()));
    let leaving = leave(stop, beside, drained);
    let (peer, (), (), ()) = tokio::join!(peer, http, renewal.run(drain), leaving);
    looking.abort();
    telling.abort();
    if let Err(error) = peer {
        log::error!("agent peer server ended: {error}");
    }
}

/// Takes no new runs from the stop on, and tells when all have ended.
async fn leave(mut stop: watch::Receiver<bool>, beside: Arc<Beside>, drained: watch::Sender<bool>) {
    // A closed channel means that the process stops as well.
    let _ = stop.wait_for(|stop| *stop).await;
    beside.leave();
    let ended = async {
        while !beside.is_idle() {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    if tokio::time::timeout(DRAIN, ended).await.is_err() {
        log::warn!("agent stops with {} runs in progress", beside.running());
    }
    tokio::time::sleep(LAST_REPORTS).await;
    beside.close();
    drained.send_replace(true);
}

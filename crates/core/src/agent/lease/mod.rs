//! An agent whose upstream runs tasks under leases.
//!
//! Only the agent sends orders to its upstream. Each entry sends its own orders to
//! the agent over one stream; they renew the entry's lease. The ends of runs are
//! reported on the same stream. [`gentian::claim::run`] makes the decisions; this
//! module does the calls and serves the streams.

mod calls;
mod connection;
mod crashes;
mod entry_orders;
mod http;
mod order;
mod permission;
mod polls;
mod reports;
mod stream;
mod supervisor;
mod upstream;

use std::sync::Arc;
use std::time::Duration;

use gentian::wire::agent::agent_server::AgentServer;
use gentian::wire::control;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::metrics;
use crate::renew;
use crate::serve::{self, Server};

use supervisor::Supervisor;

/// Longest time to wait for runs to end once the process stops. The entries then
/// start the remaining tasks elsewhere.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(4_500);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time that the last reports get to be sent before the streams are closed.
const LAST_REPORTS_DELAY: Duration = Duration::from_millis(50);

/// Serves on the given listeners until `stop` turns true and the runs have ended, or
/// [`DRAIN_TIMEOUT`] has passed.
pub(super) async fn run(
    node: control::Node,
    http: Server,
    peer: TcpListener,
    control: watch::Receiver<Vec<std::net::SocketAddr>>,
    stop: watch::Receiver<bool>,
) {
    let name = format!("node {}", node.name);
    let metrics = Arc::new(metrics::Runs::new());
    let supervisor = Arc::new(Supervisor::new(&node, metrics.clone()));
    let renewal = renew::Loop::new(node.clone(), supervisor.clone(), control);
    tokio::spawn(renew::log_changes(name, renewal.subscribe()));
    let permission =
        permission::follow_configuration(node, supervisor.clone(), renewal.subscribe());
    tokio::spawn(permission);
    let (drained, drain) = watch::channel(false);
    let mut closed = drain.clone();
    let service = stream::Service::new(supervisor.clone());
    let peer = tonic::transport::Server::builder()
        .add_service(AgentServer::new(service))
        .serve_with_incoming_shutdown(serve::peer_incoming(peer), async move {
            // The channel closes only when the process stops, too.
            let _ = closed.wait_for(|closed| *closed).await;
        });
    let local = http::UpstreamApi::new(supervisor.clone(), metrics);
    let local = Arc::new(renew::StatusHandler::new(
        "agent",
        renewal.subscribe(),
        local,
    ));
    let http = http.serve(local, drain.clone());
    let polling = tokio::spawn(polls::poll_upstream(supervisor.clone()));
    let reporting = tokio::spawn(reports::report_room(supervisor.clone()));
    let offering = tokio::spawn(reports::repeat_offers(supervisor.clone()));
    let draining = drain_runs(stop, supervisor, drained);
    let (peer, (), (), ()) = tokio::join!(peer, http, renewal.run(drain), draining);
    polling.abort();
    reporting.abort();
    offering.abort();
    if let Err(error) = peer {
        log::error!("agent.peer: server failed: {error}");
    }
}

/// Once `stop` turns true, refuses new runs, waits for the current ones to end, and
/// sets `drained`.
async fn drain_runs(
    mut stop: watch::Receiver<bool>,
    supervisor: Arc<Supervisor>,
    drained: watch::Sender<bool>,
) {
    // The channel closes only when the process stops, too.
    let _ = stop.wait_for(|stop| *stop).await;
    supervisor.refuse_new_runs();
    let ended = async {
        while !supervisor.is_idle() {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(DRAIN_TIMEOUT, ended).await.is_err() {
        log::warn!(
            "drain timeout passed; agent stops with {} runs in progress",
            supervisor.running()
        );
    }
    tokio::time::sleep(LAST_REPORTS_DELAY).await;
    supervisor.close_streams();
    drained.send_replace(true);
}

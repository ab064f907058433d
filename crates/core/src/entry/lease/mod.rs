//! The entry for jobs whose tasks run under leases.
//!
//! A job is answered once it has ended, so nothing of it is stored: if this
//! process is lost, its leases lapse, and the caller may hand the job in again.
//! Decisions are in [`gentian::route::room`] and [`gentian::limit::line`]; here
//! are the callers' requests, the jobs in progress and a stream to each agent.

mod dispatcher;
mod follow;
mod front;
mod job;
mod link;
mod peer;
mod state;

use std::sync::Arc;
use std::time::Duration;

use gentian::wire::{control, id};
use tokio::sync::watch;

use crate::renew;
use crate::serve::Server;

use dispatcher::Dispatcher;
use strum::VariantNames;

/// Why jobs are refused, by the names in metrics and lines.
pub(crate) const REFUSAL_CAUSES: &[&str] = job::RefusalCause::VARIANTS;

/// Time between two renewals, which bounds how late a change comes into force.
const RENEWAL: Duration = Duration::from_millis(500);

/// Time for the balancer to notice that this entry wants no new connections.
const NOTICE: Duration = Duration::from_millis(2_300);

/// Serves on the given listeners until `stop` turns true and the requests in
/// progress have ended.
pub(super) async fn run(
    node: control::Node,
    data_center: id::DataCenter,
    http: Server,
    ready: Option<Server>,
    control: watch::Receiver<Vec<std::net::SocketAddr>>,
    max_body: usize,
    mut stop: watch::Receiver<bool>,
) {
    let name = format!("node {}", node.name);
    let dispatcher = Arc::new(Dispatcher::new(&node, data_center));
    let renewal = renew::Loop::new(node, Arc::new(renew::Nothing), control).period(RENEWAL);
    let held = renewal.held();
    tokio::spawn(renew::log_changes(name, held.clone()));
    tokio::spawn(follow::agents(held.clone(), dispatcher.clone()));
    tokio::spawn(follow::orphans(dispatcher.clone()));
    let front = front::Front::new(dispatcher.clone(), held, stop.clone(), max_body);
    let front = Arc::new(front);
    let (closing, closed) = watch::channel(false);
    let (ended, end) = watch::channel(false);
    let requests = http.serve(front.clone(), closed);
    let readiness = async {
        if let Some(server) = ready {
            server
                .serve(Arc::new(front::Beside(front)), end.clone())
                .await;
        }
    };
    let renewing = tokio::spawn(renewal.run(end.clone()));
    let leave = async {
        // A closed channel means that the process stops as well.
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(NOTICE).await;
        closing.send_replace(true);
    };
    let serve = async {
        requests.await;
        ended.send_replace(true);
    };
    tokio::join!(serve, leave, readiness);
    // It waits for the same end.
    let _ = renewing.await;
}

//! The entry for jobs whose tasks run under leases.
//!
//! A run is one attempt to execute a task at an upstream. The runs that this entry
//! has ordered from an agent may go on only as long as the entry keeps renewing its
//! lease there. The caller's request stays open until its job has ended, so no job
//! is stored: if this process is lost, its leases lapse, its runs are stopped and the
//! caller may submit the job again.
//!
//! [`gentian::route::placement`] chooses upstreams and [`gentian::limit::job_queue`]
//! orders waiting jobs; this module handles the callers' requests, the jobs in
//! progress and one stream to each agent.

mod agents;
mod api;
mod dispatcher;
mod job;
mod link;
mod state;
mod stream;

use std::sync::Arc;
use std::time::Duration;

use gentian::wire::{control, id};
use tokio::sync::watch;

use crate::renew;
use crate::serve::Server;
use crate::settings;

use dispatcher::Dispatcher;
use strum::VariantNames;

/// Why jobs are refused, as named in metrics and log lines.
pub(crate) const REFUSAL_CAUSES: &[&str] = job::RefusalCause::VARIANTS;

/// Time between two lease renewals; bounds how late a configuration change takes
/// effect.
const RENEWAL_PERIOD: Duration = Duration::from_millis(500);

/// How long connections are still accepted after a stop is requested, so that the
/// load balancer can notice that this entry is not ready.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_300);

/// Serves on the given listeners until `stop` turns true and the requests in
/// progress have ended.
pub(super) async fn run(
    node: control::Node,
    data_center: id::DataCenter,
    http: Server,
    ready: Option<Server>,
    control: watch::Receiver<Vec<std::net::SocketAddr>>,
    section: &settings::Entry,
    mut stop: watch::Receiver<bool>,
) {
    let name = format!("node {}", node.name);
    let dispatcher = Arc::new(Dispatcher::new(&node, data_center));
    let renewal =
        renew::Loop::new(node, Arc::new(renew::NoUpstreams), control).with_period(RENEWAL_PERIOD);
    let held = renewal.subscribe();
    tokio::spawn(renew::log_changes(name, held.clone()));
    tokio::spawn(agents::follow_list(held.clone(), dispatcher.clone()));
    tokio::spawn(agents::expire_lost_runs(dispatcher.clone()));
    let api = api::Api::new(dispatcher.clone(), held, stop.clone(), section);
    let api = Arc::new(api);
    let (closing, closed) = watch::channel(false);
    let (ended, end) = watch::channel(false);
    let requests = http.serve(api.clone(), closed);
    let readiness = async {
        if let Some(server) = ready {
            server
                .serve(Arc::new(api::AdminApi(api)), end.clone())
                .await;
        }
    };
    let renewing = tokio::spawn(renewal.run(end.clone()));
    let drain = async {
        // A closed channel means that the process stops, too.
        let _ = stop.wait_for(|stop| *stop).await;
        tokio::time::sleep(DEREGISTRATION_DELAY).await;
        closing.send_replace(true);
    };
    let serve = async {
        requests.await;
        ended.send_replace(true);
    };
    tokio::join!(serve, drain, readiness);
    // The renewal loop stops on `end` as well.
    let _ = renewing.await;
}

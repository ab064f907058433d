//! The agent role: admits tasks to the upstreams on its machine and passes their
//! answers back to the entries.

mod claims;
mod http;
mod lease;
mod pool;
mod reply;
mod service;
mod upstreams;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gentian::wire::agent::agent_server::AgentServer;
use gentian::wire::{control, id};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::metrics;
use crate::renew;
use crate::run::{self, Error, Result};
use crate::serve::{self, Server};
use crate::settings::{Agent, Dialect, Settings};

const MAX_CONNECTIONS: usize = 256;
/// Time that the agent keeps serving after the stop, so that the entries learn that it
/// is leaving.
const DRAIN_TIME: Duration = Duration::from_millis(2500);

/// The agent role with its listeners open.
#[derive(Debug)]
pub(crate) struct Role {
    http: Server,
    peer: TcpListener,
    name: id::Node,
    node: control::Node,
    control: watch::Receiver<Vec<SocketAddr>>,
    section: Agent,
}

impl Role {
    /// Listens on the addresses of `section`.
    pub(crate) async fn bind(
        settings: &Settings,
        section: &Agent,
        control: watch::Receiver<Vec<SocketAddr>>,
    ) -> Result<Role> {
        let http = Server::bind(section.http, MAX_CONNECTIONS).await;
        let http = http.map_err(Error::listen("agent.http", section.http))?;
        let peer = TcpListener::bind(section.peer).await;
        let peer = peer.map_err(Error::listen("agent.peer", section.peer))?;
        let mut node = run::node(settings, control::Role::Agent);
        node.address = peer.local_addr()?.to_string();
        Ok(Role {
            http,
            peer,
            name: settings.name.clone(),
            node,
            control,
            section: section.clone(),
        })
    }

    pub(crate) fn http(&self) -> Result<SocketAddr> {
        Ok(self.http.address()?)
    }

    pub(crate) fn peer(&self) -> Result<SocketAddr> {
        Ok(self.peer.local_addr()?)
    }

    /// Longest time from the stop until the tasks in progress have ended.
    pub(crate) fn drain_timeout(&self) -> Duration {
        self.section.drain_timeout
    }

    /// Serves until `stop` turns true, the entries have had time to learn that this
    /// agent is leaving, and the tasks in progress have ended.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        if self.section.dialect == Dialect::Platform {
            return lease::run(self.node, self.http, self.peer, self.control, stop).await;
        }
        let incarnation = self.node.incarnation;
        let node = format!("node {}", self.node.name);
        let table = Arc::new(upstreams::UpstreamTable::new(&self.section));
        let (drained, drain) = watch::channel(false);
        let renewal = renew::Loop::new(self.node, table.clone(), self.control);
        tokio::spawn(renew::log_changes(node, renewal.subscribe()));
        let metrics = Arc::new(metrics::Agent::new());
        let service = service::Service::new(
            incarnation,
            table.clone(),
            renewal.subscribe(),
            claims::Claims::new(self.name),
            metrics.clone(),
        );
        let mut closed = drain.clone();
        let peer = tonic::transport::Server::builder()
            .add_service(AgentServer::new(service))
            .serve_with_incoming_shutdown(serve::peer_incoming(self.peer), async move {
                // The channel closes only when the process stops, too.
                let _ = closed.wait_for(|closed| *closed).await;
            });
        let local = http::UpstreamApi::new(table.clone(), renewal.subscribe(), metrics);
        let local = Arc::new(renew::StatusHandler::new(
            "agent",
            renewal.subscribe(),
            local,
        ));
        let http = self.http.serve(local, drain.clone());
        let draining = drain_tasks(stop, table, drained);
        let (peer, (), (), ()) = tokio::join!(peer, http, renewal.run(drain), draining);
        if let Err(error) = peer {
            log::error!("agent.peer: server failed: {error}");
        }
    }
}

/// Once `stop` turns true, refuses new tasks, waits for [`DRAIN_TIME`], and sets
/// `drained`.
async fn drain_tasks(
    mut stop: watch::Receiver<bool>,
    table: Arc<upstreams::UpstreamTable>,
    drained: watch::Sender<bool>,
) {
    // The channel closes only when the process stops, too.
    let _ = stop.wait_for(|stop| *stop).await;
    table.leave_all();
    tokio::time::sleep(DRAIN_TIME).await;
    drained.send_replace(true);
}

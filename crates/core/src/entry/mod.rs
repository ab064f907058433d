//! The entry role: receives callers' requests, sends their tasks to agents and
//! returns the answers.

mod agent_client;
mod api;
pub(crate) mod dispatch;
mod job;
mod lease;
mod loans;
mod meter;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gentian::wire::{control, id};
use tokio::sync::watch;

pub(crate) use lease::REFUSAL_CAUSES;

use crate::renew::{self, LeaseState};
use crate::run::{self, Error, Result};
use crate::serve::Server;
use crate::settings::{Dialect, Entry, Settings};

/// How long before the platform kills the process the drain ends, so that the process
/// can still exit by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Most connections open at once on the listener for the load balancer.
const MAX_READY_CONNECTIONS: usize = 64;

/// The entry role with its listeners bound.
#[derive(Debug)]
pub(crate) struct Role {
    http: Server,
    ready: Option<Server>,
    name: id::Node,
    address: SocketAddr,
    node: control::Node,
    data_center: id::DataCenter,
    section: Entry,
    control: watch::Receiver<Vec<SocketAddr>>,
}

impl Role {
    /// Listens on the addresses of `section`.
    pub(crate) async fn bind(
        settings: &Settings,
        section: &Entry,
        control: watch::Receiver<Vec<SocketAddr>>,
    ) -> Result<Role> {
        let http = Server::bind(section.http, section.max_connections).await;
        let http = http.map_err(Error::listen("entry.http", section.http))?;
        let http = http.header_timeout(section.header_timeout);
        let ready = match section.ready {
            Some(address) => {
                let server = Server::bind(address, MAX_READY_CONNECTIONS).await;
                Some(server.map_err(Error::listen("entry.ready", address))?)
            }
            None => None,
        };
        let mut node = run::node(settings, control::Role::Entry);
        let address = http.address()?;
        node.address = address.to_string();
        Ok(Role {
            http,
            ready,
            name: settings.name.clone(),
            address,
            node,
            data_center: settings.data_center.clone(),
            section: section.clone(),
            control,
        })
    }

    pub(crate) fn http(&self) -> Result<SocketAddr> {
        Ok(self.http.address()?)
    }

    pub(crate) fn ready(&self) -> Result<Option<SocketAddr>> {
        let ready = self.ready.as_ref().map(Server::address);
        Ok(ready.transpose()?)
    }

    /// Longest time that requests in progress may take after a stop was requested.
    pub(crate) fn drain_timeout(&self) -> Duration {
        match self.section.dialect {
            Dialect::Native => self.section.drain_timeout,
            // The platform kills the process at the end of `drain_timeout`.
            Dialect::Platform => self.section.drain_timeout.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Serves until `stop` turns true and the requests in progress have ended.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        if self.section.dialect == Dialect::Platform {
            return self.run_leases(stop).await;
        }
        let node = format!("node {}", self.node.name);
        let incarnation = id::Incarnation(self.node.incarnation);
        let renewal = renew::Loop::new(
            self.node,
            Arc::new(renew::NoUpstreams),
            self.control.clone(),
        );
        let (dispatcher, thread) = dispatch::start(&self.name, &self.data_center);
        tokio::spawn(forward_lease(renewal.subscribe(), dispatcher.clone()));
        let (name, handle) = (self.name.clone(), dispatcher.clone());
        let lending = loans::LoanLoop::new(name, incarnation, self.control, handle);
        tokio::spawn(renew::log_changes(node, renewal.subscribe()));
        let meter = Arc::new(meter::Meter::new(self.name, renewal.subscribe()));
        let clients = agent_client::AgentClients::default();
        let jobs = job::Jobs::new(
            dispatcher.clone(),
            clients.clone(),
            meter.clone(),
            self.address,
            renewal.subscribe(),
            &self.section,
        );
        let api = api::Api::new(dispatcher, clients, meter, jobs, &self.section);
        let api = renew::StatusHandler::new("entry", renewal.subscribe(), api);
        let requests = self.http.serve(Arc::new(api), stop.clone());
        // The lease is renewed until the last request has ended.
        let (ended, end) = watch::channel(false);
        let renewing = tokio::spawn(renewal.run(end.clone()));
        let lending = tokio::spawn(lending.run(end));
        requests.await;
        ended.send_replace(true);
        // Both loops stop on `end`. The dispatcher's thread ends once its last handle has
        // been dropped.
        let _ = tokio::join!(renewing, lending);
        let _ = tokio::task::spawn_blocking(move || thread.join()).await;
    }

    /// Serves the platform's dialect, whose tasks run under leases.
    async fn run_leases(self, stop: watch::Receiver<bool>) {
        let Role {
            node,
            data_center,
            http,
            ready,
            control,
            section,
            ..
        } = self;
        lease::run(node, data_center, http, ready, control, &section, stop).await;
    }
}

/// Passes each renewal of the lease on to the dispatcher.
async fn forward_lease(mut held: watch::Receiver<Arc<LeaseState>>, dispatcher: dispatch::Handle) {
    while held.changed().await.is_ok() {
        let held = held.borrow_and_update().clone();
        dispatcher.set_lease(held);
    }
}

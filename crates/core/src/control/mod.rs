//! The control role: replicates the membership views and the configuration, and
//! grants leases to nodes and loans of quotas to entries.

mod amendment;
mod archive;
mod drain;
mod members_api;
mod operator_api;
mod release_api;
mod replica;
mod service;
mod state;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use gentian::wire::control::control_server::ControlServer;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::run::{Error, Result};
use crate::serve::{self, Server};
use crate::settings::Controller;

use archive::Archive;
use drain::{DrainApi, Drains};
use members_api::MembersApi;
use operator_api::OperatorApi;
use release_api::ReleaseApi;
use replica::Handle;
use service::Service;
use state::{ReplicatedLog, SharedState};

pub(crate) use replica::StartError;
pub(crate) use state::Backlog;

/// Maximum number of open HTTP connections.
const MAX_CONNECTIONS: usize = 1024;
/// Interval at which the leader looks for events that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// The control role with its listeners bound.
#[derive(Debug)]
pub(crate) struct Role {
    http: Server,
    peer: TcpListener,
    state: SharedState,
    replica: Handle,
    section: Controller,
    seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl Role {
    /// Listens on the addresses of `section`, opens its data folder and starts the
    /// replica. `seeds` holds the addresses of the control instances from the
    /// settings.
    pub(crate) async fn bind(
        section: &Controller,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Result<Role> {
        let http = Server::bind(section.http, MAX_CONNECTIONS).await;
        let http = http.map_err(Error::listen("controller.http", section.http))?;
        let peer = TcpListener::bind(section.peer).await;
        let peer = peer.map_err(Error::listen("controller.peer", section.peer))?;
        let address = peer.local_addr()?.to_string();
        let tolerated = section.tolerates.unwrap_or(0) as usize;
        let store = replica::open_store(&section.data).await?;
        let archive = Archive::open(&section.data).map_err(|source| {
            let path = section.data.display().to_string();
            StartError::Archive { path, source }
        })?;
        let state = SharedState::new(archive);
        let replica = Handle::start(&section.data, store, address, tolerated, state.clone())?;
        Ok(Role {
            http,
            peer,
            state,
            replica,
            section: section.clone(),
            seeds,
        })
    }

    pub(crate) fn http(&self) -> Result<SocketAddr> {
        Ok(self.http.address()?)
    }

    pub(crate) fn peer(&self) -> Result<SocketAddr> {
        Ok(self.peer.local_addr()?)
    }

    /// Serves until `stop` turns true.
    pub(crate) async fn run(self, stop: watch::Receiver<bool>) {
        let mut peer_stop = stop.clone();
        if let (Ok(own), Some(_)) = (self.peer.local_addr(), self.section.tolerates) {
            let (seeds, found) = (self.seeds.clone(), self.section.found);
            tokio::spawn(
                self.replica
                    .clone()
                    .maintain_members(own, seeds, found, stop.clone()),
            );
        }
        let service = Service::new(Arc::new(self.replica.clone()), self.state);
        let api = OperatorApi::new(service.clone());
        let api = MembersApi::new(self.replica.clone(), api);
        let dialect = self.section.dialect;
        let port = self.section.http.port();
        let configured = self.section.data_centers.clone();
        let drains = Arc::new(Drains::new(service.clone(), configured));
        let api = DrainApi::new(drains.clone(), api);
        let api = ReleaseApi::new(service.clone(), drains, dialect, port, api);
        let api = Arc::new(api);
        let ticking = tokio::spawn(tick(service.clone(), stop.clone()));
        tokio::spawn(archive::repair(service.clone(), stop.clone()));
        let peer = tonic::transport::Server::builder()
            .add_service(self.replica.server())
            .add_service(ControlServer::new(service))
            .serve_with_incoming_shutdown(serve::peer_incoming(self.peer), async move {
                // A closed channel also means that the process stops.
                let _ = peer_stop.wait_for(|stop| *stop).await;
            });
        let http = self.http.serve(api, stop);
        let (peer, ()) = tokio::join!(peer, http);
        self.replica.stop();
        // The task ends by itself on the same stop.
        let _ = ticking.await;
        if let Err(error) = peer {
            log::error!("control peer server ended with an error: {error}");
        }
    }
}

/// Proposes the events that are due until `stop` turns true.
async fn tick<L: ReplicatedLog>(service: Service<L>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK_INTERVAL) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        service.tick().await;
    }
}

//! The control role: membership views, the numbered configuration and leases.

mod membership;
mod operators;
mod release;
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

use membership::Membership;
use operators::Operators;
use release::Releases;
use replica::Handle;
use service::Service;
use state::{Log, Shared};

pub(crate) use replica::StartError;

const MAX_CONNECTIONS: usize = 1024;
const TICK: Duration = Duration::from_millis(200);

/// The control role, listening.
#[derive(Debug)]
pub(crate) struct Role {
    http: Server,
    peer: TcpListener,
    shared: Shared,
    replica: Handle,
    section: Controller,
    seeds: watch::Receiver<Vec<SocketAddr>>,
}

impl Role {
    /// Opens the data folder and listens on the addresses of `section`.
    /// `seeds` are the control instances that the settings name.
    pub(crate) async fn bind(
        section: &Controller,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Result<Role> {
        let http = Server::bind(section.http, MAX_CONNECTIONS).await;
        let http = http.map_err(Error::listen("controller.http", section.http))?;
        let peer = TcpListener::bind(section.peer).await;
        let peer = peer.map_err(Error::listen("controller.peer", section.peer))?;
        let shared = Shared::new();
        let address = peer.local_addr()?.to_string();
        let tolerated = section.tolerates.unwrap_or(0) as usize;
        let replica = Handle::start(&section.data, address, tolerated, shared.clone())?;
        Ok(Role {
            http,
            peer,
            shared,
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
        let mut stopped = stop.clone();
        if let (Ok(own), Some(_)) = (self.peer.local_addr(), self.section.tolerates) {
            let (seeds, found) = (self.seeds.clone(), self.section.found);
            tokio::spawn(self.replica.clone().keep(own, seeds, found, stop.clone()));
        }
        let service = Service::new(Arc::new(self.replica.clone()), self.shared);
        let operators = Operators::new(service.clone());
        let operators = Membership::new(self.replica.clone(), operators);
        let dialect = self.section.dialect;
        let port = self.section.http.port();
        let operators = Arc::new(Releases::new(service.clone(), dialect, port, operators));
        let ticking = tokio::spawn(tick(service.clone(), stop.clone()));
        let peer = tonic::transport::Server::builder()
            .add_service(self.replica.server())
            .add_service(ControlServer::new(service))
            .serve_with_incoming_shutdown(serve::peer_incoming(self.peer), async move {
                // A closed channel means that the process stops as well.
                let _ = stopped.wait_for(|stop| *stop).await;
            });
        let http = self.http.serve(operators, stop);
        let (peer, ()) = tokio::join!(peer, http);
        self.replica.stop();
        // It ends by itself, since it waits for the same stop.
        let _ = ticking.await;
        if let Err(error) = peer {
            log::error!("control peer server ended: {error}");
        }
    }
}

/// Proposes what is due until `stop` turns true.
async fn tick<L: Log>(service: Service<L>, mut stop: watch::Receiver<bool>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(TICK) => {}
            _ = stop.wait_for(|stop| *stop) => return,
        }
        service.tick().await;
    }
}

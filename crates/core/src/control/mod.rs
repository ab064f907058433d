//! The control role: membership views, the numbered configuration and leases.

mod service;

use std::net::SocketAddr;
use std::sync::Arc;

use gentian::wire::control::control_server::ControlServer;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::run::{Error, Result};
use crate::serve::{self, Handler, Problem, Request, Response, Server};
use crate::settings::Controller;

const MAX_CONNECTIONS: usize = 1024;

/// The control role, listening.
#[derive(Debug)]
pub(crate) struct Role {
    http: Server,
    peer: TcpListener,
}

impl Role {
    /// Listens on the addresses of `section`.
    pub(crate) async fn bind(section: &Controller) -> Result<Role> {
        let http = Server::bind(section.http, MAX_CONNECTIONS).await;
        let http = http.map_err(Error::listen("controller.http", section.http))?;
        let peer = TcpListener::bind(section.peer).await;
        let peer = peer.map_err(Error::listen("controller.peer", section.peer))?;
        Ok(Role { http, peer })
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
        let service = ControlServer::new(service::Service::default());
        let peer = tonic::transport::Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(serve::peers(self.peer), async move {
                // A closed channel means that the process stops as well.
                let _ = stopped.wait_for(|stop| *stop).await;
            });
        let http = self.http.serve(Arc::new(Operators), stop);
        let (peer, ()) = tokio::join!(peer, http);
        if let Err(error) = peer {
            log::error!("control peer server ended: {error}");
        }
    }
}

struct Operators;

impl Handler for Operators {
    async fn handle(&self, request: Request) -> Response {
        let detail = format!("{} is not served here", request.uri().path());
        Problem::new(404, "not found", &detail).respond()
    }
}

//! The platform's HTTP API for its operators: releases, which are complete configurations
//! with a number of their own, and drains of data centres.
//!
//! A release replaces any with a lower number. If it or a later one is already in
//! force, it is acknowledged without effect. It is applied as a patch to the version
//! in force, so it appears in the history like any other change. Only the leader
//! handles these requests; other instances redirect to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gentian::config::document::Document;
use gentian::config::patch::MAX_PATCH_BYTES;
use gentian_platform::operator::Config;
use gentian_platform::path::Call;
use http::StatusCode;
use http_body_util::Full;
use serde_json::Value;

use super::amendment;
use super::drain::{Drains, Order};
use super::service::Service;
use super::state::{Leader, ReplicatedLog};
use crate::serve::{self, Handler, Problem, Request, Response};
use crate::settings::Dialect;

const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The result of a request, whose error is sent as the response.
type Result<T> = std::result::Result<T, Problem>;

/// Handles the platform's operator calls if the dialect has them, and passes other requests
/// to `next`.
#[derive(Debug)]
pub(crate) struct ReleaseApi<L, H> {
    service: Service<L>,
    drains: Arc<Drains<L>>,
    dialect: Dialect,
    /// HTTP port, which is the same on every control instance.
    port: u16,
    next: H,
}

impl<L: ReplicatedLog, H: Handler> ReleaseApi<L, H> {
    pub(crate) fn new(
        service: Service<L>,
        drains: Arc<Drains<L>>,
        dialect: Dialect,
        port: u16,
        next: H,
    ) -> Self {
        ReleaseApi {
            service,
            drains,
            dialect,
            port,
            next,
        }
    }

    async fn put(&self, request: Request) -> Result<Response> {
        let body = serve::read_body(request.into_body(), MAX_PATCH_BYTES, BODY_TIMEOUT).await?;
        let config = Config::read(&body).map_err(|error| {
            log::info!("release refused: {error}");
            Problem::bad(&error.to_string())
        })?;
        let number = config.release.number;
        let accepted = self
            .service
            .amend(|document, value| next_document(document, value, &config));
        match accepted.await {
            Ok(Some(version)) => {
                log::info!("release {number} accepted as version {version}");
                Ok(serve::text("accepted\n"))
            }
            Ok(None) => Ok(serve::text("in force\n")),
            Err(error) => {
                log::warn!("release {number} is not accepted: {error}");
                Err(error.into())
            }
        }
    }

    fn get(&self) -> Result<Response> {
        let release = self.service.read(|applied| {
            let document = applied.document();
            document.map(|document| document.release.clone())
        });
        let release = release.ok_or_else(|| self.not_leader())?;
        match release.ok_or(amendment::Error::Unreadable)? {
            Some(release) => Ok(serve::respond(
                "application/json",
                Bytes::from(release.body),
            )),
            None => Err(Problem::busy("no release has been accepted yet")),
        }
    }

    async fn drain(&self, order: Order, data_center: &str) -> Result<Response> {
        self.drains.carry_out(order, data_center).await?;
        Ok(serve::text("in force\n"))
    }

    fn not_leader(&self) -> Problem {
        Problem::busy("this control instance is not the leader")
    }

    /// Returns the leader's HTTP address if another instance leads.
    fn other_leader(&self) -> Option<SocketAddr> {
        match self.service.leader() {
            Leader::Other(Some(leader)) => Some(SocketAddr::new(leader.ip(), self.port)),
            Leader::This { .. } | Leader::Other(None) => None,
        }
    }
}

impl<L: ReplicatedLog, H: Handler> Handler for ReleaseApi<L, H> {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let call = Call::read(request.method(), &path);
        if self.dialect != Dialect::Platform || call.is_none() {
            return self.next.handle(request).await;
        }
        self.service.wait_for_confirmation().await;
        if let Some(leader) = self.other_leader() {
            return redirect(leader, &path);
        }
        let result = match call {
            Some(Call::PutConfig) => self.put(request).await,
            Some(Call::GetConfig) => self.get(),
            Some(Call::Drain(name)) => self.drain(Order::Drain, name).await,
            Some(Call::Undrain(name)) => self.drain(Order::Undrain, name).await,
            _ => Err(Problem::new(404, "not found", "unknown method or path")),
        };
        result.unwrap_or_else(|problem| problem.respond())
    }
}

/// The document in force, given as `value` too, with this release in it; `None` if it or a
/// later one is in force.
fn next_document(document: &Document, value: &Value, config: &Config) -> Option<Value> {
    let in_force = document.release.as_ref();
    if in_force.is_some_and(|release| release.number >= config.release.number) {
        return None;
    }
    Some(config.document(value))
}

fn redirect(to: SocketAddr, path: &str) -> Response {
    http::Response::builder()
        .status(StatusCode::TEMPORARY_REDIRECT)
        .header("location", format!("http://{to}{path}"))
        .body(Full::default())
        .expect("an address and a path make a valid header")
}

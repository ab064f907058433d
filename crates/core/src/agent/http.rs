//! HTTP API for the agent's upstreams: announcements, leave notices and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::wire::id;
use http::Method;
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use tokio::sync::watch;

use super::upstreams::{Announcement, UpstreamTable};
use crate::clock;
use crate::metrics;
use crate::renew::LeaseState;
use crate::serve::{self, Handler, Problem, Request, Response};

const MAX_BODY_BYTES: usize = 16 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// A result whose error is sent to the upstream.
type Result<T> = std::result::Result<T, Problem>;

/// Handles requests of the agent's upstreams.
#[derive(Debug)]
pub(crate) struct UpstreamApi {
    table: Arc<UpstreamTable>,
    held: watch::Receiver<Arc<LeaseState>>,
    metrics: Arc<metrics::Agent>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Leave {
    service: id::Service,
}

impl UpstreamApi {
    pub(crate) fn new(
        table: Arc<UpstreamTable>,
        held: watch::Receiver<Arc<LeaseState>>,
        metrics: Arc<metrics::Agent>,
    ) -> UpstreamApi {
        UpstreamApi {
            table,
            held,
            metrics,
        }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/announce") => self.announce(request).await.map(no_content),
            (&Method::POST, "/v1/leave") => self.leave(request).await.map(no_content),
            (&Method::GET, "/metrics") => Ok(self.metrics_page()),
            (_, "/v1/announce" | "/v1/leave") => {
                Err(Problem::new(405, "method not allowed", "use POST"))
            }
            _ => Err(Problem::new(404, "not found", &path)),
        }
    }

    fn metrics_page(&self) -> Response {
        let held = self.held.borrow().clone();
        self.metrics.page(&held, held.in_force(clock::now()))
    }

    async fn announce(&self, request: Request) -> Result<()> {
        let announcement: Announcement = read_json(request).await?;
        if announcement.slots == 0 {
            return Err(Problem::bad("slots must be at least 1"));
        }
        if announcement.connections < announcement.slots {
            return Err(Problem::bad("connections must be at least slots"));
        }
        self.table.apply_announcement(announcement, Instant::now());
        Ok(())
    }

    async fn leave(&self, request: Request) -> Result<()> {
        let leave: Leave = read_json(request).await?;
        if self.table.leave(&leave.service) {
            return Ok(());
        }
        let detail = format!(
            "no upstream of service {} has announced itself",
            leave.service
        );
        Err(Problem::new(404, "not found", &detail))
    }
}

impl Handler for UpstreamApi {
    async fn handle(&self, request: Request) -> Response {
        match self.route(request).await {
            Ok(response) => response,
            Err(problem) => problem.respond(),
        }
    }
}

async fn read_json<T: DeserializeOwned>(request: Request) -> Result<T> {
    let body = serve::read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
    serde_json::from_slice(&body).map_err(|error| Problem::bad(&error.to_string()))
}

fn no_content((): ()) -> Response {
    http::Response::builder()
        .status(204)
        .body(Full::new(Bytes::new()))
        .expect("a status alone is a valid response")
}

//! HTTP API for the upstream: heartbeats, leave notices and metrics.

use std::sync::Arc;
use std::time::Duration;

use gentian_platform::heartbeat::Report;
use gentian_platform::path::Call;
use http::Method;

use super::supervisor::Supervisor;
use super::upstream::Update;
use crate::metrics;
use crate::serve::{self, Handler, Problem, Request, Response};

const MAX_BODY_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// A result whose error is sent to the upstream.
type Result<T> = std::result::Result<T, Problem>;

/// Handles requests of the upstream.
#[derive(Debug)]
pub(super) struct UpstreamApi {
    supervisor: Arc<Supervisor>,
    metrics: Arc<metrics::Runs>,
}

impl UpstreamApi {
    pub(super) fn new(supervisor: Arc<Supervisor>, metrics: Arc<metrics::Runs>) -> UpstreamApi {
        UpstreamApi {
            supervisor,
            metrics,
        }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        if (request.method(), path.as_str()) == (&Method::GET, "/metrics") {
            return Ok(self.metrics.page());
        }
        match Call::read(request.method(), &path) {
            Some(Call::Heartbeat(id)) => self.heartbeat(id, request).await,
            Some(Call::Leave(id)) => {
                self.supervisor.handle_leave(id);
                Ok(serve::respond("application/json", "{}".into()))
            }
            _ => Err(Problem::new(404, "not found", "unknown method or path")),
        }
    }

    async fn heartbeat(&self, id: &str, request: Request) -> Result<Response> {
        let body = serve::read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        let report = Report::read(id, &body).map_err(|error| self.reject(id, error))?;
        let service = report.service.clone();
        let born_ms = report.incarnation.born_ms;
        match self.supervisor.handle_report(report) {
            Update::Foreign => {
                let reason = format!(
                    "service {service} is not configured, or the start time {born_ms} is missing or impossible"
                );
                Err(self.reject(id, reason))
            }
            Update::Stale | Update::Same | Update::First | Update::Replaced(_) => {
                Ok(serve::respond("application/json", "{}".into()))
            }
        }
    }

    /// Counts and logs a heartbeat that names no upstream to use.
    fn reject(&self, id: &str, reason: impl std::fmt::Display) -> Problem {
        self.metrics.unreadable();
        log::warn!("upstream {id}: rejected a heartbeat: {reason}");
        Problem::bad(&reason.to_string())
    }
}

impl Handler for UpstreamApi {
    async fn handle(&self, request: Request) -> Response {
        let result = self.route(request).await;
        result.unwrap_or_else(|problem| problem.respond())
    }
}

//! What the upstream beside the agent tells it.

use std::sync::Arc;
use std::time::Duration;

use gentian_platform::heartbeat::Report;
use gentian_platform::path::Call;
use http::Method;

use super::beside::Beside;
use crate::metrics;
use crate::serve::{self, Handler, Problem, Request, Response};

const BODY_BYTES: usize = 4 << 20;
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// A result whose error is told to the upstream.
type Result<T> = std::result::Result<T, Problem>;

/// Answers the upstream.
#[derive(Debug)]
pub(super) struct Local {
    beside: Arc<Beside>,
    metrics: Arc<metrics::Runs>,
}

impl Local {
    pub(super) fn new(beside: Arc<Beside>, metrics: Arc<metrics::Runs>) -> Local {
        Local { beside, metrics }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        if (request.method(), path.as_str()) == (&Method::GET, "/metrics") {
            return Ok(self.metrics.page());
        }
        match Call::read(request.method(), &path) {
            Some(Call::Heartbeat(id)) => self.heartbeat(id, request).await,
            Some(Call::Leave(id)) => {
                self.beside.left(id);
                Ok(serve::respond("application/json", "{}".into()))
            }
            _ => Err(Problem::new(404, "not found", "no such call")),
        }
    }

    async fn heartbeat(&self, id: &str, request: Request) -> Result<Response> {
        let body = serve::read(request.into_body(), BODY_BYTES, BODY_TIMEOUT).await?;
        match Report::read(id, &body) {
            Ok(report) => self.beside.heard(report),
            Err(error) => {
                self.metrics.unreadable();
                log::warn!("upstream {id}: {error}");
                return Err(Problem::bad(&error.to_string()));
            }
        }
        Ok(serve::respond("application/json", "{}".into()))
    }
}

impl Handler for Local {
    async fn handle(&self, request: Request) -> Response {
        let result = self.route(request).await;
        result.unwrap_or_else(|problem| problem.respond())
    }
}

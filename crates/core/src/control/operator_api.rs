//! The HTTP API of a control instance for operators and monitoring.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use gentian::config::ledger::{Answer, Record, Segment};
use gentian::config::patch::{Patch, MAX_PATCH_BYTES};
use gentian::wire::id::Version;
use gentian::wire::outcome::Outcome;
use http::{Method, StatusCode};
use serde_json::{json, Value};

use super::drain;
use super::service::Service;
use super::state::{Error, Leader, ReplicatedLog};
use crate::metrics;
use crate::serve::{self, Handler, Problem, Request, Response};

const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Size of the history records after which a page ends; the last one may exceed it.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// Handles the requests of operators and of monitoring.
#[derive(Debug)]
pub(crate) struct OperatorApi<L> {
    service: Arc<Service<L>>,
    metrics: metrics::Control,
}

impl<L: ReplicatedLog> OperatorApi<L> {
    pub(crate) fn new(service: Service<L>) -> OperatorApi<L> {
        OperatorApi {
            service: Arc::new(service),
            metrics: metrics::Control::new(),
        }
    }

    /// Returns the configuration in force, which only the leader knows for certain.
    fn config(&self) -> Result<Response, Problem> {
        let config = self.service.read(|applied| {
            let ledger = applied.state.ledger();
            json!({
                "version": ledger.version(),
                "digest": ledger.digest(),
                "document": ledger.document(),
            })
        });
        match config {
            Some(config) => Ok(respond(StatusCode::OK, &config)),
            None => Err(self.not_leader()),
        }
    }

    /// Returns a page of the accepted versions. In the response, `more` means that this
    /// instance has later ones, and `complete` that no instance has any others.
    fn history(&self, query: &str) -> Result<Response, Problem> {
        let after = parse_after(query)?;
        let leads = self.service.read(|_| ()).is_some();
        let shared = self.service.shared();
        let applied = shared.read();
        let ledger = applied.state.ledger();
        let in_force = ledger.version();
        let segment = ledger.segment(Version(after.0.saturating_add(1))).cloned();
        let versions = match segment {
            None => ledger.history_page(after, MAX_PAGE_BYTES),
            Some(segment) => {
                drop(applied);
                let records = shared.archive().records(&segment);
                let records = records.ok_or_else(|| missing(&segment))?;
                let later = |record: &Record| record.version > after;
                records.into_iter().filter(later).collect()
            }
        };
        let last = versions.last().map_or(after, |record| record.version);
        let more = last < in_force;
        let history = json!({
            "versions": versions,
            "more": more,
            "complete": leads && !more,
        });
        Ok(respond(StatusCode::OK, &history))
    }

    fn status(&self) -> Response {
        let leader = match self.service.leader() {
            Leader::This { .. } => json!("this instance"),
            Leader::Other(Some(address)) => json!(address),
            Leader::Other(None) => Value::Null,
        };
        let now = self.service.shared().now();
        let applied = self.service.shared().read();
        let window = applied.state.window();
        let status = json!({
            "role": "control",
            "leader": leader,
            "version": applied.state.ledger().version(),
            "digest": applied.state.ledger().digest(),
            "view": window.number(),
            "view_age_ms": applied.view_age(now).as_millis() as u64,
            "oldest_view": window.floor(),
            "members": window.members().values().collect::<Vec<_>>(),
        });
        respond(StatusCode::OK, &status)
    }

    fn metrics(&self) -> Response {
        let leads = matches!(self.service.leader(), Leader::This { .. });
        let applied = self.service.shared().read();
        let window = applied.state.window();
        self.metrics.page(metrics::ControlStatus {
            leads,
            version: applied.state.ledger().version().0,
            view: window.number().0,
            members: window.members().len(),
            drained: drain::drained(&applied).map(BTreeSet::len),
            backlog: self.service.backlog(),
            history_bytes: self.service.shared().archive().bytes(),
        })
    }

    /// An instance is ready if it leads or can name the leader.
    fn ready(&self) -> Result<Response, Problem> {
        match self.service.leader() {
            Leader::This { .. } | Leader::Other(Some(_)) => Ok(serve::text("ready\n")),
            Leader::Other(None) => Err(self.not_leader()),
        }
    }

    async fn patch(&self, request: Request) -> Result<Response, Problem> {
        let limit = 2 * MAX_PATCH_BYTES;
        let body = serve::read_body(request.into_body(), limit, BODY_TIMEOUT).await?;
        let patch: Patch = serde_json::from_slice(&body)
            .map_err(|error| Problem::bad(&format!("the body is not a valid patch: {error}")))?;
        match self.service.patch(patch).await {
            Ok(answer) => {
                self.metrics.patched(&answer);
                Ok(respond(status_code(&answer), &json!(answer)))
            }
            Err(Error::NotLeader) => Err(self.not_leader()),
            Err(error @ (Error::Unknown | Error::Missing)) => {
                let detail = format!("{error}; send the patch again with the same id");
                Err(Problem::new(503, "not known", &detail).outcome(Outcome::Unknown))
            }
        }
    }

    fn not_leader(&self) -> Problem {
        let detail = match self.service.leader() {
            Leader::Other(Some(address)) => format!("the leader is the instance at {address}"),
            Leader::This { .. } | Leader::Other(None) => "no leader is known".to_owned(),
        };
        Problem::busy(&detail)
    }
}

impl<L: ReplicatedLog> Handler for OperatorApi<L> {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        if path.starts_with("/v1/config") {
            self.service.wait_for_confirmation().await;
        }
        let answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/config") => self.config(),
            (&Method::PATCH, "/v1/config") => self.patch(request).await,
            (&Method::GET, "/v1/config/history") => self.history(&query),
            (&Method::GET, "/v1/status") => Ok(self.status()),
            (&Method::GET, "/metrics") => Ok(self.metrics()),
            (&Method::GET, "/live") => Ok(serve::text("live\n")),
            (&Method::GET, "/ready") => self.ready(),
            _ => Err(Problem::new(
                404,
                "not found",
                &format!("{} {path} is not served here", request.method()),
            )),
        };
        answer.unwrap_or_else(|problem| problem.respond())
    }
}

fn status_code(answer: &Answer) -> StatusCode {
    match answer {
        Answer::Accepted { .. } => StatusCode::OK,
        Answer::Conflict { .. } | Answer::Reused => StatusCode::CONFLICT,
        Answer::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn missing(segment: &Segment) -> Problem {
    let (first, last) = (segment.first, segment.last);
    let detail = format!("versions {first} to {last} are not at this instance yet; ask another");
    Problem::busy(&detail)
}

fn parse_after(query: &str) -> Result<Version, Problem> {
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix("after="));
    let version = value.unwrap_or("0").parse();
    version.map_err(|error| Problem::bad(&format!("after: must be a version number: {error}")))
}

fn respond(status: StatusCode, body: &Value) -> Response {
    let mut response = serve::json(body);
    *response.status_mut() = status;
    response
}

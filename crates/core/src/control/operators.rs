//! What control answers to operators and the monitor, over HTTP.

use std::sync::Arc;
use std::time::Duration;

use gentian::config::ledger::{Answer, Ledger, Record};
use gentian::config::patch::{Patch, MAX_PATCH_BYTES};
use gentian::wire::id::Version;
use gentian::wire::outcome::Outcome;
use http::{Method, StatusCode};
use serde_json::{json, Value};

use super::service::Service;
use super::state::{Error, Leader, Log};
use crate::metrics;
use crate::serve::{self, Handler, Problem, Request, Response};

const BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Bytes of history after which a page ends.
const PAGE_BYTES: usize = 256 * 1024;
/// Bytes of a record beside its patch.
const RECORD_BYTES: usize = 256;

/// The operators' side of a control instance.
#[derive(Debug)]
pub(crate) struct Operators<L> {
    service: Arc<Service<L>>,
    metrics: metrics::Control,
}

impl<L: Log> Operators<L> {
    pub(crate) fn new(service: Service<L>) -> Operators<L> {
        Operators {
            service: Arc::new(service),
            metrics: metrics::Control::new(),
        }
    }

    /// The version in force; only the leader can tell which that is.
    fn config(&self) -> Result<Response, Problem> {
        let config = self.service.read(|inner| {
            let ledger = inner.state.ledger();
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

    /// Accepted versions, a page at a time: `more` tells that later ones are on
    /// record here, `complete` that no instance has others.
    fn history(&self, query: &str) -> Result<Response, Problem> {
        let after = parse_after(query)?;
        let leads = self.service.read(|_| ()).is_some();
        let inner = self.service.shared().read();
        let ledger = inner.state.ledger();
        let versions = page(ledger, after);
        let last = versions.last().map_or(after, |record| record.version);
        let more = last < ledger.version();
        let history = json!({
            "versions": versions,
            "more": more,
            "complete": leads && !more,
        });
        Ok(respond(StatusCode::OK, &history))
    }

    fn status(&self) -> Response {
        let leader = match self.service.leader() {
            Leader::Own { .. } => json!("this instance"),
            Leader::Other(Some(address)) => json!(address),
            Leader::Other(None) => Value::Null,
        };
        let now = self.service.shared().now();
        let inner = self.service.shared().read();
        let window = inner.state.window();
        let status = json!({
            "role": "control",
            "leader": leader,
            "version": inner.state.ledger().version(),
            "digest": inner.state.ledger().digest(),
            "view": window.number(),
            "view_age_ms": inner.view_age(now).as_millis() as u64,
            "oldest_view": window.floor(),
            "members": window.members().values().collect::<Vec<_>>(),
        });
        respond(StatusCode::OK, &status)
    }

    fn page(&self) -> Response {
        let leads = matches!(self.service.leader(), Leader::Own { .. });
        let inner = self.service.shared().read();
        let window = inner.state.window();
        self.metrics.page(metrics::ControlStatus {
            leads,
            version: inner.state.ledger().version().0,
            view: window.number().0,
            members: window.members().len(),
        })
    }

    /// An instance that neither leads nor knows who does can't help anyone.
    fn ready(&self) -> Result<Response, Problem> {
        match self.service.leader() {
            Leader::Own { .. } | Leader::Other(Some(_)) => Ok(serve::text("ready\n")),
            Leader::Other(None) => Err(self.not_leader()),
        }
    }

    async fn patch(&self, request: Request) -> Result<Response, Problem> {
        let limit = 2 * MAX_PATCH_BYTES;
        let body = serve::read_body(request.into_body(), limit, BODY_TIMEOUT).await?;
        let patch: Patch = serde_json::from_slice(&body)
            .map_err(|error| Problem::bad(&format!("the patch is unreadable: {error}")))?;
        match self.service.patch(patch).await {
            Ok(answer) => {
                self.metrics.patched(&answer);
                Ok(respond(status(&answer), &json!(answer)))
            }
            Err(Error::NotLeader) => Err(self.not_leader()),
            Err(error @ Error::Unknown) => {
                let detail = format!("{error}; send the patch again with the same id");
                Err(Problem::new(503, "not known", &detail).outcome(Outcome::Unknown))
            }
        }
    }

    fn not_leader(&self) -> Problem {
        let detail = match self.service.leader() {
            Leader::Other(Some(address)) => format!("the leader is the instance at {address}"),
            Leader::Own { .. } | Leader::Other(None) => "no leader is known".to_owned(),
        };
        Problem::busy(&detail)
    }
}

impl<L: Log> Handler for Operators<L> {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let answer = match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/config") => self.config(),
            (&Method::PATCH, "/v1/config") => self.patch(request).await,
            (&Method::GET, "/v1/config/history") => self.history(&query),
            (&Method::GET, "/v1/status") => Ok(self.status()),
            (&Method::GET, "/metrics") => Ok(self.page()),
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

fn status(answer: &Answer) -> StatusCode {
    match answer {
        Answer::Accepted { .. } => StatusCode::OK,
        Answer::Conflict { .. } | Answer::Reused => StatusCode::CONFLICT,
        Answer::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
    }
}

/// The versions after the given one that fit a page, and at least one.
fn page(ledger: &Ledger, after: Version) -> Vec<Record> {
    let mut bytes = 0;
    let fits = |record: &Record| {
        let fits = bytes < PAGE_BYTES;
        bytes += RECORD_BYTES + record.merge.to_string().len();
        fits
    };
    ledger.history(after).take_while(fits).collect()
}

fn parse_after(query: &str) -> Result<Version, Problem> {
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix("after="));
    let version = value.unwrap_or("0").parse();
    version.map_err(|error| Problem::bad(&format!("after: {error}")))
}

fn respond(status: StatusCode, body: &Value) -> Response {
    let mut response = serve::json(body);
    *response.status_mut() = status;
    response
}

//! The HTTP API for releases: complete configurations, numbered by an operator.
//!
//! A release replaces any with a lower number. If it or a later one is already in
//! force, it is acknowledged without effect. It is applied as a patch to the version
//! in force, so it appears in the history like any other change. Only the leader
//! handles these requests; other instances redirect to it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gentian::config::ledger::Answer;
use gentian::config::patch::{Id, Patch, MAX_PATCH_BYTES};
use gentian_platform::operator::Config;
use gentian_platform::path::Call;
use http::StatusCode;
use http_body_util::Full;
use uuid::Uuid;

use super::service::Service;
use super::state::{Error, Leader, ReplicatedLog};
use crate::serve::{self, Handler, Problem, Request, Response};
use crate::settings::Dialect;

const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const AUTHOR: &str = "operator";

/// Maximum number of attempts to apply a release when other changes replace the version
/// that it is based on.
const MAX_ATTEMPTS: usize = 16;

/// The result of a request, whose error is sent as the response.
type Result<T> = std::result::Result<T, Problem>;

/// Handles releases if the dialect has them, and passes other requests to `next`.
#[derive(Debug)]
pub(crate) struct ReleaseApi<L, H> {
    service: Service<L>,
    dialect: Dialect,
    /// HTTP port, which is the same on every control instance.
    port: u16,
    next: H,
}

impl<L: ReplicatedLog, H: Handler> ReleaseApi<L, H> {
    pub(crate) fn new(service: Service<L>, dialect: Dialect, port: u16, next: H) -> Self {
        ReleaseApi {
            service,
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
        for _ in 0..MAX_ATTEMPTS {
            match self.try_put(&config).await? {
                Some(Answer::Conflict { .. }) => {}
                Some(Answer::Invalid { problems }) => {
                    log::info!("release {} refused: {problems:?}", config.release.number);
                    return Err(Problem::bad(&format!("{problems:?}")));
                }
                Some(Answer::Accepted { version, .. }) => {
                    let number = config.release.number;
                    log::info!("release {number} accepted as version {version}");
                    return Ok(serve::text("accepted\n"));
                }
                Some(Answer::Reused) => {
                    return Err(Problem::busy("the generated patch id is already in use"))
                }
                None => return Ok(serve::text("in force\n")),
            }
        }
        Err(Problem::busy(&format!(
            "other changes were accepted first in each of {MAX_ATTEMPTS} attempts"
        )))
    }

    /// Proposes the release. Returns `None` if it or a later one is in force.
    async fn try_put(&self, config: &Config) -> Result<Option<Answer>> {
        let patch = self.service.read(|applied| {
            let ledger = applied.state.ledger();
            let known = applied.document.as_ref().and_then(|d| d.release.as_ref());
            if known.is_some_and(|release| release.number >= config.release.number) {
                return None;
            }
            let (from, to) = (ledger.document(), config.document(ledger.document()));
            let id = Id(Uuid::new_v4());
            Some(Patch::between(id, ledger.version(), AUTHOR, from, &to))
        });
        let Some(patch) = patch.ok_or_else(|| self.not_leader())? else {
            return Ok(None);
        };
        match self.service.patch(patch).await {
            Ok(answer) => Ok(Some(answer)),
            Err(Error::NotLeader) => Err(self.not_leader()),
            Err(error @ Error::Unknown) => {
                log::warn!(
                    "release {} is not confirmed: {error}",
                    config.release.number
                );
                Err(Problem::new(503, "not known", &error.to_string()))
            }
        }
    }

    fn get(&self) -> Result<Response> {
        let release = self.service.read(|applied| {
            let document = applied.document.as_ref();
            document.and_then(|document| document.release.clone())
        });
        match release.ok_or_else(|| self.not_leader())? {
            Some(release) => Ok(serve::respond(
                "application/json",
                Bytes::from(release.body),
            )),
            None => Err(Problem::busy("no release has been accepted yet")),
        }
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
            _ => Err(Problem::new(404, "not found", "unknown method or path")),
        };
        result.unwrap_or_else(|problem| problem.respond())
    }
}

fn redirect(to: SocketAddr, path: &str) -> Response {
    http::Response::builder()
        .status(StatusCode::TEMPORARY_REDIRECT)
        .header("location", format!("http://{to}{path}"))
        .body(Full::default())
        .expect("an address and a path make a valid header")
}

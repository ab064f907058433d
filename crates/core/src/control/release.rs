//! Whole configurations, which an operator numbers by itself.
//!
//! A release takes the place of those with a lower number and is acknowledged
//! again, without effect, where it or a later one is in force. It becomes a
//! patch on the version in force, so it has its place in the history like any
//! other change. Only the leader answers; the others name it.

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
use super::state::{Error, Leader, Log};
use crate::serve::{self, Handler, Problem, Request, Response};
use crate::settings::Dialect;

const BODY_TIMEOUT: Duration = Duration::from_secs(5);
const AUTHOR: &str = "operator";

/// Tries to get a release in before other changes of the same version.
const TRIES: usize = 16;

/// A result whose error is told to the operator.
type Result<T> = std::result::Result<T, Problem>;

/// Answers for whole configurations and hands everything else on.
#[derive(Debug)]
pub(crate) struct Releases<L, H> {
    service: Service<L>,
    dialect: Dialect,
    /// Port on which every control instance answers operators.
    port: u16,
    next: H,
}

impl<L: Log, H: Handler> Releases<L, H> {
    pub(crate) fn new(service: Service<L>, dialect: Dialect, port: u16, next: H) -> Self {
        Releases {
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
        for _ in 0..TRIES {
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
                Some(Answer::Reused) => return Err(Problem::busy("a patch id was drawn twice")),
                None => return Ok(serve::text("in force\n")),
            }
        }
        Err(Problem::busy("other changes came first, again and again"))
    }

    /// Proposes the release, unless it or a later one is in force.
    async fn try_put(&self, config: &Config) -> Result<Option<Answer>> {
        let patch = self.service.read(|inner| {
            let ledger = inner.state.ledger();
            let known = inner.document.as_ref().and_then(|d| d.release.as_ref());
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
                log::warn!("release {}: {error}", config.release.number);
                Err(Problem::new(503, "not known", &error.to_string()))
            }
        }
    }

    fn get(&self) -> Result<Response> {
        let release = self.service.read(|inner| {
            let document = inner.document.as_ref();
            document.and_then(|document| document.release.clone())
        });
        match release.ok_or_else(|| self.not_leader())? {
            Some(release) => Ok(serve::respond(
                "application/json",
                Bytes::from(release.body),
            )),
            None => Err(Problem::busy("there is no configuration yet")),
        }
    }

    fn not_leader(&self) -> Problem {
        Problem::busy("this control instance does not lead")
    }

    /// Where the leader answers operators, if another instance leads.
    fn elsewhere(&self) -> Option<SocketAddr> {
        match self.service.leader() {
            Leader::Other(Some(leader)) => Some(SocketAddr::new(leader.ip(), self.port)),
            Leader::Own { .. } | Leader::Other(None) => None,
        }
    }
}

impl<L: Log, H: Handler> Handler for Releases<L, H> {
    async fn handle(&self, request: Request) -> Response {
        let path = request.uri().path().to_owned();
        let call = Call::read(request.method(), &path);
        if self.dialect != Dialect::Platform || call.is_none() {
            return self.next.handle(request).await;
        }
        if let Some(leader) = self.elsewhere() {
            return redirect(leader, &path);
        }
        let result = match call {
            Some(Call::PutConfig) => self.put(request).await,
            Some(Call::GetConfig) => self.get(),
            _ => Err(Problem::new(404, "not found", "no such call")),
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

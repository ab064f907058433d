//! Jobs of many tasks: `POST /v1/jobs`, and `GET` and `DELETE` of
//! `/v1/jobs/KEY`.
//!
//! A job goes on when its caller hangs up, so that the caller may come back to
//! this entry or another with the same key. One task of the runtime drives each
//! job; it starts at most once here at a time, and whoever submits its key
//! meanwhile gets the same answer.

mod answer;
mod driver;
mod known;
mod registry;
mod send;
mod submission;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::wire::id::Job;
use gentian::wire::outcome::Outcome;
use http::Method;
use tokio::sync::watch;

use super::agent_client::AgentClients;
use super::dispatch::Handle;
use super::meter::Meter;
use crate::client::Client;
use crate::renew::Held;
use crate::serve::{self, Problem, Request, Response};
use crate::settings::Entry;

use answer::Document;
use driver::Driver;
use known::Known;
use registry::{Registry, Running};
use submission::Submission;

const PATH: &str = "/v1/jobs";
/// Time for the driver's answer at the deadline to reach its callers.
const SLACK: Duration = Duration::from_millis(100);
/// Time for which a `GET` of an earlier coordinator waits for its answer.
const FOLLOW_HOLD: Duration = Duration::from_millis(1000);
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A result whose error is told to the caller.
type Result<T> = std::result::Result<T, Problem>;

/// What a job's driver needs of its entry.
#[derive(Clone, Debug)]
struct Context {
    dispatcher: Handle,
    clients: AgentClients,
    client: Client,
    meter: Arc<Meter>,
    known: Arc<Known>,
    address: SocketAddr,
}

/// The jobs of one entry.
#[derive(Debug)]
pub(crate) struct Jobs {
    context: Context,
    registry: Arc<Registry>,
    max_body: usize,
    body_timeout: Duration,
    default_deadline: Duration,
}

impl Jobs {
    /// The jobs of the entry that other entries reach at `address`.
    pub(crate) fn new(
        dispatcher: Handle,
        clients: AgentClients,
        meter: Arc<Meter>,
        address: SocketAddr,
        held: watch::Receiver<Arc<Held>>,
        section: &Entry,
    ) -> Jobs {
        let known = Arc::new(Known::default());
        tokio::spawn(known::follow(known.clone(), held));
        Jobs {
            context: Context {
                dispatcher,
                clients,
                client: Client::new(),
                meter,
                known,
                address,
            },
            registry: Arc::default(),
            max_body: section.max_body.as_usize(),
            body_timeout: section.body_timeout,
            default_deadline: section.default_deadline,
        }
    }

    /// Whether a path is answered here.
    pub(crate) fn serves(path: &str) -> bool {
        let rest = path.strip_prefix(PATH);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Answers a request whose path is served here.
    pub(crate) async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        let key = path.strip_prefix(PATH).unwrap_or_default();
        match (request.method(), key.strip_prefix('/')) {
            (&Method::POST, None) => self.post(request).await,
            (&Method::GET, Some(key)) => self.get(key, request.uri().query()).await,
            (&Method::DELETE, Some(key)) => self.delete(key).await,
            (_, None) => Err(Problem::new(405, "method not allowed", "use POST")),
            (_, Some(_)) => Err(Problem::new(405, "method not allowed", "use GET or DELETE")),
        }
    }

    async fn post(&self, request: Request) -> Result<Response> {
        let arrived = Instant::now();
        let meter = &self.context.meter;
        let _in_progress = meter.begin();
        let submission = self.read(request, arrived).await;
        let submission = submission.inspect_err(|_| meter.malformed())?;
        let (service, team) = (submission.service.clone(), submission.team.clone());
        let result = self.answer(submission).await;
        let outcome = result.as_ref().map_or_else(Problem::told, |d| d.outcome);
        meter.answered(&service, &team, outcome, arrived.elapsed());
        result.map(|document| document.respond())
    }

    async fn read(&self, request: Request, arrived: Instant) -> Result<Submission> {
        serve::require_length(request.headers())?;
        let body = serve::read(request.into_body(), self.max_body, self.body_timeout).await?;
        Submission::read(&body, arrived, self.default_deadline)
    }

    async fn answer(&self, submission: Submission) -> Result<Document> {
        let deadline = submission.deadline + SLACK;
        let running = self.join(submission)?;
        let answer = tokio::time::timeout_at(deadline.into(), running.answer()).await;
        // The attempt may be another caller's, with a later deadline.
        answer.unwrap_or(None).ok_or_else(late)
    }

    async fn get(&self, key: &str, query: Option<&str>) -> Result<Response> {
        let running = self.find(key)?;
        let follows = query.and_then(|query| query.strip_prefix("coordinator="));
        if let Some(coordinator) = follows {
            // One that has failed is taken over from, not followed.
            if coordinator != format!("{:x}", running.coordinator) || !running.is_shared() {
                return Err(missing(key));
            }
            // Only the waiting ends; it shows that this entry lives.
            let _ = tokio::time::timeout(FOLLOW_HOLD, running.answer()).await;
        }
        match running.peek() {
            Some(document) => Ok(document.respond()),
            None => Err(Problem::new(
                202,
                "in progress",
                "the job has no answer yet",
            )),
        }
    }

    async fn delete(&self, key: &str) -> Result<Response> {
        let running = self.find(key)?;
        running.cancel();
        let answer = running.answer().await;
        answer.map_or_else(|| Err(late()), |document| Ok(document.respond()))
    }

    fn find(&self, key: &str) -> Result<Running> {
        let job: Job = key
            .parse()
            .map_err(|error| Problem::bad(&format!("{error}")))?;
        self.registry.get(job).ok_or_else(|| missing(key))
    }

    /// The job's attempt in progress, or its complete answer, or a new attempt.
    fn join(&self, submission: Submission) -> Result<Running> {
        let context = &self.context;
        let job = submission.job;
        self.registry.join(job, |running| {
            let driver = Driver::new(context.clone(), submission, running)?;
            let registry = self.registry.clone();
            tokio::spawn(async move {
                driver.run().await;
                registry.trim();
            });
            Ok(())
        })
    }
}

fn missing(key: &str) -> Problem {
    let detail = format!("job {key} is not known to this entry");
    Problem::new(404, "not found", &detail)
}

fn late() -> Problem {
    let detail = "the job's coordinator gave no answer in time";
    Problem::new(504, "unknown", detail).outcome(Outcome::Unknown)
}

/// Nothing of the submission was sent; it may come again as it is.
fn not_run(detail: &str) -> Problem {
    Problem::new(503, "not run", detail)
        .outcome(Outcome::NotRun)
        .retry_after(RETRY_AFTER)
}

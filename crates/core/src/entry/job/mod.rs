//! Jobs of many tasks: `POST /v1/jobs`, and `GET` and `DELETE` of
//! `/v1/jobs/KEY`.
//!
//! Each attempt at a job has a [`Coordinator`](gentian::claim::coordinator::Coordinator),
//! the state machine by which no task runs more than once, whichever entries attempt
//! the job. A field `coordinator` holds the id of an attempt.
//!
//! A job continues when its caller disconnects, so that the caller can submit the
//! same key again, to this entry or to another. One Tokio task drives each attempt
//! at a job. An entry makes at most one attempt at a job at a time; callers that
//! submit its key meanwhile get the answer of that attempt.

mod answer;
mod driver;
mod placement;
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
use crate::renew::LeaseState;
use crate::serve::{self, Problem, Request, Response};
use crate::settings::Entry;

use answer::JobResponse;
use driver::Driver;
use placement::Placement;
use registry::{Attempt, Registry};
use submission::Submission;

const PATH: &str = "/v1/jobs";
/// How long after the job's deadline its callers wait for the driver's answer.
const ANSWER_SLACK: Duration = Duration::from_millis(100);
/// How long a `GET` by another entry, which follows an attempt made here, waits for the
/// answer before it gets 202.
const FOLLOW_WAIT: Duration = Duration::from_millis(1000);
/// Retry delay for callers whose job was not run.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A result whose error is the caller's response.
type Result<T> = std::result::Result<T, Problem>;

/// The parts of the entry that the jobs' drivers share.
#[derive(Clone, Debug)]
struct Context {
    dispatcher: Handle,
    clients: AgentClients,
    client: Client,
    meter: Arc<Meter>,
    placement: Arc<Placement>,
    /// Where other entries reach this one.
    address: SocketAddr,
}

/// Handles job requests at one entry.
#[derive(Debug)]
pub(crate) struct Jobs {
    context: Context,
    registry: Arc<Registry>,
    max_body: usize,
    body_timeout: Duration,
    default_deadline: Duration,
}

impl Jobs {
    /// `address` is where other entries reach this one.
    pub(crate) fn new(
        dispatcher: Handle,
        clients: AgentClients,
        meter: Arc<Meter>,
        address: SocketAddr,
        held: watch::Receiver<Arc<LeaseState>>,
        section: &Entry,
    ) -> Jobs {
        let placement = Arc::new(Placement::default());
        tokio::spawn(placement::follow_lease(placement.clone(), held));
        Jobs {
            context: Context {
                dispatcher,
                clients,
                client: Client::new(),
                meter,
                placement,
                address,
            },
            registry: Arc::default(),
            max_body: section.max_body.as_usize(),
            body_timeout: section.body_timeout,
            default_deadline: section.default_deadline,
        }
    }

    /// Whether [`route`](Self::route) handles a path.
    pub(crate) fn serves(path: &str) -> bool {
        let rest = path.strip_prefix(PATH);
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// Handles a request for a path that [`serves`](Self::serves) accepts.
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
        let outcome = result
            .as_ref()
            .map_or_else(Problem::outcome_or_not_run, |response| response.outcome);
        meter.answered(&service, &team, outcome, arrived.elapsed());
        result.map(|response| response.to_http())
    }

    async fn read(&self, request: Request, arrived: Instant) -> Result<Submission> {
        serve::require_length(request.headers())?;
        let body = serve::read_body(request.into_body(), self.max_body, self.body_timeout).await?;
        Submission::read(&body, arrived, self.default_deadline)
    }

    async fn answer(&self, submission: Submission) -> Result<JobResponse> {
        let deadline = submission.deadline + ANSWER_SLACK;
        let attempt = self.join_or_start(submission)?;
        let answer = tokio::time::timeout_at(deadline.into(), attempt.answer()).await;
        // The attempt may belong to another caller with a later deadline.
        answer.unwrap_or(None).ok_or_else(no_answer)
    }

    async fn get(&self, key: &str, query: Option<&str>) -> Result<Response> {
        let attempt = self.find(key)?;
        let followed = query.and_then(|query| query.strip_prefix("coordinator="));
        if let Some(coordinator) = followed {
            // The request comes from an entry that follows an attempt made here. If that
            // attempt has failed or was replaced, the other entry has to take the job
            // over.
            if coordinator != format!("{:x}", attempt.coordinator) || !attempt.is_joinable() {
                return Err(job_not_found(key));
            }
            // A timeout is answered with 202 below, which shows that this entry is
            // alive.
            let _ = tokio::time::timeout(FOLLOW_WAIT, attempt.answer()).await;
        }
        match attempt.current_answer() {
            Some(response) => Ok(response.to_http()),
            None => Err(Problem::new(
                202,
                "in progress",
                "the job has not ended yet",
            )),
        }
    }

    async fn delete(&self, key: &str) -> Result<Response> {
        let attempt = self.find(key)?;
        attempt.cancel();
        let answer = attempt.answer().await;
        answer.map_or_else(|| Err(no_answer()), |response| Ok(response.to_http()))
    }

    fn find(&self, key: &str) -> Result<Attempt> {
        let job: Job = key
            .parse()
            .map_err(|error| Problem::bad(&format!("{error}")))?;
        self.registry.get(job).ok_or_else(|| job_not_found(key))
    }

    /// Joins the attempt in progress or the one that completed the job, or starts a
    /// new attempt.
    fn join_or_start(&self, submission: Submission) -> Result<Attempt> {
        let context = &self.context;
        let job = submission.job;
        self.registry.join_or_start(job, |channels| {
            let driver = Driver::new(context.clone(), submission, channels)?;
            let registry = self.registry.clone();
            tokio::spawn(async move {
                driver.run().await;
                registry.evict_answered();
            });
            Ok(())
        })
    }
}

fn job_not_found(key: &str) -> Problem {
    let detail = format!("this entry has no job with key {key}");
    Problem::new(404, "not found", &detail)
}

fn no_answer() -> Problem {
    let detail = "the job's coordinator did not answer in time";
    Problem::new(504, "unknown", detail).outcome(Outcome::Unknown)
}

/// The response to a submission for which no message was sent, so that the caller can
/// submit it again unchanged.
fn not_run(detail: &str) -> Problem {
    Problem::new(503, "not run", detail)
        .outcome(Outcome::NotRun)
        .retry_after(RETRY_AFTER)
}

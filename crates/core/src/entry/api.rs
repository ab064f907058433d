//! HTTP API of an entry for callers.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use gentian::wire::agent::{StartReply, StartRequest};
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use gentian::wire::size;
use http::{HeaderMap, Method};
use http_body_util::Full;

use super::agent_client::AgentClients;
use super::dispatch::{Handle, Place, PlaceRequest, Refusal, Report, Verdict};
use super::job::Jobs;
use super::meter::Meter;
use crate::serve::{self, Handler, Problem, Request, Response};
use crate::settings::Entry;

const MAX_DEADLINE: Duration = Duration::from_secs(300);
/// Most times that a single request is sent to an agent.
const MAX_ATTEMPTS: usize = 4;
/// Retry delay for callers whose request no upstream ran.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A result whose error is the caller's response.
type Result<T> = std::result::Result<T, Problem>;

/// Handles callers' requests.
#[derive(Debug)]
pub(crate) struct Api {
    dispatcher: Handle,
    clients: AgentClients,
    meter: Arc<Meter>,
    jobs: Jobs,
    max_body: size::Bytes,
    body_timeout: Duration,
    default_deadline: Duration,
}

/// A single request whose headers have been checked.
#[derive(Debug)]
struct SingleRequest {
    service: id::Service,
    team: id::Team,
    deadline: Instant,
    idempotent: bool,
    path: String,
    content_type: String,
    body: Bytes,
}

impl Api {
    pub(crate) fn new(
        dispatcher: Handle,
        clients: AgentClients,
        meter: Arc<Meter>,
        jobs: Jobs,
        section: &Entry,
    ) -> Api {
        Api {
            dispatcher,
            clients,
            meter,
            jobs,
            max_body: section.max_body,
            body_timeout: section.body_timeout,
            default_deadline: section.default_deadline,
        }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        if Jobs::serves(&path) {
            return self.jobs.route(request).await;
        }
        match (request.method(), path.as_str()) {
            (&Method::POST, "/v1/requests") => self.single(request).await,
            (_, "/v1/requests") => Err(Problem::new(405, "method not allowed", "use POST")),
            (&Method::GET, path) => self.meter.page(path).ok_or_else(|| path_not_found(path)),
            (_, path) => Err(path_not_found(path)),
        }
    }

    async fn single(&self, request: Request) -> Result<Response> {
        let arrived = Instant::now();
        let _in_progress = self.meter.begin();
        let single = self.read(request, arrived).await;
        let single = single.inspect_err(|_| self.meter.malformed())?;
        let (service, team) = (single.service.clone(), single.team.clone());
        let (dispatcher, clients) = (self.dispatcher.clone(), self.clients.clone());
        let meter = self.meter.clone();
        // Spawned so that the report that frees the place is sent even if the caller
        // disconnects.
        let running = tokio::spawn(async move {
            let result = send_with_retries(&dispatcher, &clients, &meter, single).await;
            let outcome = result
                .as_ref()
                .map_or_else(Problem::outcome_or_not_run, |_| Outcome::Done);
            meter.answered(&service, &team, outcome, arrived.elapsed());
            result
        });
        running.await.unwrap_or_else(|_| Err(no_answer()))
    }

    async fn read(&self, request: Request, arrived: Instant) -> Result<SingleRequest> {
        let (head, body) = request.into_parts();
        serve::require_length(&head.headers)?;
        let mut single = SingleRequest::read(&head.headers, arrived, self.default_deadline)?;
        single.body = serve::read_body(body, self.max_body.as_usize(), self.body_timeout).await?;
        Ok(single)
    }
}

impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        match self.route(request).await {
            Ok(response) => response,
            Err(problem) => problem.respond(),
        }
    }
}

impl SingleRequest {
    fn read(headers: &HeaderMap, arrived: Instant, default: Duration) -> Result<SingleRequest> {
        let deadline = match optional(headers, "x-deadline")? {
            Some(text) => duration("x-deadline", text)?,
            None => default,
        };
        Ok(SingleRequest {
            service: required(headers, "x-service")?,
            team: required(headers, "x-team")?,
            deadline: arrived + deadline,
            idempotent: flag(headers, "x-idempotent")?,
            path: optional(headers, "x-path")?.unwrap_or("/").to_owned(),
            content_type: optional(headers, "content-type")?
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: Bytes::new(),
        })
    }

    fn place_request(&self) -> PlaceRequest {
        PlaceRequest {
            service: self.service.clone(),
            team: self.team.clone(),
            job: None,
            deadline: self.deadline,
            candidates: Vec::new(),
            tried_agents: Vec::new(),
            retry_of: None,
        }
    }

    fn start_request(&self, key: id::Job, place: &Place, time_left: Duration) -> StartRequest {
        StartRequest {
            task: Some(key.task(0).into()),
            ballot: None,
            view: place.view.0,
            service: self.service.to_string(),
            time_left_ms: u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX),
            path: self.path.clone(),
            content_type: self.content_type.clone(),
            body: self.body.clone(),
        }
    }
}

/// Sends a request to agents until it is answered or may not be retried.
async fn send_with_retries(
    dispatcher: &Handle,
    clients: &AgentClients,
    meter: &Meter,
    single: SingleRequest,
) -> Result<Response> {
    let mut request = single.place_request();
    loop {
        let place = match dispatcher.place(request.clone()).await {
            Verdict::Start(place) => place,
            Verdict::Refuse(refusal) => return Err(refused(&refusal, request.retry_of)),
        };
        let time_left = single.deadline.saturating_duration_since(Instant::now());
        let message = single.start_request(fresh_key(), &place, time_left);
        let reply = clients.start(&place.address, message, time_left).await;
        let outcome = Outcome::from(reply.outcome());
        meter.exchange(outcome, Instant::now() <= single.deadline);
        dispatcher.report(report(&place, &single, &reply));
        let last_attempt = request.tried_agents.len() + 1 >= MAX_ATTEMPTS;
        if last_attempt || !outcome.may_retry(single.idempotent) {
            return answer(combined(outcome, request.retry_of), reply);
        }
        request.tried_agents.push(place.agent);
        request.retry_of = Some(combined(outcome, request.retry_of));
    }
}

/// The outcome of all attempts together. If an earlier attempt may have run, the outcome
/// stays unknown even though the last attempt did not run.
fn combined(last: Outcome, before: Option<Outcome>) -> Outcome {
    match (last, before) {
        (Outcome::NotRun, Some(Outcome::Unknown)) => Outcome::Unknown,
        _ => last,
    }
}

fn report(place: &Place, single: &SingleRequest, reply: &StartReply) -> Report {
    let ran = reply.run_us > 0;
    Report {
        place: place.clone(),
        service: single.service.clone(),
        outcome: reply.outcome().into(),
        reason: reply.reason(),
        load: reply.load,
        run: ran.then(|| Duration::from_micros(u64::from(reply.run_us))),
    }
}

fn answer(outcome: Outcome, reply: StartReply) -> Result<Response> {
    match outcome {
        Outcome::Done => Ok(done(reply)),
        Outcome::Failed => {
            Err(Problem::new(502, "failed", "the task ran and failed").outcome(Outcome::Failed))
        }
        Outcome::NotRun => Err(Problem::new(503, "not run", "no upstream took the task")
            .outcome(Outcome::NotRun)
            .retry_after(RETRY_AFTER)),
        Outcome::Unknown => Err(no_answer()),
    }
}

/// Turns the upstream's answer into a response. The status and content type come from
/// the upstream and may be invalid.
fn done(reply: StartReply) -> Response {
    let status = u16::try_from(reply.status).unwrap_or(502);
    http::Response::builder()
        .status(status)
        .header("content-type", reply.content_type)
        .header("x-outcome", Outcome::Done.to_string())
        .body(Full::new(reply.body))
        .unwrap_or_else(|_| text(502, "the upstream's answer is no HTTP answer\n"))
}

fn path_not_found(path: &str) -> Problem {
    Problem::new(404, "not found", path)
}

fn no_answer() -> Problem {
    let detail = "the task was sent, but no answer arrived in time";
    Problem::new(504, "unknown", detail).outcome(Outcome::Unknown)
}

/// The response to a request that the dispatcher refused. If an earlier attempt may
/// have run, the outcome is unknown.
fn refused(refusal: &Refusal, before: Option<Outcome>) -> Problem {
    if before == Some(Outcome::Unknown) {
        return no_answer();
    }
    let detail = refusal.reason.to_string();
    let problem = Problem::new(503, "not run", &detail).outcome(Outcome::NotRun);
    match refusal.retry_after {
        Some(after) => problem.retry_after(after),
        None => problem,
    }
}

/// A new key for one attempt, so that agents don't take a retry for a duplicate.
fn fresh_key() -> id::Job {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    id::Job::new(wall.unwrap_or_default(), rand::random())
}

/// Parses a required header.
fn required<T: std::str::FromStr<Err = id::Error>>(headers: &HeaderMap, field: &str) -> Result<T> {
    let text = optional(headers, field)?;
    let text = text.ok_or_else(|| Problem::bad(&format!("header {field} is missing")))?;
    text.parse()
        .map_err(|error| Problem::bad(&format!("header {field}: {error}")))
}

fn flag(headers: &HeaderMap, field: &str) -> Result<bool> {
    match optional(headers, field)? {
        None | Some("false") => Ok(false),
        Some("true") => Ok(true),
        Some(other) => {
            let detail = format!("header {field} is {other:?}; true and false are allowed");
            Err(Problem::bad(&detail))
        }
    }
}

fn duration(field: &str, text: &str) -> Result<Duration> {
    let read = humantime::parse_duration(text).ok();
    let allowed = |time: &Duration| !time.is_zero() && *time <= MAX_DEADLINE;
    read.filter(allowed).ok_or_else(|| {
        let detail = format!("header {field} is {text:?}; 1ms to 5m is allowed, such as 800ms");
        Problem::bad(&detail)
    })
}

fn optional<'h>(headers: &'h HeaderMap, field: &str) -> Result<Option<&'h str>> {
    let Some(value) = headers.get(field) else {
        return Ok(None);
    };
    let text = value.to_str();
    text.map(Some).map_err(|_| {
        Problem::bad(&format!(
            "header {field} contains characters other than visible ASCII"
        ))
    })
}

fn text(status: u16, body: &'static str) -> Response {
    let body = Full::new(Bytes::from_static(body.as_bytes()));
    let mut response = http::Response::new(body);
    *response.status_mut() = http::StatusCode::from_u16(status).unwrap_or_default();
    response
}

//! Sends requests and jobs and classifies their answers.

use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian_wire::outcome::Outcome;
use http::{header, Request};
use http_body_util::Full;
use serde::Serialize;
use strum::{Display, EnumCount, EnumIter};

use super::arrivals::Arrival;
use super::job::JobRequest;
use super::Plan;
use crate::client::{self, Client};

/// Time to wait for an answer after the deadline, to count it as late.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Outcome of a request as its caller sees it.
#[derive(
    Clone,
    Copy,
    Debug,
    Display,
    EnumCount,
    EnumIter,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(super) enum CallerOutcome {
    /// The correct answer arrived before the deadline.
    Done,
    /// The correct answer arrived after the deadline.
    Late,
    /// The answer belongs to another request or is incomplete.
    Wrong,
    /// The answer says that the request ran and failed.
    Failed,
    /// The answer says that the request did not run.
    NotRun,
    /// The answer says that the outcome is unknown.
    Unknown,
    /// The request was rejected with a client error, or the response has no outcome.
    Refused,
    /// The connection broke or no answer arrived before the timeout.
    NoAnswer,
    /// The connection could not be opened.
    NoConnection,
}

/// Result of one request or job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) arrival: Arrival,
    pub(super) outcome: CallerOutcome,
    /// Latency if the tasks started at once, without network time.
    pub(super) ideal_latency: Duration,
    /// Time from the scheduled start to the answer.
    pub(super) latency: Duration,
}

/// Sends requests and reports samples. Clones share a connection pool.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    plan: Arc<Plan>,
    client: Client,
    samples: mpsc::Sender<Sample>,
}

/// Body of a single request, which the answer must repeat.
#[derive(Serialize)]
struct Body {
    run_ms: u64,
    seed: u64,
    number: u64,
    padding: String,
}

impl Sender {
    pub(super) fn new(plan: Arc<Plan>, samples: mpsc::Sender<Sample>) -> Sender {
        let client = Client::new();
        Sender {
            plan,
            client,
            samples,
        }
    }

    /// Sends one request or job and reports its sample.
    pub(super) async fn send(self, arrival: Arrival, scheduled: Instant) {
        match self.plan.tasks() {
            0 => self.send_request(arrival, scheduled).await,
            _ => self.send_job(arrival, scheduled).await,
        }
    }

    async fn send_request(self, arrival: Arrival, scheduled: Instant) {
        let body = self.body(arrival);
        let request = self.request(arrival, body.clone());
        let (answer, latency) = self.send_and_time(request, scheduled).await;
        let outcome = self.classify(answer, latency, |answer| *answer == body);
        self.report(arrival, outcome, arrival.run_time, latency);
    }

    async fn send_job(self, arrival: Arrival, scheduled: Instant) {
        let job = JobRequest::new(&self.plan, arrival);
        let request = self.job_request(arrival, &job);
        let (answer, latency) = self.send_and_time(request, scheduled).await;
        let outcome = self.classify(answer, latency, |answer| job.is_own_answer(answer));
        self.report(arrival, outcome, job.ideal_latency, latency);
    }

    async fn send_and_time(
        &self,
        request: Request<Full<Bytes>>,
        scheduled: Instant,
    ) -> (client::Result<client::Answer>, Duration) {
        let timeout = self.plan.deadline() + LATE_ANSWER_TIMEOUT;
        let answer = self.client.send(request, timeout).await;
        (answer, scheduled.elapsed())
    }

    fn report(
        &self,
        arrival: Arrival,
        outcome: CallerOutcome,
        ideal_latency: Duration,
        latency: Duration,
    ) {
        let sample = Sample {
            arrival,
            outcome,
            ideal_latency,
            latency,
        };
        // Fails only if the collector has stopped, which it does after all senders.
        let _ = self.samples.send(sample);
    }

    fn classify(
        &self,
        answer: client::Result<client::Answer>,
        latency: Duration,
        is_own: impl Fn(&Bytes) -> bool,
    ) -> CallerOutcome {
        let answer = match answer {
            Ok(answer) => answer,
            Err(client::Error::Connect(_)) => return CallerOutcome::NoConnection,
            Err(_) => return CallerOutcome::NoAnswer,
        };
        let outcome = answer.headers.get("x-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
        match outcome {
            Some(Outcome::Done) if !is_own(&answer.body) => CallerOutcome::Wrong,
            Some(Outcome::Done) if latency > self.plan.deadline() => CallerOutcome::Late,
            Some(Outcome::Done) => CallerOutcome::Done,
            Some(Outcome::Failed) => CallerOutcome::Failed,
            Some(Outcome::NotRun) if answer.status.is_client_error() => CallerOutcome::Refused,
            Some(Outcome::NotRun) => CallerOutcome::NotRun,
            Some(Outcome::Unknown) => CallerOutcome::Unknown,
            None => CallerOutcome::Refused,
        }
    }

    fn job_request(&self, arrival: Arrival, job: &JobRequest) -> Request<Full<Bytes>> {
        Request::post(self.plan.entry(arrival.index).join("/v1/jobs"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(job.body.clone()))
            .expect("constant headers are valid")
    }

    fn request(&self, arrival: Arrival, body: Bytes) -> Request<Full<Bytes>> {
        let plan = &self.plan;
        let deadline = humantime::format_duration(plan.deadline()).to_string();
        Request::post(plan.entry(arrival.index).join("/v1/requests"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-service", plan.service().as_str())
            .header("x-team", plan.team().as_str())
            .header("x-deadline", deadline)
            .header("x-idempotent", plan.idempotent().to_string())
            .body(Full::new(body))
            .expect("parsed names and formatted values are valid header values")
    }

    fn body(&self, arrival: Arrival) -> Bytes {
        let mut body = Body {
            run_ms: u64::try_from(arrival.run_time.as_millis()).unwrap_or(u64::MAX),
            seed: self.plan.seed(),
            number: arrival.index,
            padding: String::new(),
        };
        let unpadded = body.to_json().len();
        body.padding = "x".repeat(self.plan.body().as_usize().saturating_sub(unpadded));
        body.to_json().into()
    }
}

impl Body {
    fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a body has only string keys")
    }
}

//! Sends one request and judges its answer.

use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian_wire::outcome::Outcome;
use http::{header, Request};
use http_body_util::Full;
use serde::Serialize;
use strum::{Display, EnumCount, EnumIter};

use super::arrivals::Arrival;
use super::job::Submission;
use super::Plan;
use crate::client::{self, Client};

/// Time past the deadline that an answer is waited for.
const GRACE: Duration = Duration::from_secs(2);

/// What became of one request, as its caller sees it.
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
pub(super) enum Fate {
    /// Its own answer came, whole and in time.
    Done,
    /// Its own answer came after the deadline.
    Late,
    /// An answer came that is not its own, or is not whole.
    Wrong,
    /// It was told that it ran and failed.
    Failed,
    /// It was told that it did not run.
    NotRun,
    /// It was told that nothing is known.
    Unknown,
    /// It was refused as malformed.
    Refused,
    /// The connection broke or the answer did not come at all.
    NoAnswer,
    /// No connection could be opened.
    NoConnection,
}

/// One request that has come to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    pub(super) arrival: Arrival,
    pub(super) fate: Fate,
    /// Time that it takes where it starts at once.
    pub(super) ideal: Duration,
    /// Time since the intended start.
    pub(super) seen: Duration,
}

/// Sends requests; clones share the connections.
#[derive(Clone, Debug)]
pub(super) struct Sender {
    plan: Arc<Plan>,
    client: Client,
    samples: mpsc::Sender<Sample>,
}

/// What a task gets, and what its answer must repeat.
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

    /// Sends the request or job and reports its sample.
    pub(super) async fn send(self, arrival: Arrival, intended: Instant) {
        match self.plan.tasks() {
            0 => self.send_request(arrival, intended).await,
            _ => self.send_job(arrival, intended).await,
        }
    }

    async fn send_request(self, arrival: Arrival, intended: Instant) {
        let body = self.body(arrival);
        let request = self.request(arrival, body.clone());
        let (answer, seen) = self.exchange(request, intended).await;
        let fate = self.judge(answer, seen, |answer| *answer == body);
        self.report(arrival, fate, arrival.run, seen);
    }

    async fn send_job(self, arrival: Arrival, intended: Instant) {
        let job = Submission::new(&self.plan, arrival);
        let request = self.job_request(arrival, &job);
        let (answer, seen) = self.exchange(request, intended).await;
        let fate = self.judge(answer, seen, |answer| job.is_answered_by(answer));
        self.report(arrival, fate, job.ideal, seen);
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        intended: Instant,
    ) -> (client::Result<client::Answer>, Duration) {
        let timeout = self.plan.deadline() + GRACE;
        let answer = self.client.send(request, timeout).await;
        (answer, intended.elapsed())
    }

    fn report(&self, arrival: Arrival, fate: Fate, ideal: Duration, seen: Duration) {
        let sample = Sample {
            arrival,
            fate,
            ideal,
            seen,
        };
        // The collector outlives every sender.
        let _ = self.samples.send(sample);
    }

    fn judge(
        &self,
        answer: client::Result<client::Answer>,
        seen: Duration,
        is_own: impl Fn(&Bytes) -> bool,
    ) -> Fate {
        let answer = match answer {
            Ok(answer) => answer,
            Err(client::Error::Connect(_)) => return Fate::NoConnection,
            Err(_) => return Fate::NoAnswer,
        };
        let outcome = answer.headers.get("x-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()?.parse().ok());
        match outcome {
            Some(Outcome::Done) if !is_own(&answer.body) => Fate::Wrong,
            Some(Outcome::Done) if seen > self.plan.deadline() => Fate::Late,
            Some(Outcome::Done) => Fate::Done,
            Some(Outcome::Failed) => Fate::Failed,
            Some(Outcome::NotRun) if answer.status.is_client_error() => Fate::Refused,
            Some(Outcome::NotRun) => Fate::NotRun,
            Some(Outcome::Unknown) => Fate::Unknown,
            None => Fate::Refused,
        }
    }

    fn job_request(&self, arrival: Arrival, job: &Submission) -> Request<Full<Bytes>> {
        Request::post(self.plan.entry(arrival.number).join("/v1/jobs"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(job.body.clone()))
            .expect("a constant header is valid")
    }

    fn request(&self, arrival: Arrival, body: Bytes) -> Request<Full<Bytes>> {
        let plan = &self.plan;
        let deadline = humantime::format_duration(plan.deadline()).to_string();
        Request::post(plan.entry(arrival.number).join("/v1/requests"))
            .header(header::CONTENT_TYPE, "application/json")
            .header("x-service", plan.service().as_str())
            .header("x-team", plan.team().as_str())
            .header("x-deadline", deadline)
            .header("x-idempotent", plan.idempotent().to_string())
            .body(Full::new(body))
            .expect("checked names make valid headers")
    }

    fn body(&self, arrival: Arrival) -> Bytes {
        let mut body = Body {
            run_ms: u64::try_from(arrival.run.as_millis()).unwrap_or(u64::MAX),
            seed: self.plan.seed(),
            number: arrival.number,
            padding: String::new(),
        };
        let bare = body.write().len();
        body.padding = "x".repeat(self.plan.body().as_usize().saturating_sub(bare));
        body.write().into()
    }
}

impl Body {
    fn write(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a body has text keys only")
    }
}

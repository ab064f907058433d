//! The HTTP response that answers a job.

use bytes::Bytes;
use gentian::claim::coordinator::Answer;
use gentian::wire::agent::StartReply;
use gentian::wire::id::Job;
use gentian::wire::outcome::Outcome;
use http_body_util::Full;
use serde::Serialize;
use serde_json::value::RawValue;

use super::RETRY_AFTER;
use crate::serve::Response;

/// Header with the id of the attempt that gave the answer.
pub(super) const COORDINATOR_HEADER: &str = "x-coordinator";

const NOT_RUN_DETAIL: &str = "this submission started no task; submit the same key again";

/// A rendered answer, which can be sent to any number of callers.
#[derive(Clone, Debug)]
pub(super) struct JobResponse {
    /// Whether all tasks are done.
    pub(super) complete: bool,
    status: u16,
    pub(super) outcome: Outcome,
    coordinator: u64,
    body: Bytes,
}

#[derive(Serialize)]
struct Message<'a> {
    key: Job,
    outcome: Outcome,
    complete: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'static str>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    tasks: Vec<TaskMessage<'a>>,
}

#[derive(Serialize)]
struct TaskMessage<'a> {
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content_type: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<Body<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body_hex: Option<String>,
}

#[derive(Serialize)]
#[serde(untagged)]
enum Body<'a> {
    Json(&'a RawValue),
    Text(&'a str),
}

impl JobResponse {
    /// Renders a job's answer.
    pub(super) fn new(answer: &Answer<StartReply>, coordinator: u64) -> JobResponse {
        let outcome = job_outcome(answer);
        // "Not run" is true of this submission only: an earlier submission of the same
        // key may have run some tasks, so no outcomes of single tasks are reported.
        let ran = outcome != Outcome::NotRun;
        let reported: &[_] = if ran { &answer.tasks } else { &[] };
        let message = Message {
            key: answer.job,
            outcome,
            complete: answer.complete,
            detail: (!ran).then_some(NOT_RUN_DETAIL),
            tasks: reported.iter().map(task_message).collect(),
        };
        let body = serde_json::to_vec(&message).unwrap_or_default();
        JobResponse {
            complete: answer.complete,
            status: status(outcome),
            outcome,
            coordinator,
            body: body.into(),
        }
    }

    /// An answer that another entry gave to the same job; none if `status` is not the HTTP
    /// status of any answer.
    pub(super) fn relayed(status: u16, body: Bytes, coordinator: u64) -> Option<JobResponse> {
        let outcome = [Outcome::Done, Outcome::Failed, Outcome::NotRun];
        let outcome = outcome.into_iter().find(|o| self::status(*o) == status)?;
        Some(JobResponse {
            complete: outcome == Outcome::Done,
            status,
            outcome,
            coordinator,
            body,
        })
    }

    /// The answer as an HTTP response.
    pub(super) fn to_http(&self) -> Response {
        let mut builder = http::Response::builder()
            .status(self.status)
            .header("content-type", "application/json")
            .header("x-outcome", self.outcome.to_string())
            .header(COORDINATOR_HEADER, format!("{:x}", self.coordinator));
        if self.outcome == Outcome::NotRun {
            let millis = u64::try_from(RETRY_AFTER.as_millis()).unwrap_or(u64::MAX);
            builder = builder
                .header("retry-after", millis.div_ceil(1000).max(1))
                .header("x-retry-after-ms", millis);
        }
        builder
            .body(Full::new(self.body.clone()))
            .expect("an answer's headers are valid")
    }
}

/// The outcome of the whole job: done if complete, not run if no task ran, else
/// failed.
fn job_outcome(answer: &Answer<StartReply>) -> Outcome {
    let none_ran = answer.tasks.iter().all(|task| task.0 == Outcome::NotRun);
    match (answer.complete, none_ran) {
        (true, _) => Outcome::Done,
        (false, true) => Outcome::NotRun,
        (false, false) => Outcome::Failed,
    }
}

fn status(outcome: Outcome) -> u16 {
    match outcome {
        Outcome::Done => 200,
        Outcome::Failed => 502,
        Outcome::NotRun => 503,
        Outcome::Unknown => 504,
    }
}

fn task_message((outcome, reply): &(Outcome, Option<StartReply>)) -> TaskMessage<'_> {
    let reply = reply.as_ref().filter(|_| *outcome == Outcome::Done);
    let body = reply.and_then(body);
    let hex = reply.filter(|_| body.is_none());
    TaskMessage {
        outcome: *outcome,
        status: reply.map(|reply| reply.status),
        content_type: reply.map(|reply| reply.content_type.as_str()),
        body,
        body_hex: hex.map(|reply| reply.body.iter().map(|b| format!("{b:02x}")).collect()),
    }
}

/// The body as JSON if that is its type, else as text; none if it is not valid
/// UTF-8.
fn body(reply: &StartReply) -> Option<Body<'_>> {
    if reply.content_type.starts_with("application/json") {
        if let Ok(json) = serde_json::from_slice(&reply.body) {
            return Some(Body::Json(json));
        }
    }
    std::str::from_utf8(&reply.body).ok().map(Body::Text)
}

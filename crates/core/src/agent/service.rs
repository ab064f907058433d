//! gRPC service of an agent whose tasks are single calls to its upstream.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::wire::agent::agent_server::Agent;
use gentian::wire::agent::{
    AskReply, AskRequest, CancelReply, CancelRequest, ClaimReply, ClaimRequest, Orders, Outcome,
    Reason, Reports, StartReply, StartRequest,
};
use gentian::wire::id::{Ballot, Job, Task, View};
use http_body_util::Full;
use tokio::sync::watch;
use tonic::{Request, Response, Status, Streaming};

use super::claims::Claims;
use super::upstreams::{Admission, Refusal, Slot, UpstreamTable};
use super::{pool, reply};
use crate::clock;
use crate::metrics;
use crate::renew::LeaseState;

/// Tells the upstream the task's id. If the upstream repeats it in its answer, the
/// agent can detect an answer to another task.
const TASK_HEADER: &str = "x-task";
/// Delay after which a refused task is worth retrying.
const RETRY_AFTER_MS: u32 = 100;

/// Longest time that a task waits for a slot before it is refused.
const MAX_WAIT: Duration = Duration::from_millis(200);

/// Handles the calls of entries.
#[derive(Debug)]
pub(crate) struct Service {
    incarnation: u64,
    table: Arc<UpstreamTable>,
    held: watch::Receiver<Arc<LeaseState>>,
    claims: Arc<Claims>,
    metrics: Arc<metrics::Agent>,
}

impl Service {
    pub(crate) fn new(
        incarnation: u64,
        table: Arc<UpstreamTable>,
        held: watch::Receiver<Arc<LeaseState>>,
        claims: Claims,
        metrics: Arc<metrics::Agent>,
    ) -> Service {
        Service {
            incarnation,
            table,
            held,
            claims: Arc::new(claims),
            metrics,
        }
    }

    /// Runs a task. The gate, which rejects repeated starts, is checked before the lease
    /// and the slots. Otherwise a repeated start could be answered as not run, for lack
    /// of a lease or a slot, although the first one did run.
    async fn run_task(&self, request: StartRequest, task: Task) -> StartReply {
        let ballot = request.ballot.map(Ballot::from);
        if let Err(refusal) = self.claims.start(task, ballot, View(request.view)) {
            return reply::start_refusal(refusal);
        }
        let admission = match self.admit(&request.service, Instant::now()) {
            Ok(admission) => admission,
            Err(reason) => {
                self.claims.retract(task);
                return not_run(reason);
            }
        };
        let time_left = Duration::from_millis(u64::from(request.time_left_ms));
        // A separate task, so that the call goes on when the deadline passes or the
        // caller disconnects: the slot is occupied until the upstream has finished.
        let running = execute(
            admission,
            request,
            task,
            self.claims.clone(),
            self.metrics.clone(),
        );
        let running = tokio::spawn(running);
        match tokio::time::timeout(time_left, running).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => reply_with(Outcome::Unknown),
        }
    }

    fn admit(&self, service: &str, now: Instant) -> std::result::Result<Admission, Reason> {
        if !self.held.borrow().in_force(clock::now()) {
            return Err(Reason::NoLease);
        }
        let upstream = self.table.get(service).ok_or(Reason::NoUpstream)?;
        upstream.admit(now).map_err(Reason::from)
    }
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Reason {
        match refusal {
            Refusal::Leaving => Reason::Leaving,
            Refusal::Full => Reason::Full,
        }
    }
}

/// Waits for a slot, calls the upstream and records the outcome.
async fn execute(
    admission: Admission,
    request: StartRequest,
    task: Task,
    claims: Arc<Claims>,
    metrics: Arc<metrics::Agent>,
) -> StartReply {
    let arrived = Instant::now();
    let time_left = Duration::from_millis(u64::from(request.time_left_ms));
    let slot = match wait_for_slot(admission, time_left.min(MAX_WAIT)).await {
        Ok(slot) => slot,
        Err(reason) => {
            claims.retract(task);
            return not_run(reason);
        }
    };
    let started = Instant::now();
    let running = metrics.begin();
    let mut reply = call_upstream(&slot, &request, task).await;
    drop(running);
    if reply.outcome() != Outcome::NotRun {
        metrics
            .messages()
            .exchange(reply.outcome().into(), arrived.elapsed() <= time_left);
    }
    reply.run_us = u32::try_from(started.elapsed().as_micros()).unwrap_or(u32::MAX);
    let upstream = slot.upstream().clone();
    // Frees the slot first, so that the load in the reply counts it as free.
    drop(slot);
    match reply.outcome() {
        Outcome::NotRun => claims.retract(task),
        outcome if request.ballot.is_none() => claims.finish_single(task, outcome.into()),
        _ => claims.finish(task, reply.clone()),
    }
    reply.load = Some(upstream.load());
    reply
}

/// Waits at most `timeout` for a slot.
async fn wait_for_slot(
    admission: Admission,
    timeout: Duration,
) -> std::result::Result<Slot, Reason> {
    let slot = match admission {
        Admission::Now(slot) => return Ok(slot),
        Admission::Later(slot) => slot,
    };
    match tokio::time::timeout(timeout, slot).await {
        Ok(Ok(slot)) => Ok(slot),
        Ok(Err(_)) => Err(Reason::Leaving),
        Err(_) => Err(Reason::Full),
    }
}

async fn call_upstream(slot: &Slot, request: &StartRequest, task: Task) -> StartReply {
    let Ok(message) = upstream_request(request, task) else {
        return reply_with(Outcome::NotRun);
    };
    match slot.upstream().pool.call(message).await {
        Ok(response) => reply_from_response(response, task),
        Err(pool::Error::Unsent) => not_run(Reason::NoUpstream),
        Err(pool::Error::Lost) => reply_with(Outcome::Unknown),
    }
}

fn upstream_request(
    request: &StartRequest,
    task: Task,
) -> http::Result<http::Request<Full<Bytes>>> {
    http::Request::post(&request.path)
        .header("host", &request.service)
        .header("content-type", &request.content_type)
        .header(TASK_HEADER, task.to_string())
        .body(Full::new(request.body.clone()))
}

fn reply_from_response(response: http::Response<Bytes>, task: Task) -> StartReply {
    let headers = response.headers();
    let answered_task = headers.get(TASK_HEADER);
    let other_task =
        answered_task.is_some_and(|name| name.as_bytes() != task.to_string().as_bytes());
    let status = response.status();
    if other_task || status.is_server_error() {
        let mut reply = reply_with(Outcome::Failed);
        reply.status = u32::from(status.as_u16());
        return reply;
    }
    let content_type = headers.get("content-type").and_then(|v| v.to_str().ok());
    StartReply {
        status: u32::from(status.as_u16()),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.into_body(),
        ..reply_with(Outcome::Done)
    }
}

fn reply_with(outcome: Outcome) -> StartReply {
    StartReply {
        outcome: outcome.into(),
        ..StartReply::default()
    }
}

fn not_run(reason: Reason) -> StartReply {
    StartReply {
        reason: reason.into(),
        retry_after_ms: RETRY_AFTER_MS,
        ..reply_with(Outcome::NotRun)
    }
}

#[tonic::async_trait]
impl Agent for Service {
    type LeaseStream = tokio_stream::Empty<Result<Reports, Status>>;

    async fn lease(
        &self,
        _: Request<Streaming<Orders>>,
    ) -> Result<Response<Self::LeaseStream>, Status> {
        Err(Status::unimplemented(
            "this agent does not run tasks under leases",
        ))
    }

    async fn start(&self, request: Request<StartRequest>) -> Result<Response<StartReply>, Status> {
        let request = request.into_inner();
        let task = request.task.clone();
        let parsed = task.as_ref().map(Task::try_from);
        let Some(Ok(parsed)) = parsed else {
            return Err(Status::invalid_argument(
                "field task is missing or malformed",
            ));
        };
        let service = request.service.clone();
        let mut reply = self.run_task(request, parsed).await;
        if reply.load.is_none() {
            reply.load = self.table.get(&service).map(|upstream| upstream.load());
        }
        self.metrics
            .answered(reply.outcome().into(), reply.reason());
        reply.task = task;
        reply.incarnation = self.incarnation;
        Ok(Response::new(reply))
    }

    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        let request = request.into_inner();
        let (job, claimant) = reply::parse_claimant(&request).map_err(malformed)?;
        let held = self.held.borrow().clone();
        let claim = match held.in_force(clock::now()) {
            true => self.claims.claim(job, claimant, View(request.view), &held),
            false => Err(gentian::claim::refusal::Refusal::NoLease),
        };
        Ok(Response::new(reply::claim_reply(claim)))
    }

    async fn ask(&self, request: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        let request = request.into_inner();
        let job = Job::try_from(&request.job[..]).map_err(malformed)?;
        let ballot = Ballot::from(request.ballot.unwrap_or_default());
        if request.wait {
            self.claims.wait(job, &request.tasks).await;
        }
        let statuses = self
            .claims
            .ask(job, &request.tasks, ballot, View(request.view));
        let answers = request.tasks.iter().zip(statuses);
        Ok(Response::new(AskReply {
            answers: answers
                .map(|(task, status)| reply::ask_answer(*task, status))
                .collect(),
            load: None,
        }))
    }

    async fn cancel(
        &self,
        request: Request<CancelRequest>,
    ) -> Result<Response<CancelReply>, Status> {
        let request = request.into_inner();
        let job = Job::try_from(&request.job[..]).map_err(malformed)?;
        let ballot = Ballot::from(request.ballot.unwrap_or_default());
        self.claims.cancel(job, &request.tasks, ballot);
        Ok(Response::new(CancelReply {}))
    }
}

fn malformed(error: gentian::wire::Malformed) -> Status {
    Status::invalid_argument(error.to_string())
}

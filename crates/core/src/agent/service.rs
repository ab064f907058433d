//! What an agent answers to entries.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::wire::agent::agent_server::Agent;
use gentian::wire::agent::{
    AskReply, AskRequest, CancelReply, CancelRequest, ClaimReply, ClaimRequest, Load, Outcome,
    Reason, StartReply, StartRequest,
};
use gentian::wire::id::Task;
use http_body_util::Full;
use tokio::sync::watch;
use tonic::{Request, Response, Status};

use super::announce::{Refusal, Slot, Table, Upstream};
use super::pool;
use crate::metrics;
use crate::renew::Held;

/// Names the task to the upstream, which may repeat it in its answer.
const TASK_HEADER: &str = "x-task";
const RETRY_AFTER_MS: u32 = 100;

/// One agent.
#[derive(Debug)]
pub(crate) struct Service {
    incarnation: u64,
    table: Arc<Table>,
    held: watch::Receiver<Arc<Held>>,
    metrics: Arc<metrics::Agent>,
}

impl Service {
    pub(crate) fn new(
        incarnation: u64,
        table: Arc<Table>,
        held: watch::Receiver<Arc<Held>>,
        metrics: Arc<metrics::Agent>,
    ) -> Service {
        Service {
            incarnation,
            table,
            held,
            metrics,
        }
    }

    async fn run(&self, request: StartRequest, task: Task) -> StartReply {
        let now = Instant::now();
        if !self.held.borrow().in_force(now) {
            return refuse(Reason::NoLease);
        }
        let Some(upstream) = self.table.get(&request.service) else {
            return refuse(Reason::NoUpstream);
        };
        let slot = match upstream.admit(now) {
            Ok(slot) => slot,
            Err(refusal) => return refuse(refusal.into()),
        };
        let time = Duration::from_millis(u64::from(request.time_left_ms));
        // The call goes on past the deadline and past a caller that hangs up,
        // since the slot is taken until the upstream has finished.
        let running = tokio::spawn(execute(slot, request, task, self.metrics.clone()));
        match tokio::time::timeout(time, running).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) | Err(_) => outcome(Outcome::Unknown),
        }
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

async fn execute(
    slot: Slot,
    request: StartRequest,
    task: Task,
    metrics: Arc<metrics::Agent>,
) -> StartReply {
    let started = Instant::now();
    let time = Duration::from_millis(u64::from(request.time_left_ms));
    let running = metrics.begin();
    let mut reply = call(&slot, &request, task).await;
    drop(running);
    if reply.outcome() != Outcome::NotRun {
        metrics
            .messages()
            .exchange(reply.outcome().into(), started.elapsed() <= time);
    }
    reply.run_us = u32::try_from(started.elapsed().as_micros()).unwrap_or(u32::MAX);
    let upstream = slot.upstream().clone();
    drop(slot);
    reply.load = Some(load(&upstream));
    reply
}

async fn call(slot: &Slot, request: &StartRequest, task: Task) -> StartReply {
    let Ok(message) = upstream_request(request, task) else {
        return outcome(Outcome::NotRun);
    };
    match slot.upstream().pool.call(message).await {
        Ok(response) => answer(response, task),
        Err(pool::Error::Unsent) => refuse(Reason::NoUpstream),
        Err(pool::Error::Lost) => outcome(Outcome::Unknown),
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

fn answer(response: http::Response<Bytes>, task: Task) -> StartReply {
    let headers = response.headers();
    let named = headers.get(TASK_HEADER);
    let crossed = named.is_some_and(|name| name.as_bytes() != task.to_string().as_bytes());
    let status = response.status();
    if crossed || status.is_server_error() {
        let mut reply = outcome(Outcome::Failed);
        reply.status = u32::from(status.as_u16());
        return reply;
    }
    let content_type = headers.get("content-type").and_then(|v| v.to_str().ok());
    StartReply {
        status: u32::from(status.as_u16()),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.into_body(),
        ..outcome(Outcome::Done)
    }
}

fn outcome(outcome: Outcome) -> StartReply {
    StartReply {
        outcome: outcome.into(),
        ..StartReply::default()
    }
}

fn refuse(reason: Reason) -> StartReply {
    StartReply {
        reason: reason.into(),
        retry_after_ms: RETRY_AFTER_MS,
        ..outcome(Outcome::NotRun)
    }
}

fn load(upstream: &Upstream) -> Load {
    let (busy, leaving) = upstream.load();
    Load {
        slots: upstream.announcement.slots,
        busy,
        waiting: 0,
        leaving,
    }
}

#[tonic::async_trait]
impl Agent for Service {
    async fn start(&self, request: Request<StartRequest>) -> Result<Response<StartReply>, Status> {
        let request = request.into_inner();
        let task = request.task.clone();
        let named = task.as_ref().map(Task::try_from);
        let Some(Ok(parsed)) = named else {
            return Err(Status::invalid_argument("task is missing or malformed"));
        };
        let service = request.service.clone();
        let mut reply = self.run(request, parsed).await;
        if reply.load.is_none() {
            reply.load = self.table.get(&service).map(|upstream| load(&upstream));
        }
        self.metrics
            .answered(reply.outcome().into(), reply.reason());
        reply.task = task;
        reply.incarnation = self.incarnation;
        Ok(Response::new(reply))
    }

    async fn claim(&self, _: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        Err(Status::unimplemented("jobs are not claimed yet"))
    }

    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        Err(Status::unimplemented("jobs are not claimed yet"))
    }

    async fn cancel(&self, _: Request<CancelRequest>) -> Result<Response<CancelReply>, Status> {
        Err(Status::unimplemented("tasks are not cancelled yet"))
    }
}

//! HTTP requests of the callers and of the load balancer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::config::document::Queue;
use gentian_platform::caller::{self, Call, Head, State, Waiting};
use gentian_platform::path;
use http::StatusCode;
use tokio::sync::watch;

use super::dispatcher::Dispatcher;
use super::job::{Outcome, Refusal, RefusalCause, Submission, Times};
use crate::clock;
use crate::lag;
use crate::logging::is_sampled;
use crate::metrics;
use crate::renew::LeaseState;
use crate::serve::{self, Handler, Problem, Request, Response};
use crate::settings;
use crate::unread;

/// Longest time to receive a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long this entry goes on with a configuration that control has not confirmed:
/// longer than control takes to recover from a power failure.
const MAX_CONFIG_AGE: Duration = Duration::from_secs(15);

/// Share of its caller's deadline for which a request waits for the first configuration, so
/// that the caller can still do something else.
const CONFIG_WAIT_SHARE: f64 = 0.25;

/// Time since control last confirmed the configuration for which a path that is missing from it
/// is known to be missing: two renewals.
const MAX_ABSENCE_AGE: Duration = Duration::from_millis(1_000);

/// Time without a renewal, or an attempt of one, after which this entry asks control before it
/// acts on its configuration: three renewals.
const MAX_UNASKED: Duration = Duration::from_millis(1_500);

/// Longest time that a request waits for that answer.
const RENEWAL_WAIT: Duration = Duration::from_millis(300);

/// Retry delay for callers that are refused because there is no configuration.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A result whose error is the caller's response.
type Result<T> = std::result::Result<T, Problem>;

/// Handles the requests of callers, and the load balancer's readiness checks.
#[derive(Debug)]
pub(super) struct Api {
    dispatcher: Arc<Dispatcher>,
    held: watch::Receiver<Arc<LeaseState>>,
    stopping: watch::Receiver<bool>,
    max_body: usize,
    /// Longest time that a request waits for the first configuration.
    config_wait: Duration,
}

/// A request's headers, and when they were read. The request may have waited since then.
struct Arrival<'a> {
    head: &'a Head,
    at: Instant,
    /// The same by [`clock::now`].
    clock: Duration,
    /// Longest time that it may have waited before.
    unread: Duration,
}

/// Removes a caller from its job when dropped, so also when the caller hangs up and
/// its request is cancelled.
struct CallerGuard {
    dispatcher: Arc<Dispatcher>,
    job: u64,
    caller: u64,
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.dispatcher.remove_caller(self.job, self.caller);
    }
}

impl Api {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        held: watch::Receiver<Arc<LeaseState>>,
        stopping: watch::Receiver<bool>,
        section: &settings::Entry,
    ) -> Api {
        Api {
            dispatcher,
            held,
            stopping,
            max_body: section.max_body.as_usize(),
            config_wait: section.config_wait,
        }
    }

    /// The configuration in force; none if control has sent none yet, or has not
    /// confirmed it for [`MAX_CONFIG_AGE`].
    fn config(&self) -> Option<Arc<LeaseState>> {
        let held = self.held.borrow().clone();
        let fresh = held
            .age(clock::now())
            .is_some_and(|age| age < MAX_CONFIG_AGE);
        (fresh && held.document.release.is_some()).then_some(held)
    }

    /// The configuration in force. If this entry has had none since its start, the request
    /// waits a little for the first one; so it does if this entry has stood still, since others
    /// may have been told of a later one meanwhile. Where control no longer confirms an old one,
    /// nothing tells that it will do so soon, and the request is refused at once.
    async fn config_or_wait(&self, arrival: &Arrival<'_>) -> Result<Arc<LeaseState>> {
        let held = self.held.borrow().clone();
        if held.document.release.is_none() {
            self.wait_for_first_config(arrival.head.deadline).await;
        } else if held.has_stood_still(clock::now(), MAX_UNASKED) {
            self.wait_for_renewal().await;
        }
        self.config().ok_or_else(|| {
            tracing::info!(
                event = "no_configuration",
                request_id = arrival.head.id,
                waited_ms = arrival.at.elapsed().as_millis() as u64,
            );
            Problem::busy("no current configuration from control")
                .retry_after(NO_CONFIG_RETRY_AFTER)
        })
    }

    /// Waits until control has sent a configuration, at most for [`Self::config_wait`] and a
    /// share of the caller's deadline.
    async fn wait_for_first_config(&self, deadline: Option<Duration>) {
        let share = deadline.map(|deadline| deadline.mul_f64(CONFIG_WAIT_SHARE));
        let limit = share.map_or(self.config_wait, |share| share.min(self.config_wait));
        let mut held = self.held.clone();
        let first = held.wait_for(|held| held.document.release.is_some());
        if tokio::time::timeout(limit, first).await.is_err() {
            log::debug!("no configuration within {limit:?} of a request");
        }
    }

    /// Waits for a renewal, at most for [`RENEWAL_WAIT`].
    async fn wait_for_renewal(&self) {
        let mut held = self.held.clone();
        let renewed = held.wait_for(|held| !held.has_stood_still(clock::now(), MAX_UNASKED));
        if tokio::time::timeout(RENEWAL_WAIT, renewed).await.is_err() {
            log::debug!("no answer of control within {RENEWAL_WAIT:?} of a request");
        }
    }

    fn metrics(&self) -> Response {
        let held = self.held.borrow().clone();
        self.dispatcher.metrics().page(metrics::JobStatus {
            version: held.version,
            age: held.age(clock::now()).unwrap_or_default(),
            waiting: self.dispatcher.jobs_waiting(),
            confined_queues: self.dispatcher.confined_queues(),
            denied_upstreams: self.dispatcher.denied_upstreams(),
        })
    }

    fn ready(&self) -> Result<Response> {
        if *self.stopping.borrow() {
            return Err(Problem::busy("this entry is shutting down"));
        }
        if self.config().is_none() {
            return Err(Problem::busy("no current configuration from control"));
        }
        match self.dispatcher.is_ready() {
            true => Ok(serve::text("ready\n")),
            false => Err(Problem::busy("no agent is reachable")),
        }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        if path::Call::read(request.method(), &path) == Some(path::Call::Ready) {
            return self.ready();
        }
        let head = Head::read(request.headers());
        let arrival = Arrival {
            head: &head,
            at: Instant::now(),
            clock: clock::now(),
            unread: unread::longest_wait(),
        };
        let held = self.config_or_wait(&arrival).await?;
        let queue = held.document.queue_for(&head.host, &path);
        let queue = queue.ok_or_else(|| no_queue(&held))?;
        match Call::read(request.method(), &path[queue.prefix.len()..]) {
            Some(Call::Submit(id)) => {
                self.submit(id, queue.clone(), arrival, &held, request)
                    .await
            }
            Some(Call::State(id)) => match self.dispatcher.has_started(id) {
                Some(true) => Ok(serve::json(&State::RUNNING)),
                Some(false) => Ok(serve::json(&State::QUEUED)),
                None => Err(job_not_found()),
            },
            Some(Call::Cancel(id)) => match self.dispatcher.cancel(id) {
                true => Ok(serve::json(&State::CANCELLED)),
                false => Err(job_not_found()),
            },
            Some(Call::Waiting) => Ok(serve::json(&Waiting {
                waiting: self.dispatcher.waiting_jobs(&queue.name),
            })),
            None => Err(Problem::new(404, "not found", "unknown method or path")),
        }
    }

    async fn submit(
        &self,
        id: &str,
        queue: Queue,
        arrival: Arrival<'_>,
        held: &LeaseState,
        request: Request,
    ) -> Result<Response> {
        let (head, arrived) = (arrival.head, arrival.at);
        // Decided before the body is read, so that a refusal costs little.
        if let Some(refusal) = self.dispatcher.refuse_by_lag(id, queue.priority) {
            return self.refuse_unread(id, head, &queue, refusal, arrived);
        }
        let body = serve::read_body(request.into_body(), self.max_body, BODY_TIMEOUT).await?;
        let submission = caller::Submission::read(id, &body);
        let job = match submission.map_err(|error| Problem::bad(&error.to_string()))? {
            caller::Submission::Transient(job) => job,
            caller::Submission::Unsupported(what) => {
                log::warn!(
                    "job {id}: requires {what}, which is not supported; refusing it with 503"
                );
                return Err(Problem::busy(&format!("not supported: {what}")));
            }
        };
        let service = queue.service.clone();
        let service =
            service.ok_or_else(|| Problem::busy("no service is configured for this queue"))?;
        // The caller's own deadline takes precedence over the queue's timeout.
        // Past it, the caller may have sent the job to another entry.
        let limit = head.deadline.unwrap_or(queue.timeout());
        let limit = limit.saturating_sub(arrival.unread);
        let times = Times {
            arrived,
            deadline: arrival.clock.saturating_add(limit),
        };
        let submission = Submission {
            id: id.into(),
            queue,
            service,
            spec: Bytes::from(job.spec),
            steps: job.steps,
        };
        let sampled = is_sampled(id);
        let config = (held.version, held.age(clock::now()).unwrap_or_default());
        if sampled {
            tracing::info!(
                event = "accepted",
                request = id,
                request_id = head.id,
                queue = submission.queue.name,
                tasks = submission.task_count(),
                cpu = submission.max_cpu(),
                declared_ms = submission.critical_path().as_millis() as u64,
                deadline_ms = limit.as_millis() as u64,
                unread_ms = arrival.unread.as_millis() as u64,
                version = config.0,
                version_age_ms = config.1.as_millis() as u64,
            );
        }
        let outcome = self.dispatch(submission, times, arrived + limit).await;
        let took = arrived.elapsed();
        self.dispatcher.metrics().answered(outcome.name(), took);
        if sampled || outcome != Outcome::Completed {
            tracing::info!(
                event = "answered",
                request = id,
                request_id = head.id,
                outcome = outcome.name(),
                took_ms = took.as_millis() as u64,
                version = config.0,
                version_age_ms = config.1.as_millis() as u64,
            );
        }
        response(outcome)
    }

    /// Refuses a job whose body was not read.
    fn refuse_unread(
        &self,
        id: &str,
        head: &Head,
        queue: &Queue,
        refusal: Refusal,
        arrived: Instant,
    ) -> Result<Response> {
        let outcome = Outcome::Refused(refusal);
        let metrics = self.dispatcher.metrics();
        metrics.answered(outcome.name(), arrived.elapsed());
        if is_sampled(id) {
            tracing::info!(
                event = "refused",
                request = id,
                request_id = head.id,
                queue = queue.name,
                cause = %refusal.cause,
                retry_after_ms = refusal.retry_after.as_millis() as u64,
                lag_ms = lag::current().as_millis() as u64,
            );
        }
        response(outcome)
    }

    async fn dispatch(&self, submission: Submission, times: Times, deadline: Instant) -> Outcome {
        let mut ticket = self.dispatcher.submit(submission, times);
        let job = ticket.job;
        let guard = CallerGuard {
            dispatcher: self.dispatcher.clone(),
            job,
            caller: ticket.caller,
        };
        let start_by = (Instant::now() + ticket.wait).min(deadline);
        tokio::select! {
            outcome = &mut ticket.outcome => return outcome.unwrap_or(Outcome::GivenUp),
            () = tokio::time::sleep_until(start_by.into()) => {
                self.dispatcher.expire(job, RefusalCause::Waited);
            }
        }
        tokio::select! {
            outcome = &mut ticket.outcome => return outcome.unwrap_or(Outcome::GivenUp),
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        // A job that has still started no task is refused rather than given up.
        self.dispatcher.expire(job, RefusalCause::Deadline);
        // Dropping the guard removes the caller, which gives it an outcome unless the job
        // has ended already.
        drop(guard);
        ticket.outcome.await.unwrap_or(Outcome::GivenUp)
    }
}

/// The answer to a request that no queue matches. Unless control has confirmed the configuration
/// just now, a newer one may have the queue.
fn no_queue(held: &LeaseState) -> Problem {
    let age = held.age(clock::now());
    let confirmed = age.is_some_and(|age| age < MAX_ABSENCE_AGE);
    if confirmed {
        return Problem::new(404, "not found", "no queue matches this host and path");
    }
    Problem::busy("no queue matches in a configuration that control has not confirmed lately")
        .retry_after(NO_CONFIG_RETRY_AFTER)
}

/// Jobs are forgotten once they have been answered.
fn job_not_found() -> Problem {
    Problem::new(410, "gone", "no job in progress has this id")
}

fn response(outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Cancelled => Ok(serve::json(&State::CANCELLED)),
        Outcome::Completed => Ok(serve::json(&State::COMPLETED)),
        Outcome::Failed => Ok(serve::json(&State::FAILED)),
        Outcome::Refused(refusal) => {
            let problem = Problem::busy(&format!("not run: {}", refusal.cause));
            Err(problem.retry_after(refusal.retry_after))
        }
        Outcome::GivenUp => {
            let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
            let detail = "the job was given up after a task had started, or may have";
            Err(Problem::new(status, "given up", detail))
        }
    }
}

/// Requests on the listener for the load balancer and monitoring: those that [`Api`]
/// handles, and the metrics page.
#[derive(Debug)]
pub(super) struct AdminApi(pub(super) Arc<Api>);

impl Handler for AdminApi {
    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/metrics" => self.0.metrics(),
            _ => self.0.handle(request).await,
        }
    }
}

impl Handler for Api {
    async fn handle(&self, request: Request) -> Response {
        let result = self.route(request).await;
        result.unwrap_or_else(|problem| problem.respond())
    }
}

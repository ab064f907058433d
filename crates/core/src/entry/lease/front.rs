//! What callers of queues are answered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::config::document::Queue;
use gentian_platform::caller::{self, Call, Head, State, Waiting};
use gentian_platform::path;
use http::StatusCode;
use tokio::sync::watch;

use super::dispatcher::Dispatcher;
use super::job::{Outcome, RefusalCause, Submission};
use crate::logging::is_sampled;
use crate::metrics;
use crate::renew::Held;
use crate::serve::{self, Handler, Problem, Request, Response};

const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the configuration is served on without a word from control: longer
/// than it takes control to come back from a loss of power.
const OUTAGE: Duration = Duration::from_secs(15);

/// When to come back while there is no configuration.
const RETURN: Duration = Duration::from_millis(500);

/// A result whose error is told to the caller.
type Result<T> = std::result::Result<T, Problem>;

/// Answers callers of queues, and the balancer.
#[derive(Debug)]
pub(super) struct Front {
    dispatcher: Arc<Dispatcher>,
    held: watch::Receiver<Arc<Held>>,
    stopping: watch::Receiver<bool>,
    max_body: usize,
}

/// Tells that a caller waits no longer, however that came about.
struct Guard {
    dispatcher: Arc<Dispatcher>,
    job: u64,
    caller: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.dispatcher.leave(self.job, self.caller);
    }
}

impl Front {
    pub(super) fn new(
        dispatcher: Arc<Dispatcher>,
        held: watch::Receiver<Arc<Held>>,
        stopping: watch::Receiver<bool>,
        max_body: usize,
    ) -> Front {
        Front {
            dispatcher,
            held,
            stopping,
            max_body,
        }
    }

    /// The configuration in force, or nothing where none is known well enough.
    fn known(&self) -> Option<Arc<Held>> {
        let held = self.held.borrow().clone();
        let fresh = held.age(Instant::now()).is_some_and(|age| age < OUTAGE);
        (fresh && held.document.release.is_some()).then_some(held)
    }

    fn metrics(&self) -> Response {
        let held = self.held.borrow().clone();
        let (metrics, waiting) = self.dispatcher.metrics();
        metrics.page(metrics::Configured {
            version: held.version,
            age: held.age(Instant::now()).unwrap_or_default(),
            waiting,
        })
    }

    fn ready(&self) -> Result<Response> {
        if *self.stopping.borrow() {
            return Err(Problem::busy("this entry stops"));
        }
        if self.known().is_none() {
            return Err(Problem::busy("there is no configuration"));
        }
        match self.dispatcher.is_useful() {
            true => Ok(serve::text("ready\n")),
            false => Err(Problem::busy("no agent can be reached")),
        }
    }

    async fn route(&self, request: Request) -> Result<Response> {
        let path = request.uri().path().to_owned();
        if path::Call::read(request.method(), &path) == Some(path::Call::Ready) {
            return self.ready();
        }
        let head = Head::read(request.headers());
        let held = self
            .known()
            .ok_or_else(|| Problem::busy("there is no configuration").retry_after(RETURN))?;
        let queue = held.document.queue(&head.host, &path);
        let queue = queue.ok_or_else(|| Problem::new(404, "not found", "no such queue"))?;
        match Call::read(request.method(), &path[queue.prefix.len()..]) {
            Some(Call::Submit(id)) => self.submit(id, queue.clone(), &head, &held, request).await,
            Some(Call::State(id)) => match self.dispatcher.has_begun(id) {
                Some(true) => Ok(serve::json(&State::RUNNING)),
                Some(false) => Ok(serve::json(&State::QUEUED)),
                None => Err(unknown()),
            },
            Some(Call::Cancel(id)) => match self.dispatcher.cancel(id) {
                true => Ok(serve::json(&State::CANCELLED)),
                false => Err(unknown()),
            },
            Some(Call::Waiting) => Ok(serve::json(&Waiting {
                waiting: self.dispatcher.waiting(&queue.name),
            })),
            None => Err(Problem::new(404, "not found", "no such call")),
        }
    }

    async fn submit(
        &self,
        id: &str,
        queue: Queue,
        head: &Head,
        held: &Held,
        request: Request,
    ) -> Result<Response> {
        let arrived = Instant::now();
        let body = serve::read(request.into_body(), self.max_body, BODY_TIMEOUT).await?;
        let submission = caller::Submission::read(id, &body);
        let job = match submission.map_err(|error| Problem::bad(&error.to_string()))? {
            caller::Submission::Transient(job) => job,
            caller::Submission::Unsupported(what) => {
                log::warn!("job {id}: refused, it asks for {what}");
                return Err(Problem::busy(&format!("not served: {what}")));
            }
        };
        let service = queue.service.clone();
        let service = service.ok_or_else(|| Problem::busy("the queue has no service"))?;
        // How long the caller waits goes before what the queue allows.
        let deadline = arrived + head.deadline.unwrap_or(queue.timeout());
        let submission = Submission {
            id: id.into(),
            queue,
            service,
            spec: Bytes::from(job.spec),
            steps: job.steps,
        };
        let sampled = is_sampled(id);
        let known = (held.version, held.age(arrived).unwrap_or_default());
        if sampled {
            tracing::info!(
                event = "accepted",
                request = id,
                request_id = head.id,
                queue = submission.queue.name,
                tasks = submission.tasks(),
                cpu = submission.cpu(),
                declared_ms = submission.chain().as_millis() as u64,
                deadline_ms = (deadline - arrived).as_millis() as u64,
                version = known.0,
                version_age_ms = known.1.as_millis() as u64,
            );
        }
        let outcome = self.dispatch(submission, deadline).await;
        let took = arrived.elapsed();
        self.dispatcher.metrics().0.answered(outcome.name(), took);
        if sampled || outcome != Outcome::Completed {
            tracing::info!(
                event = "answered",
                request = id,
                request_id = head.id,
                outcome = outcome.name(),
                took_ms = took.as_millis() as u64,
                version = known.0,
                version_age_ms = known.1.as_millis() as u64,
            );
        }
        answer(outcome)
    }

    async fn dispatch(&self, submission: Submission, deadline: Instant) -> Outcome {
        let mut ticket = self.dispatcher.submit(submission);
        let job = ticket.job;
        let guard = Guard {
            dispatcher: self.dispatcher.clone(),
            job,
            caller: ticket.caller,
        };
        let begin_by = (Instant::now() + ticket.wait).min(deadline);
        tokio::select! {
            outcome = &mut ticket.outcome => return outcome.unwrap_or(Outcome::GivenUp),
            () = tokio::time::sleep_until(begin_by.into()) => {
                self.dispatcher.expire(job, RefusalCause::Waited);
            }
        }
        tokio::select! {
            outcome = &mut ticket.outcome => return outcome.unwrap_or(Outcome::GivenUp),
            () = tokio::time::sleep_until(deadline.into()) => {}
        }
        // Nothing of it may have begun in the meantime.
        self.dispatcher.expire(job, RefusalCause::Deadline);
        drop(guard);
        ticket.outcome.await.unwrap_or(Outcome::GivenUp)
    }
}

/// A job that has been answered is not known any more.
fn unknown() -> Problem {
    Problem::new(410, "gone", "no such job")
}

fn answer(outcome: Outcome) -> Result<Response> {
    match outcome {
        Outcome::Cancelled => Ok(serve::json(&State::CANCELLED)),
        Outcome::Completed => Ok(serve::json(&State::COMPLETED)),
        Outcome::Failed => Ok(serve::json(&State::FAILED)),
        Outcome::Refused(after, cause) => {
            Err(Problem::busy(&format!("not run: {cause}")).retry_after(after))
        }
        Outcome::GivenUp => {
            let status = StatusCode::GATEWAY_TIMEOUT.as_u16();
            let detail = "the job was given up after something of it had run";
            Err(Problem::new(status, "given up", detail))
        }
    }
}

/// Answers the balancer and whoever reads the metrics, apart from callers.
#[derive(Debug)]
pub(super) struct Beside(pub(super) Arc<Front>);

impl Handler for Beside {
    async fn handle(&self, request: Request) -> Response {
        match request.uri().path() {
            "/metrics" => self.0.metrics(),
            _ => self.0.handle(request).await,
        }
    }
}

impl Handler for Front {
    async fn handle(&self, request: Request) -> Response {
        let result = self.route(request).await;
        result.unwrap_or_else(|problem| problem.respond())
    }
}

//! Counts an entry's answers, and serves the metrics page and the objectives page.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use gentian_config::document::Objectives;
use tokio::sync::watch;

use crate::clock;
use crate::metrics::{self, InProgressGuard};
use crate::renew::LeaseState;
use crate::report::counts::{AnswerClass, AnswerCounts};
use crate::report::Snapshot;
use crate::serve::{json, Response};

/// Counts answers for the metrics, and for how fast they use up the error budget of the
/// service-level objectives.
#[derive(Debug)]
pub(crate) struct Meter {
    name: id::Node,
    started: Instant,
    metrics: metrics::Entry,
    held: watch::Receiver<Arc<LeaseState>>,
    counts: Mutex<AnswerCounts>,
}

impl Meter {
    pub(crate) fn new(name: id::Node, held: watch::Receiver<Arc<LeaseState>>) -> Meter {
        Meter {
            name,
            started: Instant::now(),
            metrics: metrics::Entry::new(),
            held,
            counts: Mutex::default(),
        }
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> InProgressGuard {
        self.metrics.begin()
    }

    /// Counts a request that was refused because it is malformed.
    pub(crate) fn malformed(&self) {
        self.metrics.malformed();
    }

    /// Counts a request sent to an agent, by outcome and whether its answer came before
    /// the deadline.
    pub(crate) fn exchange(&self, outcome: Outcome, in_time: bool) {
        self.metrics.messages().exchange(outcome, in_time);
    }

    /// Counts an answered request.
    pub(crate) fn answered(
        &self,
        service: &id::Service,
        team: &id::Team,
        outcome: Outcome,
        latency: Duration,
    ) {
        self.metrics.answered(outcome, latency);
        let limit = Duration::from_millis(self.objectives(service).latency_ms.into());
        let class = match outcome {
            Outcome::Done if latency <= limit => AnswerClass::Good,
            Outcome::Done => AnswerClass::Slow,
            Outcome::Failed | Outcome::NotRun | Outcome::Unknown => AnswerClass::Unavailable,
        };
        let now = self.started.elapsed();
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        counts.add(now, service, team, class);
    }

    /// The response to `GET` of the metrics or objectives page; none for other paths.
    pub(crate) fn page(&self, path: &str) -> Option<Response> {
        match path {
            "/metrics" => Some(self.metrics_page()),
            "/v1/slo" => Some(json(&self.snapshot())),
            _ => None,
        }
    }

    fn metrics_page(&self) -> Response {
        let held = self.held.borrow().clone();
        self.metrics.page(&held, held.in_force(clock::now()))
    }

    fn snapshot(&self) -> Snapshot {
        let now = self.started.elapsed();
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        Snapshot::take(self.name.clone(), now, &counts, |service| {
            self.objectives(service)
        })
    }

    fn objectives(&self, service: &id::Service) -> Objectives {
        let held = self.held.borrow();
        let service = held.document.services.get(service);
        service.map_or_else(Objectives::default, |service| service.objectives.clone())
    }
}

//! Metrics of an entry.

use std::time::Duration;

use gentian_wire::outcome::Outcome;
use prometheus::{Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Registry};

use super::{outcome_counters, page, register, InProgressGuard, LeaseGauges, MessageCounters};
use crate::renew::LeaseState;
use crate::serve::Response;

/// Upper bounds of the latency buckets in seconds, for tasks that typically run for
/// 50 ms to several seconds.
const LATENCY_BOUNDS: [f64; 13] = [
    0.005, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1.0, 1.5, 2.5, 5.0, 10.0,
];

/// Metrics of one entry.
#[derive(Debug)]
pub(crate) struct Entry {
    registry: Registry,
    requests: IntCounterVec,
    malformed: IntCounter,
    latency: Histogram,
    in_progress: IntGauge,
    messages: MessageCounters,
    lease: LeaseGauges,
}

impl Entry {
    pub(crate) fn new() -> Entry {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "gentian_entry_request_seconds",
            "Time from a request's header to its answer, for those done",
        );
        let latency = Histogram::with_opts(latency.buckets(LATENCY_BOUNDS.to_vec()));
        let malformed = IntCounter::new(
            "gentian_entry_malformed_total",
            "Requests refused for what they hold; nothing was started",
        );
        let in_progress = IntGauge::new(
            "gentian_entry_requests_in_progress",
            "Requests that have no answer yet",
        );
        Entry {
            requests: outcome_counters(
                &registry,
                "gentian_entry_requests_total",
                "Requests answered, by outcome",
            ),
            malformed: register(&registry, malformed),
            latency: register(&registry, latency),
            in_progress: register(&registry, in_progress),
            messages: MessageCounters::new(&registry),
            lease: LeaseGauges::new(&registry),
            registry,
        }
    }

    /// Counts an answered request by outcome; records the latency of those done.
    pub(crate) fn answered(&self, outcome: Outcome, latency: Duration) {
        let outcome_name = outcome.to_string();
        self.requests
            .with_label_values(&[outcome_name.as_str()])
            .inc();
        if outcome == Outcome::Done {
            self.latency.observe(latency.as_secs_f64());
        }
    }

    /// Counts a request that was rejected because its content is invalid.
    pub(crate) fn malformed(&self) {
        self.malformed.inc();
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin(&self) -> InProgressGuard {
        InProgressGuard::new(&self.in_progress)
    }

    /// Counters of messages exchanged with agents.
    pub(crate) fn messages(&self) -> &MessageCounters {
        &self.messages
    }

    /// The response of `/metrics`.
    pub(crate) fn page(&self, held: &LeaseState, in_force: bool) -> Response {
        self.lease.set(held, in_force);
        page(&self.registry)
    }
}

//! Metrics of an agent.

use gentian_wire::agent::Reason;
use gentian_wire::outcome::Outcome;
use prometheus::{IntCounterVec, IntGauge, Registry};

use super::{
    counters, outcome_counters, page, register, InProgressGuard, LeaseGauges, MessageCounters,
};
use crate::renew::LeaseState;
use crate::serve::Response;

/// Metrics of one agent.
#[derive(Debug)]
pub(crate) struct Agent {
    registry: Registry,
    starts: IntCounterVec,
    refusals: IntCounterVec,
    running: IntGauge,
    messages: MessageCounters,
    lease: LeaseGauges,
}

impl Agent {
    pub(crate) fn new() -> Agent {
        let registry = Registry::new();
        let reasons = (1..).map_while(|number| Reason::try_from(number).ok());
        let reasons: Vec<String> = reasons.map(reason_label).collect();
        let reasons: Vec<&str> = reasons.iter().map(String::as_str).collect();
        let running = IntGauge::new("gentian_agent_tasks_running", "Tasks on the upstream now");
        Agent {
            starts: outcome_counters(
                &registry,
                "gentian_agent_starts_total",
                "Starts answered, by outcome",
            ),
            refusals: counters(
                &registry,
                "gentian_agent_refusals_total",
                "Starts that were refused, by reason; none of them ran",
                "reason",
                &reasons,
            ),
            running: register(&registry, running),
            messages: MessageCounters::new(&registry),
            lease: LeaseGauges::new(&registry),
            registry,
        }
    }

    /// Counts an answered start by outcome and, if it was refused, by reason.
    pub(crate) fn answered(&self, outcome: Outcome, reason: Reason) {
        let outcome = outcome.to_string();
        self.starts.with_label_values(&[outcome.as_str()]).inc();
        if reason != Reason::Unspecified {
            self.refusals
                .with_label_values(&[reason_label(reason).as_str()])
                .inc();
        }
    }

    /// Counters of messages exchanged with the upstream.
    pub(crate) fn messages(&self) -> &MessageCounters {
        &self.messages
    }

    /// Counts a task as running on the upstream until the guard is dropped.
    pub(crate) fn begin(&self) -> InProgressGuard {
        InProgressGuard::new(&self.running)
    }

    /// The response of `/metrics`.
    pub(crate) fn page(&self, held: &LeaseState, in_force: bool) -> Response {
        self.lease.set(held, in_force);
        page(&self.registry)
    }
}

/// The label value of a reason: `REASON_NO_LEASE` becomes `no_lease`.
fn reason_label(reason: Reason) -> String {
    let name = reason.as_str_name().trim_start_matches("REASON_");
    name.to_ascii_lowercase()
}

//! Prometheus metrics, one struct per role.
//!
//! Each role has its own registry, served at its own address, so that a sum over all
//! addresses counts nothing twice if a process runs several roles.
//! docs/OPERATIONS.md lists every metric, and a test compares that list with the code.

mod agent;
mod control;
mod entry;
mod jobs;
mod process;
mod runs;

use bytes::Bytes;
use gentian_wire::outcome::Outcome;
use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};
use strum::VariantNames;

pub(crate) use agent::Agent;
pub(crate) use control::{Control, ControlStatus};
pub(crate) use entry::Entry;
pub(crate) use jobs::{JobStatus, Jobs};
pub(crate) use process::PROCESS;
pub(crate) use runs::Runs;

use crate::renew::LeaseState;
use crate::serve::{respond, Response};

/// Messages of one exchange: a request and its response.
const MESSAGES_PER_EXCHANGE: u64 = 2;

/// Counts messages exchanged with the next hop.
#[derive(Clone, Debug)]
pub(crate) struct MessageCounters {
    total: IntCounter,
    wasted: IntCounterVec,
}

impl MessageCounters {
    fn new(registry: &Registry) -> MessageCounters {
        let total = IntCounter::new(
            "gentian_messages_total",
            "Requests sent to the next hop, and their answers",
        );
        let wasted = IntCounterVec::new(
            Opts::new(
                "gentian_messages_wasted_total",
                "Those of them that led to no answer in time, by outcome",
            ),
            &["outcome"],
        );
        let wasted = register(registry, wasted);
        for outcome in ["not_run", "failed", "unknown", "late"] {
            wasted.with_label_values(&[outcome]);
        }
        MessageCounters {
            total: register(registry, total),
            wasted,
        }
    }

    /// Counts an exchange by the outcome of its task. An exchange is wasted unless it
    /// was done before the deadline.
    pub(crate) fn exchange(&self, outcome: Outcome, in_time: bool) {
        self.total.inc_by(MESSAGES_PER_EXCHANGE);
        let waste = match outcome {
            Outcome::Done if in_time => return,
            Outcome::Done => "late".to_owned(),
            outcome => outcome.to_string(),
        };
        self.wasted
            .with_label_values(&[waste.as_str()])
            .inc_by(MESSAGES_PER_EXCHANGE);
    }
}

/// Gauges for the lease of a node and the configuration and view that it has.
#[derive(Clone, Debug)]
pub(crate) struct LeaseGauges {
    held: IntGauge,
    version: IntGauge,
    view: IntGauge,
}

impl LeaseGauges {
    fn new(registry: &Registry) -> LeaseGauges {
        let gauge = |name, help| register(registry, IntGauge::new(name, help));
        LeaseGauges {
            held: gauge("gentian_lease_held", "1 while the node may act, else 0"),
            version: gauge("gentian_config_version", "Configuration version in force"),
            view: gauge("gentian_view", "Membership view in force"),
        }
    }

    fn set(&self, held: &LeaseState, in_force: bool) {
        self.held.set(i64::from(in_force));
        self.version
            .set(i64::try_from(held.version).unwrap_or(i64::MAX));
        self.view.set(i64::try_from(held.view).unwrap_or(i64::MAX));
    }
}

/// Counts something as in progress in a gauge until the guard is dropped.
#[derive(Debug)]
pub(crate) struct InProgressGuard {
    gauge: IntGauge,
}

impl InProgressGuard {
    fn new(gauge: &IntGauge) -> InProgressGuard {
        gauge.inc();
        InProgressGuard {
            gauge: gauge.clone(),
        }
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.gauge.dec();
    }
}

/// Registers a family of counters with a counter for each outcome.
fn outcome_counters(registry: &Registry, name: &str, help: &str) -> IntCounterVec {
    counters(registry, name, help, "outcome", Outcome::VARIANTS)
}

/// Registers a family of counters and creates one for each of the known `values` of
/// `label`, so that they are exported as 0 before their first event. Counters for
/// other values are created as they occur.
fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    label: &str,
    values: &[&str],
) -> IntCounterVec {
    let counters = register(
        registry,
        IntCounterVec::new(Opts::new(name, help), &[label]),
    );
    for value in values {
        counters.with_label_values(&[*value]);
    }
    counters
}

/// Registers a histogram with the given upper bounds of its buckets.
fn histogram(registry: &Registry, name: &str, help: &str, bounds: &[f64]) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
    register(registry, Histogram::with_opts(options))
}

fn register<C: Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> C {
    let collector = collector.expect("names and labels are valid");
    let registered = registry.register(Box::new(collector.clone()));
    registered.expect("each metric name is registered only once");
    collector
}

/// Encodes a registry and the metrics of the whole process as the response of `/metrics`.
fn page(registry: &Registry) -> Response {
    let families = [registry.gather(), PROCESS.gather()].concat();
    let text = TextEncoder::new().encode_to_string(&families);
    let text = text.expect("gathered metrics can be encoded");
    respond(prometheus::TEXT_FORMAT, Bytes::from(text))
}

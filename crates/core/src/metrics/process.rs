//! Metrics of the whole process, which are on the page of each of its roles.

use std::sync::LazyLock;

use gentian::limit::lag::Sample;
use prometheus::proto::MetricFamily;
use prometheus::{Counter, IntCounter, IntGauge, Registry};

use super::register;
use crate::logging;

/// The metrics of this process.
pub(crate) static PROCESS: LazyLock<Process> = LazyLock::new(Process::new);

/// Metrics that belong to no role.
#[derive(Debug)]
pub(crate) struct Process {
    registry: Registry,
    lag: IntGauge,
    late: Counter,
    suspended: Counter,
    dropped_lines: IntCounter,
}

impl Process {
    fn new() -> Process {
        let registry = Registry::new();
        let lag = IntGauge::new(
            "gentian_lag_ms",
            "Milliseconds by which a task ran late that is due at fixed intervals",
        );
        let late = Counter::new(
            "gentian_lag_seconds_total",
            "Seconds by which that task ran late so far",
        );
        let suspended = Counter::new(
            "gentian_suspended_seconds_total",
            "Seconds of them for which the system was suspended",
        );
        let dropped_lines = IntCounter::new(
            "gentian_log_lines_dropped_total",
            "Log lines that were not written, since too many waited",
        );
        Process {
            lag: register(&registry, lag),
            late: register(&registry, late),
            suspended: register(&registry, suspended),
            dropped_lines: register(&registry, dropped_lines),
            registry,
        }
    }

    /// Records by how much the process is late.
    pub(crate) fn lag(&self, sample: &Sample) {
        let millis = sample.lag.as_millis();
        self.lag.set(i64::try_from(millis).unwrap_or(i64::MAX));
        self.late.inc_by(sample.lag.as_secs_f64());
        self.suspended.inc_by(sample.suspended.as_secs_f64());
    }

    /// The metrics as they are now.
    pub(super) fn gather(&self) -> Vec<MetricFamily> {
        let dropped = logging::dropped();
        let counted = self.dropped_lines.get();
        self.dropped_lines.inc_by(dropped.saturating_sub(counted));
        self.registry.gather()
    }
}

//! Metrics of an entry for jobs whose tasks run under leases.

use std::time::Duration;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, Registry};

use super::{counters, histogram, page, register};
use crate::serve::Response;

/// Upper bounds of the buckets of job latency, in seconds.
const LATENCY_BUCKETS: [f64; 9] = [0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8];
/// Upper bounds of the buckets of waiting time, in seconds.
const WAIT_BUCKETS: [f64; 8] = [0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5];

/// Metrics of one entry for jobs whose tasks run under leases.
#[derive(Debug)]
pub(crate) struct Jobs {
    registry: Registry,
    answers: IntCounterVec,
    refusals: IntCounterVec,
    returned_tasks: IntCounterVec,
    latency: Histogram,
    wait: Histogram,
    crashing: IntCounter,
    backfilled: IntCounter,
    held: IntCounter,
    waiting: IntGauge,
    confined: IntGauge,
    denied: IntGauge,
    version: IntGauge,
    version_age: IntGauge,
}

/// State of an entry to export as gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct JobStatus {
    /// Configuration version in force.
    pub(crate) version: u64,
    /// Time since a control instance confirmed that version.
    pub(crate) age: Duration,
    /// Number of jobs of which no task has started.
    pub(crate) waiting: usize,
    /// Number of configured queues whose tasks use only some upstreams, since they crash
    /// them.
    pub(crate) confined_queues: usize,
    /// Number of known upstreams that the configuration gives no work.
    pub(crate) denied_upstreams: usize,
}

impl Jobs {
    pub(crate) fn new() -> Jobs {
        let registry = Registry::new();
        let gauge = |name, help| register(&registry, IntGauge::new(name, help));
        let counter = |name, help| register(&registry, IntCounter::new(name, help));
        Jobs {
            crashing: counter(
                "gentian_jobs_crashing_total",
                "Jobs given up because upstreams crashed under one of their tasks",
            ),
            backfilled: counter(
                "gentian_tasks_backfilled_total",
                "Tasks started while a job before theirs found no room",
            ),
            held: counter(
                "gentian_task_holds_total",
                "Times that a task waited, since there was room only where it would end too late",
            ),
            answers: counters(
                &registry,
                "gentian_jobs_total",
                "Jobs answered, by outcome",
                "outcome",
                &["completed", "failed", "refused", "given_up", "cancelled"],
            ),
            refusals: counters(
                &registry,
                "gentian_job_refusals_total",
                "Jobs of which nothing has run, by why they were refused",
                "cause",
                crate::entry::REFUSAL_CAUSES,
            ),
            returned_tasks: counters(
                &registry,
                "gentian_task_returns_total",
                "Tasks that had to begin again, by what became of the run",
                "fate",
                &["failed", "stopped", "lost", "refused", "silent"],
            ),
            latency: histogram(
                &registry,
                "gentian_job_seconds",
                "Time from a job's arrival to its answer, where all was done",
                &LATENCY_BUCKETS,
            ),
            wait: histogram(
                &registry,
                "gentian_job_wait_seconds",
                "Time from a job's arrival to the start of its first task",
                &WAIT_BUCKETS,
            ),
            waiting: gauge("gentian_jobs_waiting", "Jobs of which nothing has begun"),
            confined: gauge(
                "gentian_queues_confined",
                "Queues that use only some upstreams, since their tasks crash them",
            ),
            denied: gauge(
                "gentian_upstreams_denied",
                "Known upstreams that the configuration gives no work",
            ),
            version: gauge(
                "gentian_job_config_version",
                "Configuration version in force",
            ),
            version_age: gauge(
                "gentian_job_config_age_ms",
                "Milliseconds since control confirmed the configuration in force",
            ),
            registry,
        }
    }

    /// Counts an answered job by outcome; records the latency of completed ones.
    pub(crate) fn answered(&self, outcome: &str, latency: Duration) {
        self.answers.with_label_values(&[outcome]).inc();
        if outcome == "completed" {
            self.latency.observe(latency.as_secs_f64());
        }
    }

    /// Counts a refused job, of which no task has run, by cause.
    pub(crate) fn refused(&self, cause: &str) {
        self.refusals.with_label_values(&[cause]).inc();
    }

    /// Counts a task that has to be started again, by the fate of its run, in the form
    /// `FATE_LOST`.
    pub(crate) fn returned(&self, fate: &str) {
        let fate = fate.trim_start_matches("FATE_").to_ascii_lowercase();
        self.returned_tasks
            .with_label_values(&[fate.as_str()])
            .inc();
    }

    /// Counts a job that is given up because upstreams crashed under one of its tasks.
    pub(crate) fn crashing(&self) {
        self.crashing.inc();
    }

    /// Counts a task that was started while a job before its own found no room.
    pub(crate) fn backfilled(&self) {
        self.backfilled.inc();
    }

    /// Counts a task that waits, since there is room only where it would end too late.
    pub(crate) fn held(&self) {
        self.held.inc();
    }

    /// Records the time from a job's arrival to the start of its first task.
    pub(crate) fn waited(&self, time: Duration) {
        self.wait.observe(time.as_secs_f64());
    }

    /// The response of `/metrics`.
    pub(crate) fn page(&self, status: JobStatus) -> Response {
        let to_i64 = |count: u64| i64::try_from(count).unwrap_or(i64::MAX);
        self.version.set(to_i64(status.version));
        self.version_age
            .set(i64::try_from(status.age.as_millis()).unwrap_or(i64::MAX));
        self.waiting.set(to_i64(status.waiting as u64));
        self.confined.set(to_i64(status.confined_queues as u64));
        self.denied.set(to_i64(status.denied_upstreams as u64));
        page(&self.registry)
    }
}

//! Metrics of an agent that runs tasks under leases.

use std::time::Duration;

use gentian_claim::run::{Fate, Refusal, RunEnd};
use prometheus::{Histogram, IntCounter, IntCounterVec, Registry};
use strum::VariantNames;

use super::{counters, histogram, page, register};
use crate::serve::Response;

/// Upper bounds of the buckets of start latency, in seconds.
const START_BUCKETS: [f64; 8] = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.25];
/// Upper bounds of the buckets of run times, in seconds.
const RUN_BUCKETS: [f64; 9] = [0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Metrics of one agent that runs tasks under leases.
#[derive(Debug)]
pub(crate) struct Runs {
    registry: Registry,
    ends: IntCounterVec,
    refusals: IntCounterVec,
    offers: IntCounter,
    unreadable_reports: IntCounter,
    crashes: IntCounter,
    crashed_runs: IntCounter,
    start_latency: Histogram,
    run_time: Histogram,
}

impl Runs {
    pub(crate) fn new() -> Runs {
        let registry = Registry::new();
        let unreadable_reports = IntCounter::new(
            "gentian_upstream_reports_unreadable_total",
            "Heartbeats that can't be read or name no upstream to use",
        );
        let offers = IntCounter::new(
            "gentian_capacity_offers_total",
            "Times that free capacity was offered to an entry that was refused before",
        );
        let crashes = IntCounter::new(
            "gentian_upstream_crashes_total",
            "Ends of the upstream that it had not announced",
        );
        let crashed_runs = IntCounter::new(
            "gentian_crashed_runs_total",
            "Runs that were at the upstream when it ended without notice",
        );
        Runs {
            offers: register(&registry, offers),
            crashes: register(&registry, crashes),
            crashed_runs: register(&registry, crashed_runs),
            ends: counters(
                &registry,
                "gentian_run_ends_total",
                "Runs at the upstream that ended, by what became of them",
                "fate",
                &["done", "failed", "stopped", "lost"],
            ),
            refusals: counters(
                &registry,
                "gentian_run_refusals_total",
                "Starts that were refused, by reason; none of them ran",
                "reason",
                Refusal::VARIANTS,
            ),
            unreadable_reports: register(&registry, unreadable_reports),
            start_latency: histogram(
                &registry,
                "gentian_run_start_seconds",
                "Time from the order of a start to the upstream's answer",
                &START_BUCKETS,
            ),
            run_time: histogram(
                &registry,
                "gentian_run_seconds",
                "Time from the start of a run to its end, where it was done",
                &RUN_BUCKETS,
            ),
            registry,
        }
    }

    /// Counts a run that has ended by its fate; records the run time of those done.
    /// Refused starts are no runs and are counted by [`Runs::refused`].
    pub(crate) fn ended(&self, end: &RunEnd) {
        let fate = match end.fate {
            Fate::Done => "done",
            Fate::Failed => "failed",
            Fate::Stopped => "stopped",
            Fate::Lost => "lost",
            Fate::Refused(_) => return,
        };
        self.ends.with_label_values(&[fate]).inc();
        if end.fate == Fate::Done {
            self.run_time.observe(end.ran.as_secs_f64());
        }
    }

    /// Counts a refused start by reason.
    pub(crate) fn refused(&self, refusal: Refusal) {
        let reason = refusal.to_string();
        self.refusals.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts an offer of free capacity to an entry.
    pub(crate) fn offered(&self) {
        self.offers.inc();
    }

    /// Counts an end of the upstream that it had not announced, with the runs there.
    pub(crate) fn crashed(&self, runs: usize) {
        self.crashes.inc();
        self.crashed_runs.inc_by(runs as u64);
    }

    /// Counts an upstream report that can't be parsed.
    pub(crate) fn unreadable(&self) {
        self.unreadable_reports.inc();
    }

    /// Records how long the upstream took to answer a start.
    pub(crate) fn start_took(&self, time: Duration) {
        self.start_latency.observe(time.as_secs_f64());
    }

    /// The response of `/metrics`.
    pub(crate) fn page(&self) -> Response {
        page(&self.registry)
    }
}

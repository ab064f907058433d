//! Outcome counts and latency histograms of a load.

use std::time::Duration;

use hdrhistogram::Histogram;
use strum::EnumCount;

use super::send::{CallerOutcome, Sample};
use super::Plan;

const SIGNIFICANT_DIGITS: u8 = 3;
/// Histograms hold integers, so ratios are stored in thousandths.
const RATIO_SCALE: f64 = 1e3;

/// Counts of outcomes, and histograms of the requests with a correct answer, late
/// ones included. Requests of the warm-up are only counted.
#[derive(Clone, Debug)]
pub(super) struct Stats {
    warmup: Duration,
    network: Duration,
    outcomes: [u64; CallerOutcome::COUNT],
    warmup_requests: u64,
    latency: Histogram<u64>,
    response_ratio: Histogram<u64>,
}

impl Stats {
    pub(super) fn new(plan: &Plan) -> Stats {
        Stats {
            warmup: plan.warmup(),
            network: plan.network(),
            outcomes: [0; CallerOutcome::COUNT],
            warmup_requests: 0,
            latency: histogram(),
            response_ratio: histogram(),
        }
    }

    /// Adds the result of a request.
    pub(super) fn add(&mut self, sample: &Sample) {
        if sample.arrival.offset < self.warmup {
            self.warmup_requests += 1;
            return;
        }
        self.outcomes[sample.outcome as usize] += 1;
        if matches!(sample.outcome, CallerOutcome::Done | CallerOutcome::Late) {
            self.record_latency(sample);
        }
    }

    fn record_latency(&mut self, sample: &Sample) {
        let ideal = sample.ideal_latency + self.network;
        let ratio = sample.latency.as_secs_f64() / ideal.as_secs_f64();
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.response_ratio
            .saturating_record((ratio * RATIO_SCALE) as u64);
    }

    /// Number of requests with the given outcome, without the warm-up.
    pub(super) fn count(&self, outcome: CallerOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    /// Number of completed requests, without the warm-up.
    pub(super) fn total(&self) -> u64 {
        self.outcomes.iter().sum()
    }

    /// Number of completed requests, warm-up included.
    pub(super) fn completed(&self) -> u64 {
        self.warmup_requests + self.total()
    }

    /// Whether there were requests and none of them got an answer.
    pub(super) fn all_unanswered(&self) -> bool {
        let unanswered =
            self.count(CallerOutcome::NoAnswer) + self.count(CallerOutcome::NoConnection);
        self.total() > 0 && unanswered == self.total()
    }

    /// Latency divided by ideal latency, at a quantile from 0 to 1.
    pub(super) fn response_ratio_at(&self, quantile: f64) -> f64 {
        self.response_ratio.value_at_quantile(quantile) as f64 / RATIO_SCALE
    }

    /// Latency in milliseconds, at a quantile from 0 to 1.
    pub(super) fn latency_ms_at(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn histogram() -> Histogram<u64> {
    let hour_us = 3_600_000_000;
    Histogram::new_with_bounds(1, hour_us, SIGNIFICANT_DIGITS).expect("bounds are valid")
}

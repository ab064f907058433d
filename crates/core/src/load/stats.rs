//! Counts what became of the requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use strum::EnumCount;

use super::send::{Fate, Sample};
use super::Plan;

const SIGNIFICANT_DIGITS: u8 = 3;
const RATIO_SCALE: f64 = 1e3;

/// Counts of fates, and histograms of the requests that were done.
#[derive(Clone, Debug)]
pub(super) struct Tally {
    warmup: Duration,
    network: Duration,
    fates: [u64; Fate::COUNT],
    warmed: u64,
    latency: Histogram<u64>,
    ratio: Histogram<u64>,
}

impl Tally {
    pub(super) fn new(plan: &Plan) -> Tally {
        Tally {
            warmup: plan.warmup(),
            network: plan.network(),
            fates: [0; Fate::COUNT],
            warmed: 0,
            latency: histogram(),
            ratio: histogram(),
        }
    }

    /// Counts a request, unless it belongs to the warm-up.
    pub(super) fn add(&mut self, sample: &Sample) {
        if sample.arrival.at < self.warmup {
            self.warmed += 1;
            return;
        }
        self.fates[sample.fate as usize] += 1;
        if matches!(sample.fate, Fate::Done | Fate::Late) {
            self.time(sample);
        }
    }

    fn time(&mut self, sample: &Sample) {
        let ideal = sample.ideal + self.network;
        let ratio = sample.seen.as_secs_f64() / ideal.as_secs_f64();
        let micros = u64::try_from(sample.seen.as_micros()).unwrap_or(u64::MAX);
        self.latency.saturating_record(micros);
        self.ratio.saturating_record((ratio * RATIO_SCALE) as u64);
    }

    /// Requests of the given fate, without the warm-up.
    pub(super) fn of(&self, fate: Fate) -> u64 {
        self.fates[fate as usize]
    }

    /// Requests that have come to their end, without the warm-up.
    pub(super) fn counted(&self) -> u64 {
        self.fates.iter().sum()
    }

    /// Requests that have come to their end.
    pub(super) fn answered(&self) -> u64 {
        self.warmed + self.counted()
    }

    /// Whether nothing at all answered.
    pub(super) fn is_silent(&self) -> bool {
        let silent = self.of(Fate::NoAnswer) + self.of(Fate::NoConnection);
        self.counted() > 0 && silent == self.counted()
    }

    /// Time seen over ideal time, at a quantile from 0 to 1.
    pub(super) fn ratio_at(&self, quantile: f64) -> f64 {
        self.ratio.value_at_quantile(quantile) as f64 / RATIO_SCALE
    }

    /// Time seen, at a quantile from 0 to 1, in milliseconds.
    pub(super) fn latency_ms_at(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1e3
    }
}

fn histogram() -> Histogram<u64> {
    let hour_us = 3_600_000_000;
    Histogram::new_with_bounds(1, hour_us, SIGNIFICANT_DIGITS).expect("bounds are valid")
}

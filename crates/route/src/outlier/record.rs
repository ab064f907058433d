//! One upstream's record of endings.

use std::time::Duration;

use gentian_wire::id::Incarnation;

use super::{Observation, Settings};

/// Weight of the newest ending in the share of failures.
const FAILING_WEIGHT: f64 = 0.1;

/// Weight of the newest run time in the pace.
const PACE_WEIGHT: f64 = 0.15;

/// Run times before the pace is judged.
const ENOUGH_PACED: u32 = 6;

/// How often an upstream no worse than the others may be ejected by chance.
const CHANCE: f64 = 1e-6;

/// Where an upstream stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Normal,
    Ejected { until: Duration },
    Trial { good: u32 },
}

/// What one upstream did lately.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: State,
    /// Share of requests that failed.
    pub(crate) failing: f64,
    /// Mean logarithm of run time over what was expected. Logarithms, so that
    /// one long task does not outweigh several others.
    pub(crate) pace: f64,
    pub(crate) ejections: u32,
    pub(crate) readmitted: Duration,
    paced: u32,
    bad_in_a_row: u32,
    refused_in_a_row: u32,
}

impl Record {
    pub(crate) fn new(incarnation: Incarnation) -> Record {
        Record {
            incarnation,
            state: State::Normal,
            failing: 0.0,
            pace: 0.0,
            ejections: 0,
            readmitted: Duration::ZERO,
            paced: 0,
            bad_in_a_row: 0,
            refused_in_a_row: 0,
        }
    }

    pub(crate) fn is_out(&self) -> bool {
        self.state != State::Normal
    }

    /// Forgets how it was, but not how often it was ejected.
    pub(crate) fn begin_trial(&mut self) {
        self.state = State::Trial { good: 0 };
        self.failing = 0.0;
        self.pace = 0.0;
        self.paced = 0;
        self.bad_in_a_row = 0;
        self.refused_in_a_row = 0;
    }

    pub(crate) fn take_in(&mut self, ending: Observation, settings: &Settings) {
        match ending {
            Observation::Good { run, expected } => {
                self.bad_in_a_row = 0;
                self.refused_in_a_row = 0;
                self.failing -= self.failing * FAILING_WEIGHT;
                if let Some(expected) = expected {
                    self.take_in_pace(run, expected);
                }
            }
            Observation::Overdue { elapsed, expected } => {
                if elapsed > expected.mul_f64(settings.slow_factor) {
                    self.take_in_pace(elapsed, expected);
                }
            }
            Observation::Bad => {
                self.bad_in_a_row += 1;
                self.failing += (1.0 - self.failing) * FAILING_WEIGHT;
            }
            Observation::Refused => self.refused_in_a_row += 1,
        }
    }

    /// Whether its last requests failed, as many as may eject it.
    pub(crate) fn is_suspect(&self, settings: &Settings) -> bool {
        self.bad_in_a_row >= settings.consecutive_failures
    }

    /// Whether it is so much worse than the others, which fail the share
    /// `failing` and run at `pace`, that chance hardly explains it.
    pub(crate) fn is_outlier(&self, failing: f64, pace: f64, settings: &Settings) -> bool {
        let fails = self.bad_in_a_row >= in_a_row(failing).max(settings.consecutive_failures);
        let refuses = self.refused_in_a_row >= settings.consecutive_refusals;
        let slow = self.paced >= ENOUGH_PACED && self.pace - pace >= settings.slow_factor.ln();
        fails || refuses || slow
    }

    fn take_in_pace(&mut self, run: Duration, expected: Duration) {
        let ratio = run.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        self.pace += (ratio.max(1e-3).ln() - self.pace) * PACE_WEIGHT;
        self.paced += 1;
    }
}

/// Failures in a row that happen with a chance of [`CHANCE`] where each request
/// fails with probability `failing`.
fn in_a_row(failing: f64) -> u32 {
    (CHANCE.ln() / failing.clamp(1e-3, 0.999).ln()).ceil() as u32
}

/// Mean of one figure over all upstreams.
#[derive(Debug, Default)]
pub(crate) struct Average {
    sum: f64,
    count: u32,
}

impl Average {
    pub(crate) fn add(&mut self, value: f64) {
        self.sum += value;
        self.count += 1;
    }

    pub(crate) fn remove(&mut self, value: f64) {
        self.sum -= value;
        self.count -= 1;
    }

    pub(crate) fn replace(&mut self, before: f64, after: f64) {
        self.sum += after - before;
    }

    /// Mean over the others than the one whose figure is `own`.
    pub(crate) fn without(&self, own: f64) -> f64 {
        if self.count <= 1 {
            0.0
        } else {
            (self.sum - own) / f64::from(self.count - 1)
        }
    }
}

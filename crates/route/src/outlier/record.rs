//! Recent observations of one upstream.

use std::time::Duration;

use gentian_wire::id::Incarnation;

use super::{Observation, Settings};

/// Weight of the newest observation in the failure rate.
const FAILURE_RATE_WEIGHT: f64 = 0.1;

/// Weight of the newest run time in the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.15;

/// Number of run times below which the slowdown is not judged.
const MIN_RUN_TIMES: u32 = 6;

/// Accepted probability that failures in a row occur by chance, at an upstream that fails
/// no more often than the others.
const FALSE_POSITIVE_RATE: f64 = 1e-6;

/// State of an upstream in the ejection cycle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum State {
    Normal,
    Ejected {
        until: Duration,
    },
    /// `good` counts the good requests since the trial began.
    Trial {
        good: u32,
    },
}

/// Recent observations of one upstream, and its state.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) incarnation: Incarnation,
    pub(crate) state: State,
    /// Moving average of the share of requests that failed.
    pub(crate) failure_rate: f64,
    /// Moving average of the logarithm of the run time relative to the expected one.
    /// Logarithms keep one long task from outweighing several others.
    pub(crate) log_slowdown: f64,
    /// Number of recent ejections, which determines the backoff.
    pub(crate) ejections: u32,
    /// End of the last ejection.
    pub(crate) readmitted: Duration,
    /// Number of run times in `log_slowdown`.
    run_times: u32,
    consecutive_failures: u32,
    consecutive_refusals: u32,
}

impl Record {
    pub(crate) fn new(incarnation: Incarnation) -> Record {
        Record {
            incarnation,
            state: State::Normal,
            failure_rate: 0.0,
            log_slowdown: 0.0,
            ejections: 0,
            readmitted: Duration::ZERO,
            run_times: 0,
            consecutive_failures: 0,
            consecutive_refusals: 0,
        }
    }

    pub(crate) fn is_out_of_rotation(&self) -> bool {
        self.state != State::Normal
    }

    /// Puts the upstream on trial. Resets all observations, but not the number of
    /// ejections.
    pub(crate) fn begin_trial(&mut self) {
        self.state = State::Trial { good: 0 };
        self.failure_rate = 0.0;
        self.log_slowdown = 0.0;
        self.run_times = 0;
        self.consecutive_failures = 0;
        self.consecutive_refusals = 0;
    }

    pub(crate) fn observe(&mut self, observation: Observation, settings: &Settings) {
        match observation {
            Observation::Good { run, expected } => {
                self.consecutive_failures = 0;
                self.consecutive_refusals = 0;
                self.failure_rate -= self.failure_rate * FAILURE_RATE_WEIGHT;
                if let Some(expected) = expected {
                    self.observe_run_time(run, expected);
                }
            }
            Observation::Overdue { elapsed, expected } => {
                if elapsed > expected.mul_f64(settings.slow_factor) {
                    self.observe_run_time(elapsed, expected);
                }
            }
            Observation::Bad => {
                self.consecutive_failures += 1;
                self.failure_rate += (1.0 - self.failure_rate) * FAILURE_RATE_WEIGHT;
            }
            Observation::Refused => self.consecutive_refusals += 1,
        }
    }

    /// Whether enough requests in a row failed to eject the upstream.
    pub(crate) fn is_suspect(&self, settings: &Settings) -> bool {
        self.consecutive_failures >= settings.consecutive_failures
    }

    /// Whether the upstream should be ejected: it failed or refused too many requests in a
    /// row, or is too much slower than the others. The arguments are the means over the
    /// other upstreams; the more requests fail there, the more failures in a row it takes.
    pub(crate) fn is_outlier(
        &self,
        others_failure_rate: f64,
        others_log_slowdown: f64,
        settings: &Settings,
    ) -> bool {
        let fails = self.consecutive_failures
            >= unlikely_run_of_failures(others_failure_rate).max(settings.consecutive_failures);
        let refuses = self.consecutive_refusals >= settings.consecutive_refusals;
        let slow = self.run_times >= MIN_RUN_TIMES
            && self.log_slowdown - others_log_slowdown >= settings.slow_factor.ln();
        fails || refuses || slow
    }

    fn observe_run_time(&mut self, run: Duration, expected: Duration) {
        let ratio = run.as_secs_f64() / expected.as_secs_f64().max(1e-6);
        self.log_slowdown += (ratio.max(1e-3).ln() - self.log_slowdown) * SLOWDOWN_WEIGHT;
        self.run_times += 1;
    }
}

/// Smallest number of failures in a row whose probability is at most
/// [`FALSE_POSITIVE_RATE`] if each request fails with probability `failure_rate`.
fn unlikely_run_of_failures(failure_rate: f64) -> u32 {
    (FALSE_POSITIVE_RATE.ln() / failure_rate.clamp(1e-3, 0.999).ln()).ceil() as u32
}

/// Mean of one value over all upstreams, updated incrementally.
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

    /// Mean over all upstreams but the one whose value is `own`.
    pub(crate) fn mean_without(&self, own: f64) -> f64 {
        if self.count <= 1 {
            0.0
        } else {
            (self.sum - own) / f64::from(self.count - 1)
        }
    }
}

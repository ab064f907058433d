//! Outlier detection: ejects upstreams that respond but fail or run slowly.
//!
//! An upstream that fails every task immediately appears to have the most free slots
//! and would attract the most requests; one that is ten times slower occupies its slots
//! ten times as long as the estimates assume. Each upstream is compared with the others of its service, so that none is
//! ejected if the service as a whole fails or slows down. Only a bounded share of the
//! upstreams may be out of rotation at a time.
//!
//! After a backoff that doubles with each ejection, an upstream is on trial: it gets
//! one request at a time, and is back in rotation after several good ones.

mod record;
mod settings;

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};
use rand::Rng;

use self::record::{Average, Record, State};
use crate::view::Standing;

pub use self::settings::{Builder, Settings};

/// What was observed of one request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// The request ran to completion.
    Good {
        /// Run time.
        run: Duration,
        /// Median run time of its kind, if known.
        expected: Option<Duration>,
    },
    /// The request is still running, after more time than expected.
    Overdue {
        /// Run time so far.
        elapsed: Duration,
        /// Median run time of its kind.
        expected: Duration,
    },
    /// The request failed or was not answered.
    Bad,
    /// The agent refused the request for a reason other than load.
    Refused,
}

/// Detects outliers among the upstreams of one service.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    records: HashMap<Node, Record>,
    failure_rate: Average,
    log_slowdown: Average,
    /// Upstreams that are ejected or on trial.
    out_of_rotation: usize,
}

impl Detector {
    /// Creates a detector that tracks no upstreams.
    pub fn new(settings: Settings) -> Detector {
        Detector {
            settings,
            records: HashMap::new(),
            failure_rate: Average::default(),
            log_slowdown: Average::default(),
            out_of_rotation: 0,
        }
    }

    /// Starts to track an upstream. A newer incarnation starts with a clean record.
    pub fn track(&mut self, node: &Node, incarnation: Incarnation) {
        let known = self.records.get(node).map(|record| record.incarnation);
        if known.is_some_and(|known| known >= incarnation) {
            return;
        }
        self.untrack(node);
        let record = Record::new(incarnation);
        self.failure_rate.add(record.failure_rate);
        self.log_slowdown.add(record.log_slowdown);
        self.records.insert(node.clone(), record);
    }

    /// Stops tracking an upstream.
    pub fn untrack(&mut self, node: &Node) {
        let Some(record) = self.records.remove(node) else {
            return;
        };
        self.failure_rate.remove(record.failure_rate);
        self.log_slowdown.remove(record.log_slowdown);
        self.out_of_rotation -= usize::from(record.is_out_of_rotation());
    }

    /// Records an observation. Returns the upstream's new standing if it changed.
    pub fn observe<R: Rng>(
        &mut self,
        node: &Node,
        observation: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        let record = self.records.get_mut(node)?;
        let (failure_rate, log_slowdown) = (record.failure_rate, record.log_slowdown);
        record.observe(observation, &self.settings);
        self.failure_rate.replace(failure_rate, record.failure_rate);
        self.log_slowdown.replace(log_slowdown, record.log_slowdown);
        match record.state {
            State::Normal => self.eject_if_outlier(node, now, rng),
            State::Trial { good } => self.continue_trial(node, good, observation, now, rng),
            State::Ejected { .. } => None,
        }
    }

    /// Puts one upstream whose ejection has expired on trial and returns it. Call this
    /// until it returns `None`.
    pub fn readmit(&mut self, now: Duration) -> Option<Node> {
        if self.out_of_rotation == 0 {
            return None;
        }
        let expired =
            |record: &Record| matches!(record.state, State::Ejected { until } if until <= now);
        let (node, record) = self
            .records
            .iter_mut()
            .find(|(_, record)| expired(record))?;
        self.failure_rate.replace(record.failure_rate, 0.0);
        self.log_slowdown.replace(record.log_slowdown, 0.0);
        record.begin_trial();
        Some(node.clone())
    }

    /// Whether as many requests in a row failed at an upstream as the settings require
    /// for an ejection. Such an upstream may still be in rotation, if no more upstreams
    /// may be ejected or the others fail as well.
    pub fn is_suspect(&self, node: &Node) -> bool {
        let record = self.records.get(node);
        record.is_some_and(|record| record.is_suspect(&self.settings))
    }

    /// Number of upstreams that are ejected or on trial.
    pub fn out_of_rotation(&self) -> usize {
        self.out_of_rotation
    }

    /// Largest number of upstreams that may be ejected or on trial at a time.
    pub fn max_out_of_rotation(&self) -> usize {
        let tracked = self.records.len();
        let allowed = (tracked as f64 * self.settings.max_out_share).floor() as usize;
        allowed.max(1).min(tracked.saturating_sub(1))
    }

    fn eject_if_outlier<R: Rng>(
        &mut self,
        node: &Node,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        let record = self.records.get(node)?;
        let others_failure_rate = self.failure_rate.mean_without(record.failure_rate);
        let others_log_slowdown = self.log_slowdown.mean_without(record.log_slowdown);
        if !record.is_outlier(others_failure_rate, others_log_slowdown, &self.settings)
            || self.out_of_rotation >= self.max_out_of_rotation()
        {
            return None;
        }
        self.out_of_rotation += 1;
        self.eject(node, now, rng)
    }

    fn continue_trial<R: Rng>(
        &mut self,
        node: &Node,
        good: u32,
        observation: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        if !observation.is_good(&self.settings) {
            return self.eject(node, now, rng);
        }
        let record = self.records.get_mut(node)?;
        if good + 1 < self.settings.trial_successes {
            record.state = State::Trial { good: good + 1 };
            return None;
        }
        record.state = State::Normal;
        self.out_of_rotation -= 1;
        Some(Standing::Normal)
    }

    fn eject<R: Rng>(&mut self, node: &Node, now: Duration, rng: &mut R) -> Option<Standing> {
        let record = self.records.get_mut(node)?;
        if now.saturating_sub(record.readmitted) > self.settings.max_ejection_time {
            record.ejections = 0;
        }
        let backoff = self.settings.backoff(record.ejections, rng);
        record.ejections += 1;
        record.readmitted = now + backoff;
        record.state = State::Ejected {
            until: now + backoff,
        };
        Some(Standing::Ejected)
    }
}

impl Observation {
    fn is_good(&self, settings: &Settings) -> bool {
        match self {
            Observation::Good { run, expected } => {
                expected.is_none_or(|expected| *run < expected.mul_f64(settings.slow_factor))
            }
            Observation::Overdue { .. } | Observation::Bad | Observation::Refused => false,
        }
    }
}

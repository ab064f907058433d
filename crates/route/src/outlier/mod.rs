//! Ejection of upstreams that answer but do the work badly.
//!
//! An upstream that fails every task ends them soonest and would be sent the
//! most; one that runs ten times slower holds slots that count as fast. Both
//! are judged against the other upstreams of the service, so that a service
//! that fails or slows as a whole ejects nobody, and only a bounded part may be
//! out at a time.
//!
//! The way back is a trial: after a backoff that doubles with each ejection an
//! upstream takes one request at a time, and all its slots again only after
//! several good ones.

mod record;
mod settings;

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};
use rand::Rng;

use self::record::{Average, Record, State};
use crate::view::Standing;

pub use self::settings::{Builder, Settings};

/// How one request to an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    /// It ran to its end within `run`, where `expected` is the median learned
    /// for its kind, if one is.
    Good {
        /// How long it ran.
        run: Duration,
        /// Median run time of its kind.
        expected: Option<Duration>,
    },
    /// It has been running for `elapsed` and has not ended.
    Overdue {
        /// How long it has run so far.
        elapsed: Duration,
        /// Median run time of its kind.
        expected: Duration,
    },
    /// It failed, or nothing came back.
    Bad,
    /// The agent refused it for another reason than its load.
    Refused,
}

/// Judges the upstreams of one service by how requests to them ended.
#[derive(Debug)]
pub struct Detector {
    settings: Settings,
    records: HashMap<Node, Record>,
    failing: Average,
    pace: Average,
    out: usize,
}

impl Detector {
    /// A detector that knows no upstream yet.
    pub fn new(settings: Settings) -> Detector {
        Detector {
            settings,
            records: HashMap::new(),
            failing: Average::default(),
            pace: Average::default(),
            out: 0,
        }
    }

    /// Begins to judge an upstream. A later incarnation starts with a clean
    /// record.
    pub fn track(&mut self, node: &Node, incarnation: Incarnation) {
        let known = self.records.get(node).map(|record| record.incarnation);
        if known.is_some_and(|known| known >= incarnation) {
            return;
        }
        self.untrack(node);
        let record = Record::new(incarnation);
        self.failing.add(record.failing);
        self.pace.add(record.pace);
        self.records.insert(node.clone(), record);
    }

    /// Stops judging an upstream.
    pub fn untrack(&mut self, node: &Node) {
        let Some(record) = self.records.remove(node) else {
            return;
        };
        self.failing.remove(record.failing);
        self.pace.remove(record.pace);
        self.out -= usize::from(record.is_out());
    }

    /// Takes in how a request ended; the upstream's new standing, if it changes.
    pub fn observe<R: Rng>(
        &mut self,
        node: &Node,
        ending: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        let record = self.records.get_mut(node)?;
        let (failing, pace) = (record.failing, record.pace);
        record.take_in(ending, &self.settings);
        self.failing.replace(failing, record.failing);
        self.pace.replace(pace, record.pace);
        match record.state {
            State::Normal => self.judge(node, now, rng),
            State::Trial { good } => self.judge_trial(node, good, ending, now, rng),
            State::Ejected { .. } => None,
        }
    }

    /// An upstream whose time out is over and that is on trial from now on. To
    /// be called until there is none.
    pub fn readmit(&mut self, now: Duration) -> Option<Node> {
        if self.out == 0 {
            return None;
        }
        let over =
            |record: &Record| matches!(record.state, State::Ejected { until } if until <= now);
        let (node, record) = self.records.iter_mut().find(|(_, record)| over(record))?;
        self.failing.replace(record.failing, 0.0);
        self.pace.replace(record.pace, 0.0);
        record.begin_trial();
        Some(node.clone())
    }

    /// Whether an upstream's last requests failed, as many as may eject it.
    pub fn is_suspect(&self, node: &Node) -> bool {
        let record = self.records.get(node);
        record.is_some_and(|record| record.is_suspect(&self.settings))
    }

    /// Upstreams that are ejected or on trial.
    pub fn out_of_rotation(&self) -> usize {
        self.out
    }

    /// Most upstreams that may be ejected or on trial at a time.
    pub fn max_out_of_rotation(&self) -> usize {
        let known = self.records.len();
        let part = (known as f64 * self.settings.max_out_share).floor() as usize;
        part.max(1).min(known.saturating_sub(1))
    }

    fn judge<R: Rng>(&mut self, node: &Node, now: Duration, rng: &mut R) -> Option<Standing> {
        let record = self.records.get(node)?;
        let failing = self.failing.without(record.failing);
        let pace = self.pace.without(record.pace);
        if !record.is_outlier(failing, pace, &self.settings)
            || self.out >= self.max_out_of_rotation()
        {
            return None;
        }
        self.out += 1;
        self.eject(node, now, rng)
    }

    fn judge_trial<R: Rng>(
        &mut self,
        node: &Node,
        good: u32,
        ending: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        if !ending.is_good(&self.settings) {
            return self.eject(node, now, rng);
        }
        let record = self.records.get_mut(node)?;
        if good + 1 < self.settings.trial_successes {
            record.state = State::Trial { good: good + 1 };
            return None;
        }
        record.state = State::Normal;
        self.out -= 1;
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

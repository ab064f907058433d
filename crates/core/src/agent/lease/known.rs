//! The upstream as its reports and answers tell it.

use std::time::{Duration, Instant};

use gentian_platform::heartbeat::{Incarnation, Report};
use gentian_platform::order::Clock;

/// Time without a report after which an upstream takes no new runs.
const SILENT: Duration = Duration::from_secs(5);

/// Looks in a row without an answer after which it gets neither runs nor a
/// lease until it answers or reports again.
const UNANSWERED: u32 = 2;

/// What a report changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum News {
    /// It is older than what is known.
    Old,
    /// The upstream is the same.
    Same,
    /// Another life of the upstream reports.
    Replaced,
}

/// The upstream beside the agent.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub(super) report: Report,
    heard: Instant,
    /// It has said that it ends, or another one answered.
    gone: bool,
    /// Looks in a row that were not answered.
    unanswered: u32,
    clock: Duration,
    clock_at: Instant,
}

impl Known {
    pub(super) fn new(report: Report, now: Instant) -> Known {
        Known {
            clock: report.clock,
            clock_at: now,
            heard: now,
            gone: false,
            unanswered: 0,
            report,
        }
    }

    /// Takes in a report, which may have been held up on its way.
    pub(super) fn take(known: &mut Option<Known>, report: Report, now: Instant) -> News {
        let Some(before) = known else {
            *known = Some(Known::new(report, now));
            return News::Replaced;
        };
        if before.report.incarnation == report.incarnation {
            if report.number <= before.report.number {
                return News::Old;
            }
            before.heard = now;
            before.unanswered = 0;
            before.tick(report.clock, now);
            before.report = report;
            return News::Same;
        }
        let untold = report.incarnation.born_ms == 0;
        if !untold && report.incarnation.born_ms < before.report.incarnation.born_ms {
            return News::Old;
        }
        *known = Some(Known::new(report, now));
        News::Replaced
    }

    pub(super) fn incarnation(&self) -> &Incarnation {
        &self.report.incarnation
    }

    /// Whether it takes new runs.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.heard) > SILENT;
        self.report.ready && !self.gone && !silent && self.answers()
    }

    /// Notes whether a look was answered.
    pub(super) fn answered(&mut self, answered: bool) {
        self.unanswered = if answered { 0 } else { self.unanswered + 1 };
    }

    /// Whether one of the last looks was answered, or none was taken yet.
    pub(super) fn answers(&self) -> bool {
        self.unanswered < UNANSWERED
    }

    /// Notes that it has ended, or is about to.
    pub(super) fn leave(&mut self) {
        self.gone = true;
    }

    /// Whether an answer comes from another life than the one that reported.
    pub(super) fn is_other(&self, clock: Clock) -> bool {
        let born = self.report.incarnation.born_ms;
        born != 0 && clock.born_ms != 0 && clock.born_ms != born
    }

    /// Takes in the upstream's clock, which was read at `now` or before.
    pub(super) fn tick(&mut self, clock: Duration, now: Instant) {
        self.clock = clock;
        self.clock_at = now;
    }

    /// The time `at` on the upstream's clock, or earlier.
    pub(super) fn clock(&self, at: Instant) -> Duration {
        self.clock + at.saturating_duration_since(self.clock_at)
    }
}

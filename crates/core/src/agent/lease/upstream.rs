//! The upstream's state, as known from its heartbeats and its answers to polls.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use gentian::wire::id;
use gentian_platform::heartbeat::{Incarnation, Report};
use gentian_platform::order::Clock;

/// Time without a heartbeat after which an upstream gets no new runs.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of unanswered polls in a row after which an upstream gets neither new
/// runs nor a lease until it answers a poll or reports again.
const MAX_UNANSWERED_POLLS: u32 = 2;

/// Longest time by which a process may have started after the present, by the time of day.
/// Clocks are set back and ahead, but by less.
const MAX_START_AHEAD: Duration = Duration::from_secs(24 * 60 * 60);

/// How a heartbeat changes what is known of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Update {
    /// Not at all: it is older than the last one.
    Stale,
    /// Not at all: it comes from another writer and names no upstream to use.
    Foreign,
    /// It comes from the same incarnation.
    Same,
    /// It comes from another incarnation, or is the first.
    Replaced,
}

/// What is known of the agent's upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) report: Report,
    last_report_at: Instant,
    /// Whether it announced its shutdown, or another incarnation answered an order.
    gone: bool,
    /// Number of polls in a row without an answer since the last heartbeat.
    unanswered_polls: u32,
    /// When a connection to it broke for the first time since it last answered, on the
    /// agent's clock.
    broken_at: Option<Duration>,
    /// When it refused a connection, on the agent's clock; none if it has answered since.
    down_at: Option<Duration>,
    /// The upstream's clock when it was last read.
    last_clock: Duration,
    /// When the agent received that reading, on its own clock.
    last_clock_at: Instant,
}

impl UpstreamState {
    pub(super) fn new(report: Report, now: Instant) -> UpstreamState {
        UpstreamState {
            last_clock: report.clock,
            last_clock_at: now,
            last_report_at: now,
            gone: false,
            unanswered_polls: 0,
            broken_at: None,
            down_at: None,
            report,
        }
    }

    /// Applies a heartbeat, unless a later one has overtaken it on its way, or another writer
    /// has sent it. `services` are those of the configuration, `wall` is the time since the
    /// Unix epoch.
    ///
    /// A process that is known is followed whatever the configuration says of its service.
    pub(super) fn apply_report(
        upstream: &mut Option<UpstreamState>,
        report: Report,
        services: Option<&BTreeSet<id::Service>>,
        wall: Duration,
        now: Instant,
    ) -> Update {
        let is_known = |upstream: &UpstreamState| upstream.incarnation() == &report.incarnation;
        let is_configured =
            |report: &Report| services.is_none_or(|services| services.contains(&report.service));
        let born = Duration::from_millis(report.incarnation.born_ms);
        let had_start = upstream
            .as_ref()
            .is_some_and(|previous| previous.incarnation().born_ms != 0);
        let lacks_start = had_start && born.is_zero();
        let is_possible = is_configured(&report) && born <= wall + MAX_START_AHEAD && !lacks_start;
        if !upstream.as_ref().is_some_and(is_known) && !is_possible {
            return Update::Foreign;
        }
        let Some(previous) = upstream else {
            *upstream = Some(UpstreamState::new(report, now));
            return Update::Replaced;
        };
        if previous.report.incarnation == report.incarnation {
            if report.number <= previous.report.number {
                return Update::Stale;
            }
            previous.last_report_at = now;
            previous.unanswered_polls = 0;
            (previous.broken_at, previous.down_at) = (None, None);
            previous.set_clock(report.clock, now);
            previous.report = report;
            return Update::Same;
        }
        let start_unknown = report.incarnation.born_ms == 0;
        let is_earlier = report.incarnation.born_ms < previous.report.incarnation.born_ms;
        // What was taken before the services were known may have been of another writer.
        if !start_unknown && is_earlier && is_configured(&previous.report) {
            return Update::Stale;
        }
        *upstream = Some(UpstreamState::new(report, now));
        Update::Replaced
    }

    pub(super) fn incarnation(&self) -> &Incarnation {
        &self.report.incarnation
    }

    /// Whether the upstream may be given new runs.
    pub(super) fn is_open(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_report_at) > HEARTBEAT_TIMEOUT;
        self.report.ready && !self.gone && !silent && self.is_responsive()
    }

    /// Records that a connection broke. Returns whether it is the first since the last
    /// answer.
    pub(super) fn record_break(&mut self, now: Duration) -> bool {
        let is_first = self.broken_at.is_none();
        self.broken_at.get_or_insert(now);
        is_first
    }

    /// Records that a connection was refused: the process has ended.
    pub(super) fn mark_down(&mut self, now: Duration) {
        self.down_at.get_or_insert(now);
    }

    /// When the process ended, if it has, as far as that is known.
    pub(super) fn ended_at(&self) -> Option<Duration> {
        let down_at = self.down_at?;
        Some(self.broken_at.map_or(down_at, |at| at.min(down_at)))
    }

    /// Time since it was last heard of.
    pub(super) fn silent_for(&self) -> Duration {
        self.last_clock_at.elapsed()
    }

    /// Whether it announced its end.
    pub(super) fn is_ending(&self) -> bool {
        self.gone || !self.report.ready
    }

    /// Records whether a poll was answered.
    pub(super) fn record_poll(&mut self, answered: bool) {
        if answered {
            (self.broken_at, self.down_at) = (None, None);
        }
        self.unanswered_polls = if answered {
            0
        } else {
            self.unanswered_polls + 1
        };
    }

    /// Whether it accepts connections, and fewer than [`MAX_UNANSWERED_POLLS`] polls in a
    /// row are unanswered.
    pub(super) fn is_responsive(&self) -> bool {
        self.down_at.is_none() && self.unanswered_polls < MAX_UNANSWERED_POLLS
    }

    /// Records that this incarnation has ended or is about to.
    pub(super) fn mark_gone(&mut self) {
        self.gone = true;
    }

    /// Whether an answer with this clock comes from another incarnation than the one
    /// that reported. False if either start time is unknown.
    pub(super) fn is_other_incarnation(&self, clock: Clock) -> bool {
        let born = self.report.incarnation.born_ms;
        born != 0 && clock.born_ms != 0 && clock.born_ms != born
    }

    /// Records a reading of the upstream's clock, taken at `now` or before.
    pub(super) fn set_clock(&mut self, clock: Duration, now: Instant) {
        self.last_clock = clock;
        self.last_clock_at = now;
    }

    /// The upstream's clock at `at`. The result may be too early, by the time that
    /// the last reading was on its way.
    pub(super) fn clock_at(&self, at: Instant) -> Duration {
        self.last_clock + at.saturating_duration_since(self.last_clock_at)
    }
}

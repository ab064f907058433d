//! The upstream's state, as known from its heartbeats and its answers to polls.

use std::collections::BTreeSet;
use std::time::Duration;

use gentian::claim::run::Replacement;
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
    /// It is the first.
    First,
    /// It comes from another incarnation.
    Replaced(Replacement),
}

/// What is known of the agent's upstream.
#[derive(Clone, Debug)]
pub(super) struct UpstreamState {
    pub(super) report: Report,
    last_report_at: Duration,
    /// Whether it announced its shutdown, or another incarnation answered an order.
    gone: bool,
    /// Whether another incarnation answered an order.
    replaced: bool,
    /// Whether it has answered a poll. A heartbeat alone may be of another writer.
    confirmed: bool,
    /// Whether it has sent a heartbeat. Before, its service and its capacity are not known.
    reported: bool,
    /// Number of polls in a row without an answer since the last heartbeat.
    unanswered_polls: u32,
    /// When a connection to it broke for the first time since it last answered, on the
    /// agent's clock.
    broken_at: Option<Duration>,
    /// When it refused a connection, on the agent's clock; none if it has answered since.
    down_at: Option<Duration>,
    /// When it was last heard of.
    last_heard_at: Duration,
}

impl UpstreamState {
    pub(super) fn new(report: Report, now: Duration) -> UpstreamState {
        UpstreamState {
            last_heard_at: now,
            last_report_at: now,
            gone: false,
            replaced: false,
            confirmed: false,
            reported: true,
            unanswered_polls: 0,
            broken_at: None,
            down_at: None,
            report,
        }
    }

    /// The process that answered an order under the id of `former`, and has not reported yet.
    pub(super) fn answered(former: &UpstreamState, clock: Clock, now: Duration) -> UpstreamState {
        let mut report = former.report.clone();
        report.incarnation.born_ms = clock.born_ms;
        report.clock = clock.now;
        UpstreamState {
            reported: false,
            ..UpstreamState::new(report, now)
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
        now: Duration,
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
            return Update::First;
        };
        if previous.report.incarnation == report.incarnation {
            if previous.reported && report.number <= previous.report.number {
                return Update::Stale;
            }
            previous.reported = true;
            previous.last_report_at = now;
            previous.unanswered_polls = 0;
            (previous.broken_at, previous.down_at) = (None, None);
            previous.mark_heard(now);
            previous.report = report;
            return Update::Same;
        }
        let start_unknown = report.incarnation.born_ms == 0;
        let is_earlier = report.incarnation.born_ms < previous.report.incarnation.born_ms;
        // What was taken before the services were known may have been of another writer, as may
        // a heartbeat of a process that answers nothing.
        let is_credible =
            is_configured(&previous.report) && (previous.confirmed || previous.is_responsive());
        if !start_unknown && is_earlier && is_credible {
            return Update::Stale;
        }
        let same_id = previous.incarnation().id == report.incarnation.id;
        // The heartbeat itself may be of another writer.
        let former_ended = previous.replaced;
        *upstream = Some(UpstreamState::new(report, now));
        Update::Replaced(Replacement {
            same_id,
            former_ended,
        })
    }

    pub(super) fn incarnation(&self) -> &Incarnation {
        &self.report.incarnation
    }

    /// Whether the upstream may be given new runs.
    pub(super) fn is_open(&self, now: Duration) -> bool {
        self.reported && self.report.ready && self.is_reachable(now)
    }

    /// Whether it is there and answers.
    pub(super) fn is_reachable(&self, now: Duration) -> bool {
        let silent = now.saturating_sub(self.last_report_at) > HEARTBEAT_TIMEOUT;
        !self.gone && !silent && self.is_responsive()
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
    pub(super) fn silent_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.last_heard_at)
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

    /// Records that this incarnation is about to end.
    pub(super) fn mark_gone(&mut self) {
        self.gone = true;
    }

    /// Records that another incarnation has answered an order.
    pub(super) fn mark_replaced(&mut self) {
        (self.gone, self.replaced) = (true, true);
    }

    /// Whether another incarnation has answered an order.
    pub(super) fn is_replaced(&self) -> bool {
        self.replaced
    }

    /// Whether it has answered a poll.
    pub(super) fn is_confirmed(&self) -> bool {
        self.confirmed
    }

    /// Records that it has answered a poll.
    pub(super) fn mark_confirmed(&mut self) {
        self.confirmed = true;
    }

    /// Whether it may be granted a lease. One that is unresponsive may not, so that its runs
    /// lapse; nor may a process that has not answered a poll, since its clock is not known.
    pub(super) fn may_hold_lease(&self) -> bool {
        self.is_responsive() && !self.replaced && self.confirmed
    }

    /// Whether an answer with this clock comes from another incarnation than the one
    /// that reported. False if either start time is unknown.
    pub(super) fn is_other_incarnation(&self, clock: Clock) -> bool {
        let born = self.report.incarnation.born_ms;
        born != 0 && clock.born_ms != 0 && clock.born_ms != born
    }

    /// Records that it was heard of.
    pub(super) fn mark_heard(&mut self, now: Duration) {
        self.last_heard_at = now;
    }
}

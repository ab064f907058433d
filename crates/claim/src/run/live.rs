//! State of one run that is, or may be, at the upstream.

use std::sync::Arc;
use std::time::Duration;

use gentian_wire::need::Need;

use super::{Fate, Isolation, Owner, Refusal, Requirement, Start, STOP_RETRY_INTERVAL};

/// A run counts as slow, and its progress is reported, once it has taken this many
/// times its estimated run time.
const SLOW_FACTOR: f64 = 1.5;

/// What the agent knows about whether a run is at the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The upstream has not answered the start yet, nor has a poll listed the run.
    Starting,
    /// The upstream runs it. Polls with a number above `after` must list the run.
    Running { after: u64 },
    /// The start got no answer, so the run may have begun or may yet begin. After the
    /// time `until` it can't begin any more, nor once the upstream has answered a stop of
    /// the run. Polls with a number above `after`, which is set by that answer, then show
    /// whether the run has begun.
    Unanswered { until: Duration, after: Option<u64> },
    /// It is at a former process of the upstream, which may have it until then. If the present
    /// process has the id of that one, a list of it shows that the former has ended.
    Former { until: Duration, same_id: bool },
}

/// One run that is, or may be, at the upstream.
#[derive(Clone, Debug)]
pub(super) struct LiveRun {
    pub(super) owner: Owner,
    pub(super) need: Need,
    pub(super) job: Arc<str>,
    pub(super) queue: Arc<str>,
    pub(super) isolation: Isolation,
    pub(super) requirement: Requirement,
    /// When the run was admitted.
    pub(super) admitted_at: Duration,
    /// When the order to start it was first sent to the upstream.
    pub(super) sent_at: Option<Duration>,
    pub(super) phase: Phase,
    /// Whether the run is to be stopped.
    pub(super) stop_requested: bool,
    /// When its owner gave it up. The owner counts on its end within a bounded time.
    pub(super) given_up_at: Option<Duration>,
    /// When the last stop was sent to the upstream.
    pub(super) stop_sent_at: Option<Duration>,
    /// Number of the last poll that began before the run was admitted.
    polls_before: u64,
    /// Whether a poll that began later was answered without listing the run, or the
    /// upstream has been replaced: without an answer to its start the run is then stopped.
    pub(super) unlisted: bool,
    /// Its phase if its start gets no answer, since the upstream's process was replaced
    /// meanwhile.
    pub(super) phase_after_replacement: Option<Phase>,
    /// Whether the upstream's present process has listed it. The answer to a start doesn't tell
    /// which process gave it.
    pub(super) listed: bool,
    /// Whether its start got no answer, even if a poll found the run since.
    pub(super) start_unanswered: bool,
    /// Progress at the last poll that listed it.
    pub(super) percent: u32,
    /// Time of the last poll that listed it.
    pub(super) last_found_at: Duration,
    /// Expected run time; `Duration::MAX` if unknown.
    pub(super) estimate: Duration,
}

impl LiveRun {
    /// A run that is admitted now; `polls` is the number of the last poll that has begun.
    pub(super) fn new(owner: Owner, start: Start, polls: u64, now: Duration) -> LiveRun {
        LiveRun {
            owner,
            need: start.need,
            job: start.job,
            queue: start.queue,
            isolation: start.isolation,
            requirement: start.requirement,
            admitted_at: now,
            sent_at: None,
            phase: Phase::Starting,
            stop_requested: false,
            given_up_at: None,
            stop_sent_at: None,
            polls_before: polls,
            unlisted: false,
            phase_after_replacement: None,
            listed: false,
            start_unanswered: false,
            percent: 0,
            last_found_at: now,
            estimate: Duration::MAX,
        }
    }

    /// Records that its owner wants the run no longer.
    pub(super) fn give_up(&mut self, now: Duration) {
        self.stop_requested = true;
        self.given_up_at.get_or_insert(now);
    }

    /// Whether a stop is to be sent to the upstream now.
    pub(super) fn stop_is_due(&self, now: Duration) -> bool {
        let sent = self.stop_sent_at;
        let again = sent.is_none_or(|at| now >= at + STOP_RETRY_INTERVAL);
        let is_there = matches!(self.phase, Phase::Running { .. } | Phase::Unanswered { .. });
        self.stop_requested && again && is_there
    }

    /// Records that the start got no answer. The run is stopped once a poll doesn't list
    /// it: before that, it may well have begun and only the answer be lost.
    pub(super) fn set_unanswered(&mut self, until: Duration) {
        let unanswered = Phase::Unanswered { until, after: None };
        self.phase = self.phase_after_replacement.unwrap_or(unanswered);
        self.start_unanswered = true;
        self.stop_requested |= self.unlisted;
    }

    /// Records that the given poll did not list the run.
    pub(super) fn not_found(&mut self, poll: u64) {
        self.unlisted |= poll > self.polls_before;
        if matches!(self.phase, Phase::Unanswered { .. }) {
            self.stop_requested |= self.unlisted;
        }
    }

    /// Records that the given poll listed the run. Returns how long the progress since
    /// the run was listed last was expected to take and how long it took, both in
    /// seconds; `None` without an estimate.
    pub(super) fn found(&mut self, percent: u32, poll: u64, now: Duration) -> Option<(f64, f64)> {
        let done = f64::from(percent.saturating_sub(self.percent)) / 100.0;
        let took = now.saturating_sub(self.last_found_at).as_secs_f64();
        let known = self.estimate != Duration::MAX;
        let progress_times = known.then_some((done * self.estimate.as_secs_f64(), took));
        self.percent = percent;
        self.last_found_at = now;
        self.listed = true;
        if !matches!(self.phase, Phase::Running { .. }) {
            self.phase = Phase::Running { after: poll };
            self.admitted_at = self.admitted_at.min(now);
        }
        progress_times
    }

    /// The fate of the run, given that the poll of the given number did not list
    /// it; `None` if that proves nothing.
    pub(super) fn missing(&self, poll: u64, now: Duration) -> Option<Fate> {
        match self.phase {
            Phase::Starting => None,
            Phase::Former { until, .. } => (now > until).then_some(Fate::Lost),
            Phase::Running { after } => (poll > after).then_some(Fate::Lost),
            Phase::Unanswered { until, after } => {
                let never_begins = now > until || after.is_some_and(|after| poll > after);
                never_begins.then_some(Fate::Refused(Refusal::NoAnswer))
            }
        }
    }

    /// Moves the time by which it is certainly gone, or can't begin any more.
    pub(super) fn postpone_end(&mut self, by: Duration) {
        let phases = [Some(&mut self.phase), self.phase_after_replacement.as_mut()];
        for phase in phases.into_iter().flatten() {
            if let Phase::Unanswered { until, .. } | Phase::Former { until, .. } = phase {
                *until += by;
            }
        }
    }

    /// When it is certainly gone from the upstream, unless it is found there before, given the
    /// time at which all runs are gone whose lease has lapsed; `None` while its start is
    /// under way.
    pub(super) fn gone_at(&self, all_gone_at: Duration) -> Option<Duration> {
        match self.phase {
            Phase::Starting => None,
            Phase::Running { .. } => Some(all_gone_at),
            Phase::Unanswered { until, .. } => Some(all_gone_at.max(until)),
            Phase::Former { until, .. } => Some(until),
        }
    }

    /// Whether it has run for longer than `SLOW_FACTOR` times its estimate.
    pub(super) fn is_slow(&self, now: Duration) -> bool {
        let ran = now.saturating_sub(self.admitted_at);
        self.estimate != Duration::MAX && ran > self.estimate.mul_f64(SLOW_FACTOR)
    }
}

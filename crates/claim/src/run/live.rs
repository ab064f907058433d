//! One run that is at the upstream, or may be.

use std::time::Duration;

use gentian_wire::need::Need;

use super::{Fate, Owner, Refusal, STOP_AGAIN};

/// Progress of a run is told once it has taken this many times its estimate.
const SLOW: f64 = 1.5;

/// How much is known of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// The upstream has not answered the start.
    Starting,
    /// It is there; a look after the given one must list it.
    Running { after: u64 },
    /// The start got no answer. It can't begin any more once a stop was
    /// answered, which looks after the given one follow, or after `until`.
    Unsure { until: Duration, after: Option<u64> },
}

/// One run that is at the upstream, or may be.
#[derive(Clone, Debug)]
pub(super) struct Live {
    pub(super) owner: Owner,
    pub(super) need: Need,
    pub(super) since: Duration,
    pub(super) phase: Phase,
    pub(super) stop: bool,
    pub(super) stopped_at: Option<Duration>,
    /// Whether its start got no answer at first.
    pub(super) unsure: bool,
    pub(super) percent: u32,
    /// When a look found it last.
    pub(super) found_at: Duration,
    pub(super) estimate: Duration,
}

impl Live {
    pub(super) fn new(owner: Owner, need: Need, now: Duration) -> Live {
        Live {
            owner,
            need,
            since: now,
            phase: Phase::Starting,
            stop: false,
            stopped_at: None,
            unsure: false,
            percent: 0,
            found_at: now,
            estimate: Duration::MAX,
        }
    }

    /// Whether the upstream is to be told now that it shall stop the run.
    pub(super) fn stop_is_due(&self, now: Duration) -> bool {
        let sent = self.stopped_at;
        let again = sent.is_none_or(|at| now >= at + STOP_AGAIN);
        self.stop && again && !matches!(self.phase, Phase::Starting)
    }

    /// Notes that a look found the run; the work done since the last look, as
    /// the time that it was expected to take, and the time that it took.
    pub(super) fn found(&mut self, percent: u32, look: u64, now: Duration) -> Option<(f64, f64)> {
        let done = f64::from(percent.saturating_sub(self.percent)) / 100.0;
        let took = now.saturating_sub(self.found_at).as_secs_f64();
        let known = self.estimate != Duration::MAX;
        let step = known.then_some((done * self.estimate.as_secs_f64(), took));
        self.percent = percent;
        self.found_at = now;
        if matches!(self.phase, Phase::Unsure { .. }) {
            self.phase = Phase::Running { after: look };
            self.since = self.since.min(now);
        }
        step
    }

    /// What it means that the look of the given number did not find the run.
    pub(super) fn missing(&self, look: u64, now: Duration) -> Option<Fate> {
        match self.phase {
            Phase::Starting => None,
            Phase::Running { after } => (look > after).then_some(Fate::Lost),
            Phase::Unsure { until, after } => {
                let shut = now > until || after.is_some_and(|after| look > after);
                shut.then_some(Fate::Refused(Refusal::NoAnswer))
            }
        }
    }

    /// Whether it has run longer than expected.
    pub(super) fn is_slow(&self, now: Duration) -> bool {
        let ran = now.saturating_sub(self.since);
        self.estimate != Duration::MAX && ran > self.estimate.mul_f64(SLOW)
    }
}

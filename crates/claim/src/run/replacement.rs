//! What becomes of the runs when another process takes the upstream's place.

use std::time::Duration;

use super::live::{LiveRun, Phase};
use super::pace::Pace;
use super::{max_orphan_lifetime, Run, RunEnd, Runs};

/// Longest time after which an order that got no answer may still be carried out.
pub const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// What is known of a process that takes the place of the upstream's former process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Replacement {
    /// Whether it has the id of the former process, so that it carries out orders that were
    /// sent to that one.
    pub same_id: bool,
    /// Whether the former process has certainly ended: another one has answered an order. A
    /// heartbeat is no proof, since another writer may have sent it.
    pub former_ended: bool,
}

impl Runs {
    /// Ends the runs that are over with the upstream's former process. The caller uses a
    /// higher fencing token from now on.
    ///
    /// If the former process may still be there, its runs count until their lease has lapsed,
    /// or until [`former_ended`](Self::former_ended).
    ///
    /// A process that has the id of the former one may have carried out orders before it was
    /// known. A run whose start was answered, and which the former process has not listed, may
    /// be at either: the next list shows which. Starts without an answer may still be carried
    /// out by the new process, to which the deadlines of the former one mean nothing. They are
    /// stopped there like any other run whose start got no answer.
    pub fn upstream_replaced(&mut self, replacement: Replacement, now: Duration) -> Vec<RunEnd> {
        let former_gone_at = self.all_gone_at();
        let same_id = replacement.same_id;
        self.last_seen_end = 0;
        self.unknown_runs.clear();
        self.unknown_since = None;
        self.lost_in_silence.clear();
        self.completed_jobs = 0;
        // The answer to a poll shows what the new process runs, and that it has seen the
        // higher token.
        self.complete = false;
        // The former process may turn out to be the present one.
        self.gone_at = match replacement.former_ended {
            true => Duration::ZERO,
            false => former_gone_at,
        };
        self.pending_grants.clear();
        self.pace = Pace::default();
        let former = Phase::Former {
            until: former_gone_at,
            same_id,
        };
        // What the new process may have begun holds a lease of its own.
        let new_gone_at = self.gone_at.max(now + max_orphan_lifetime());
        let mut gone: Vec<Run> = Vec::new();
        for (run, live) in &mut self.live {
            let was_listed = std::mem::take(&mut live.listed);
            match live.phase {
                // Its start may have been answered by either process.
                Phase::Running { .. } if same_id && !was_listed => {
                    self.gone_at = new_gone_at;
                }
                Phase::Running { .. } if replacement.former_ended => gone.push(run.clone()),
                Phase::Running { .. } => live.phase = former,
                Phase::Starting | Phase::Unanswered { .. } if same_id => {
                    self.gone_at = new_gone_at;
                    live.may_begin_at_new_process(now);
                }
                Phase::Starting => live.phase_after_replacement = Some(former),
                Phase::Unanswered { .. } => live.phase = former,
                Phase::Former {
                    until,
                    same_id: had,
                } => {
                    let same_id = had && same_id;
                    live.phase = Phase::Former { until, same_id };
                }
            }
        }
        self.end_all(&gone, now)
    }

    /// Ends the runs of the former process, since one with its id has answered an order.
    pub fn former_ended(&mut self, now: Duration) -> Vec<RunEnd> {
        let at_former = |live: &LiveRun| matches!(live.phase, Phase::Former { same_id: true, .. });
        let gone = self.live.iter().filter(|(_, live)| at_former(live));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        self.end_all(&gone, now)
    }
}

impl LiveRun {
    /// Records that a start of the run may be carried out by a new process that has the id of
    /// the one that it was sent to.
    fn may_begin_at_new_process(&mut self, now: Duration) {
        let unanswered = Phase::Unanswered {
            until: now + MAX_ORDER_DELAY,
            after: None,
        };
        self.phase_after_replacement = Some(unanswered);
        self.unlisted = true;
        if matches!(self.phase, Phase::Unanswered { .. }) {
            self.phase = unanswered;
            self.stop_requested = true;
            self.stop_sent_at = None;
        }
    }
}

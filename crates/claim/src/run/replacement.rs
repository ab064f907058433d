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
    /// Whether the former process has certainly ended.
    pub former_ended: bool,
}

impl Runs {
    /// Ends the runs that are over with the upstream's former process. The caller uses a
    /// higher fencing token from now on.
    ///
    /// If the former process may still be there, its runs count until their lease has lapsed.
    /// Starts without an answer may still be carried out by the new process if it has the id
    /// of the old one, whose deadlines mean nothing to it. They are stopped there like any
    /// other run whose start got no answer.
    pub fn upstream_replaced(&mut self, replacement: Replacement, now: Duration) -> Vec<RunEnd> {
        let former_gone_at = self.all_gone_at();
        self.last_seen_end = 0;
        self.unknown_runs.clear();
        self.unknown_since = None;
        self.lost_in_silence.clear();
        self.completed_jobs = 0;
        // The answer to a poll shows what the new process runs, and that it has seen the
        // higher token.
        self.complete = false;
        self.gone_at = Duration::ZERO;
        self.pending_grants.clear();
        self.pace = Pace::default();
        let mut gone: Vec<Run> = Vec::new();
        for (run, live) in &mut self.live {
            match live.phase {
                Phase::Running { .. } if replacement.former_ended => gone.push(run.clone()),
                Phase::Running { .. } => {
                    live.phase = Phase::Former {
                        until: former_gone_at,
                    }
                }
                Phase::Starting | Phase::Unanswered { .. } if replacement.same_id => {
                    self.gone_at = now + max_orphan_lifetime();
                    live.may_begin_at_new_process(now);
                }
                Phase::Starting => {
                    live.phase_after_replacement = Some(Phase::Former {
                        until: former_gone_at,
                    });
                }
                Phase::Unanswered { .. } => {
                    live.phase = Phase::Former {
                        until: former_gone_at,
                    }
                }
                Phase::Former { .. } => {}
            }
        }
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

//! The runs that were at an upstream when it crashed.

use std::time::Duration;

use super::live::{LiveRun, Phase};
use super::{Run, Runs};
use crate::crash::CrashedRun;

impl Runs {
    /// Records that the order to start a run is being sent to the upstream.
    pub fn start_sent(&mut self, run: &Run, now: Duration) {
        if let Some(live) = self.live.get_mut(run) {
            live.sent_at.get_or_insert(now);
        }
    }

    /// The runs that were, or may have been, at the upstream when it crashed: those there
    /// now, and those that were counted as lost since the upstream last answered.
    pub fn crashed(&self, at: Duration) -> Vec<CrashedRun> {
        let live = self
            .live
            .iter()
            .filter_map(|(run, live)| live.crashed(run, at));
        live.chain(self.lost_in_silence.iter().cloned()).collect()
    }
}

impl LiveRun {
    /// The run as one that was at the upstream at the time `at`; `None` if it had not been
    /// sent there by then.
    pub(super) fn crashed(&self, run: &Run, at: Duration) -> Option<CrashedRun> {
        let began = match self.phase {
            Phase::Former { .. } => return None,
            Phase::Starting | Phase::Unanswered { .. } => {
                self.sent_at.filter(|sent| *sent <= at)?
            }
            Phase::Running { .. } => self.sent_at.unwrap_or(self.admitted_at),
        };
        Some(CrashedRun {
            run: run.clone(),
            job: self.job.clone(),
            queue: self.queue.clone(),
            age: at.saturating_sub(began),
        })
    }
}

//! Capacity that is kept free for urgent jobs, as [`gentian::limit::headroom`] decides.

use std::time::Duration;

use gentian::limit::job_queue::{Objective, Rank};
use gentian::route::placement::Capacity;
use gentian::wire::need::Constraints;

use super::super::job::{Lane, Submission};
use super::{crashes, State};

/// Cores of a lane's upstreams that no task uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Spare {
    /// All of them.
    pub(super) free: f64,
    /// Those that are kept for more urgent jobs.
    pub(super) kept: f64,
}

impl State {
    /// Records what an arriving job needs, from which follows how much capacity is kept free
    /// for others like it.
    pub(in crate::entry::lease) fn record_demand(
        &mut self,
        submission: &Submission,
        objective: &Objective,
        lane: &Lane,
    ) {
        let now = self.origin.elapsed();
        let priority = submission.queue.priority;
        let cores = submission.widest_step_cores();
        let headroom = self.headrooms.entry(lane.clone()).or_default();
        headroom.observe(priority, cores, objective.max_wait(), now);
    }

    /// Cores of the upstreams that take runs of a lane.
    pub(super) fn capacity(&self, lane: &Lane) -> Capacity {
        let any = Constraints::default();
        let pool = crashes::pool(&self.bulkheads, &self.placer, lane, &any);
        self.placer.capacity(&lane.service, pool)
    }

    /// The spare cores of a lane with this capacity, for a job of this priority that has waited
    /// so long.
    pub(super) fn spare(
        &self,
        lane: &Lane,
        capacity: Capacity,
        priority: u32,
        waited: Duration,
    ) -> Spare {
        let now = self.origin.elapsed();
        let kept = match self.headrooms.get(lane) {
            Some(headroom) => headroom.kept(priority, waited, capacity.total, now),
            // No job has arrived in this lane, so none is expected.
            None => 0.0,
        };
        Spare {
            free: capacity.free,
            kept,
        }
    }

    /// Whether a waiting job may start beside what is kept free for more urgent ones.
    pub(super) fn has_headroom(&self, lane: &Lane, capacity: Capacity, rank: &Rank) -> bool {
        let waited = self.jobs[&rank.arrival].arrived_at.elapsed();
        let spare = self.spare(lane, capacity, rank.priority, waited);
        spare.free >= spare.kept
    }
}

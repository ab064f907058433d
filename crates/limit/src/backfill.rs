//! Which waiting jobs are tried after others have found no room.
//!
//! The load that this answers: nearly all upstreams are full, and tasks differ in what they
//! need. If the first waiting job stopped those behind it, small pieces of free capacity
//! would lie idle until a large one comes. A job that finds no room is passed over instead,
//! and one behind it with a smaller task may use what the first can't. The first keeps its
//! place, and is tried first each time that capacity becomes free.

use gentian_wire::need::Need;

/// Most jobs that are looked at, which bounds the time that one pass takes.
const MAX_JOBS: usize = 64;

/// Most searches for an upstream that may fail in one pass; each looks at all of them.
const MAX_SEARCHES: usize = 6;

/// One pass over the waiting jobs.
#[derive(Clone, Debug, Default)]
pub struct Backfill {
    /// What tasks needed that have found no room.
    without_room: Vec<Need>,
    /// Number of searches that failed.
    searches: usize,
    /// Number of jobs passed over.
    jobs: usize,
}

impl Backfill {
    /// Whether room is to be sought for a task with this need: none that needs as little or
    /// less has found any in this pass.
    pub fn may_fit(&self, need: Need) -> bool {
        let mut smaller = self.without_room.iter();
        !smaller.any(|blocked| blocked.fits(need))
    }

    /// Records that there is no room for a task with this need.
    pub fn record_no_room(&mut self, need: Need) {
        self.without_room.push(need);
        self.searches += 1;
    }

    /// Records that there is room for a task only where it would end too late, which says
    /// nothing of others.
    pub fn record_late(&mut self) {
        self.searches += 1;
    }

    /// Whether a job was passed over.
    pub fn has_passed_over(&self) -> bool {
        self.jobs > 0
    }

    /// Passes over a job. Returns whether to look at the next one.
    pub fn pass_over(&mut self) -> bool {
        self.jobs += 1;
        self.jobs < MAX_JOBS && self.searches < MAX_SEARCHES
    }
}

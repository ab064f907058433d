//! One upstream, as an entry knows it.

use std::time::Duration;

use gentian_wire::id::Service;
use gentian_wire::need::{Need, Wish};

use super::{FAR_WEIGHT, PACE_WEIGHT, SUSPECT_WEIGHT, TRIAL_TASKS};
use crate::view::Standing;

/// Weight of the newest run in an upstream's ratio of run times.
const PACE_NEWEST: f64 = 0.05;

/// Slowest and fastest pace that is believed.
const PACE: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// What an agent tells of its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// What the upstream serves.
    pub service: Service,
    /// What it has.
    pub capacity: Need,
    /// What the runs of other entries take of it.
    pub used_by_others: Need,
    /// Whether it takes new runs.
    pub accepts_runs: bool,
    /// Time that runs take there over what was expected of them, where known.
    pub run_time_ratio: Option<f64>,
    /// What it is and where, in words that tasks may ask for.
    pub labels: Vec<String>,
}

impl UpstreamReport {
    fn has(&self, label: &Option<String>) -> bool {
        label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label))
    }

    /// Whether it is one that a task may run at.
    pub(super) fn suits(&self, wish: &Wish) -> bool {
        self.has(&wish.label)
    }

    /// Whether it is where a task would rather run.
    pub(super) fn is_near(&self, wish: &Wish) -> bool {
        self.has(&wish.near)
    }
}

/// One upstream, as an entry knows it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) told: UpstreamReport,
    pub(super) near: bool,
    pub(super) reachable: bool,
    pub(super) standing: Standing,
    /// Its last runs have failed, and it could not be ejected.
    pub(super) suspect: bool,
    own: Need,
    tasks: u32,
    /// Run times over what was expected, once something has run.
    pub(super) run_time_ratio: Option<f64>,
}

impl Peer {
    pub(super) fn new(near: bool, told: UpstreamReport) -> Peer {
        Peer {
            near,
            reachable: true,
            standing: Standing::Normal,
            suspect: false,
            own: Need::default(),
            tasks: 0,
            run_time_ratio: told.run_time_ratio.map(believed),
            told,
        }
    }

    pub(super) fn take(&mut self, near: bool, told: UpstreamReport) {
        self.near = near;
        if let Some(ratio) = told.run_time_ratio {
            self.run_time_ratio = Some(believed(ratio));
        }
        self.told = told;
    }

    /// Whether it takes runs, whatever it makes of them.
    pub(super) fn is_there(&self) -> bool {
        self.told.accepts_runs && self.reachable
    }

    pub(super) fn is_open(&self) -> bool {
        self.is_there() && self.standing != Standing::Ejected
    }

    /// Whether it is to get a task now; as a `last_resort` in spite of its record.
    pub(super) fn takes(&self, need: Need, last_resort: bool) -> bool {
        let trial = self.standing == Standing::Trial && self.tasks >= TRIAL_TASKS;
        let good = self.is_open() && !trial;
        let free = self.told.capacity.minus(self.taken());
        self.is_there() && (good || last_resort) && need.fits(free)
    }

    /// Smaller for upstreams that are to be taken rather.
    pub(super) fn rank(&self, need: Need) -> f64 {
        let load = self.taken().plus(need).share_of(self.told.capacity);
        let far = if self.near { 0.0 } else { FAR_WEIGHT };
        let slow = PACE_WEIGHT * (self.run_time_ratio.unwrap_or(1.0) - 1.0);
        let suspect = if self.suspect { SUSPECT_WEIGHT } else { 0.0 };
        load + slow + far + suspect
    }

    pub(super) fn start(&mut self, need: Need) {
        self.own = self.own.plus(need);
        self.tasks += 1;
    }

    pub(super) fn end(&mut self, need: Need) {
        self.own = self.own.minus(need);
        self.tasks = self.tasks.saturating_sub(1);
    }

    pub(super) fn observe(&mut self, run: Duration, expected: Duration) {
        let ratio = run.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let average = self.run_time_ratio.unwrap_or(1.0);
        self.run_time_ratio = Some(average + PACE_NEWEST * (believed(ratio) - average));
    }

    /// What is this entry's, and what is free.
    pub(super) fn own_share(&self) -> Need {
        self.told.capacity.minus(self.told.used_by_others)
    }

    fn taken(&self) -> Need {
        self.own.plus(self.told.used_by_others)
    }
}

fn believed(run_time_ratio: f64) -> f64 {
    run_time_ratio.clamp(*PACE.start(), *PACE.end())
}

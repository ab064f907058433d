//! State of one upstream, as known to an entry.

use std::sync::Arc;
use std::time::Duration;

use gentian_wire::id::Service;
use gentian_wire::need::{Constraints, Need};

use super::weight::{APART_WEIGHT, ORDER_WEIGHT, REMOTE_WEIGHT, SLOWNESS_WEIGHT, SUSPECT_WEIGHT};
use super::{PlacementRequest, TRIAL_TASKS};
use crate::speed::Speed;
use crate::view::Standing;

/// Weight of the newest run in an upstream's run time ratio.
const NEWEST_RUN_WEIGHT: f64 = 0.05;

/// Range to which run time ratios are clamped.
const RATIO_RANGE: std::ops::RangeInclusive<f64> = 0.5..=20.0;

/// Report of an agent on its upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamReport {
    /// Service that the upstream belongs to.
    pub service: Service,
    /// Total resources.
    pub capacity: Need,
    /// Resources used by the runs of other entries.
    pub used_by_others: Need,
    /// Whether the upstream accepts new runs.
    pub accepts_runs: bool,
    /// Ratio of actual to expected run times at the upstream, if known; above 1 means
    /// slower than expected.
    pub run_time_ratio: Option<f64>,
    /// Labels that tasks may require or prefer, such as the kind or rack.
    pub labels: Vec<String>,
}

impl UpstreamReport {
    /// Whether the upstream has the label; also true if no label is given.
    fn has_label(&self, label: &Option<String>) -> bool {
        label
            .as_ref()
            .is_none_or(|label| self.labels.contains(label))
    }

    /// Whether the upstream has the label that a task requires; also true if the task
    /// requires none.
    pub(super) fn is_suitable(&self, constraints: &Constraints) -> bool {
        self.has_label(&constraints.required_label)
    }

    /// Whether the upstream has the label that a task prefers; also true if the task
    /// prefers none.
    pub(super) fn is_near_data(&self, constraints: &Constraints) -> bool {
        self.has_label(&constraints.preferred_label)
    }
}

/// State of one upstream, as known to an entry.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) report: UpstreamReport,
    /// Whether the agent is in the entry's own data centre.
    pub(super) in_own_data_center: bool,
    /// Position in the entry's own order of the upstreams, from 0 for the first to 1.
    preference: f64,
    pub(super) reachable: bool,
    /// Whether the configuration gives it no work.
    pub(super) denied: bool,
    pub(super) standing: Standing,
    /// Whether enough runs in a row failed for an ejection. Matters while the upstream
    /// stays in rotation because too many others are ejected already.
    pub(super) suspect: bool,
    /// Resources used by this entry's tasks.
    own_use: Need,
    /// Number of this entry's tasks.
    tasks: u32,
    /// The last job whose tasks were to run beside each other here; `None` once all tasks
    /// have ended.
    last_job: Option<Arc<str>>,
    /// Whether no tasks of others may run beside those of that job.
    is_alone: bool,
    /// How fast it runs tasks, for good.
    pub(super) speed: Speed,
    /// Moving average of the ratio of actual to expected run times, replaced by each ratio
    /// that the agent reports; `None` until one is known.
    pub(super) run_time_ratio: Option<f64>,
}

impl Upstream {
    pub(super) fn new(
        in_own_data_center: bool,
        preference: f64,
        report: UpstreamReport,
    ) -> Upstream {
        Upstream {
            in_own_data_center,
            preference,
            reachable: true,
            denied: false,
            standing: Standing::Normal,
            suspect: false,
            own_use: Need::default(),
            tasks: 0,
            last_job: None,
            is_alone: false,
            speed: Speed::default(),
            run_time_ratio: report.run_time_ratio.map(clamp_ratio),
            report,
        }
    }

    /// Applies a report; returns whether a task may start here that could not before.
    pub(super) fn update(&mut self, in_own_data_center: bool, report: UpstreamReport) -> bool {
        let (was_open, was_free) = (self.is_open(), self.free());
        let is_other = report.service != self.report.service || report.labels != self.report.labels;
        self.in_own_data_center = in_own_data_center;
        if let Some(ratio) = report.run_time_ratio {
            self.run_time_ratio = Some(clamp_ratio(ratio));
        }
        self.report = report;
        is_other || (self.is_open() && !was_open) || !self.free().fits(was_free)
    }

    /// Whether the upstream can be given runs, regardless of its standing.
    pub(super) fn is_available(&self) -> bool {
        self.report.accepts_runs && self.reachable && !self.denied
    }

    pub(super) fn is_open(&self) -> bool {
        self.is_available() && self.standing != Standing::Ejected
    }

    /// Whether a task may be placed here now. As a `last_resort` the upstream's standing
    /// is ignored.
    pub(super) fn can_take(&self, request: &PlacementRequest<'_>, last_resort: bool) -> bool {
        let trial_full = self.standing == Standing::Trial && self.tasks >= TRIAL_TASKS;
        let good = self.is_open() && !trial_full;
        let fits = request.need.fits(self.free()) && self.is_beside_allowed(request);
        self.is_available() && (good || last_resort) && fits
    }

    /// Whether a task may run beside those that are here, and they beside it.
    fn is_beside_allowed(&self, request: &PlacementRequest<'_>) -> bool {
        if self.is_alone {
            return self.runs_job(request);
        }
        !request.alone || self.used() == Need::default()
    }

    /// Whether tasks of the request's job, which it is to run beside, are here.
    fn runs_job(&self, request: &PlacementRequest<'_>) -> bool {
        request.beside.is_some() && self.last_job.as_ref() == request.beside
    }

    /// Score for placing a task here; the smallest is best.
    pub(super) fn score(&self, request: &PlacementRequest<'_>) -> f64 {
        let load = self.used().plus(request.need);
        let load = load.share_of(self.report.capacity);
        let slow = SLOWNESS_WEIGHT * (self.run_time_ratio.unwrap_or(1.0) - 1.0);
        let suspect = if self.suspect { SUSPECT_WEIGHT } else { 0.0 };
        let apart = match request.beside {
            Some(_) if !self.runs_job(request) => APART_WEIGHT,
            _ => 0.0,
        };
        load + slow + suspect + apart + self.order_penalty(request.constraints)
    }

    /// Score penalty for the upstream's place in the entry's own order: first those in
    /// its data centre. A task that prefers a label goes by the label, and by the data
    /// centre only.
    fn order_penalty(&self, constraints: &Constraints) -> f64 {
        let remote = !self.in_own_data_center;
        if constraints.preferred_label.is_some() {
            return if remote { REMOTE_WEIGHT } else { 0.0 };
        }
        let local_first = (f64::from(u8::from(remote)) + self.preference) / 2.0;
        ORDER_WEIGHT * local_first
    }

    pub(super) fn add_task(&mut self, request: &PlacementRequest<'_>) {
        self.own_use = self.own_use.plus(request.need);
        self.tasks += 1;
        self.last_job = request.beside.cloned();
        self.is_alone = request.alone;
    }

    pub(super) fn remove_task(&mut self, need: Need) {
        self.own_use = self.own_use.minus(need);
        self.tasks = self.tasks.saturating_sub(1);
        if self.tasks == 0 {
            self.last_job = None;
            self.is_alone = false;
        }
    }

    pub(super) fn observe_run_time(&mut self, run: Duration, expected: Duration) {
        self.speed.observe(run, expected);
        let ratio = run.as_secs_f64() / expected.as_secs_f64().max(1e-3);
        let average = self.run_time_ratio.unwrap_or(1.0);
        self.run_time_ratio = Some(average + NEWEST_RUN_WEIGHT * (clamp_ratio(ratio) - average));
    }

    /// Resources that this entry uses or that are free.
    pub(super) fn own_share(&self) -> Need {
        self.report.capacity.minus(self.report.used_by_others)
    }

    /// Resources that no task uses.
    pub(super) fn free(&self) -> Need {
        self.report.capacity.minus(self.used())
    }

    fn used(&self) -> Need {
        self.own_use.plus(self.report.used_by_others)
    }
}

fn clamp_ratio(ratio: f64) -> f64 {
    ratio.clamp(*RATIO_RANGE.start(), *RATIO_RANGE.end())
}

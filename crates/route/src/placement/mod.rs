//! Placement of tasks by the processor and memory available at upstreams.
//!
//! An entry knows exactly which resources its own tasks use at each upstream, and from
//! the agents' reports what the tasks of other entries used when last reported. A task
//! is placed where a large share of an upstream stays free, with a preference for fast
//! upstreams, so that bursts spread out and slow upstreams fill last. An upstream that
//! fails tasks, or is much slower than the others, gets none for some time (see
//! [`outlier`](crate::outlier)).
//!
//! All entries are told the same, so if each chose by that alone, all of them would send
//! their next tasks to the same few upstreams, which turn most of them away. Each entry
//! therefore has an order of its own, in which it prefers the upstreams: those of its data
//! centre first, and within a data centre by a hash. Entries meet only where the
//! upstreams that they prefer are busy.

mod capacity;
mod moving;
mod queries;
mod request;
mod speeds;
mod upstream;
mod wanted_labels;
mod weight;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::{Constraints, Need};
use rand::Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::outlier::{Detector, Observation, Settings};
use crate::view::Standing;

use upstream::Upstream;
use wanted_labels::WantedLabels;
use weight::{AVOIDED_WEIGHT, AWAY_FROM_DATA_WEIGHT, LATE_WEIGHT, WANTED_LABEL_WEIGHT};

pub use capacity::Capacity;
pub use moving::should_move;
pub use request::{Blocked, Due, PlacementRequest, Result};
pub use upstream::UpstreamReport;

/// Share of the upstreams that may be ejected or on trial at a time.
const MAX_OUT_SHARE: f64 = 0.5;

/// Longest time for which an upstream is ejected, before jitter is added.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(4);

/// Time for which an upstream is ejected at first, before jitter is added.
const MIN_EJECTION_TIME: Duration = Duration::from_millis(1_000);

/// Number of this entry's tasks that an upstream on trial may run at once.
const TRIAL_TASKS: u32 = 1;

/// Chooses upstreams for tasks, from what one entry knows of the upstreams of all
/// services.
#[derive(Debug, Default)]
pub struct Placer {
    /// Hash of the entry's name, which decides the upstreams that it prefers.
    seed: u64,
    upstreams: BTreeMap<Node, Upstream>,
    /// Agents whose upstreams the configuration gives no work, known here or not.
    denied: BTreeSet<Node>,
    wanted_labels: WantedLabels,
    detectors: BTreeMap<Service, Detector>,
    /// Average of the upstreams' logarithms of run time ratios, by service.
    mean_log_ratios: BTreeMap<Service, f64>,
    /// Number of observed run times.
    observed: u64,
}

impl Placer {
    /// Creates the placer of an entry, which knows no upstreams yet.
    pub fn new(entry: &Node) -> Placer {
        Placer {
            seed: xxh3_64_with_seed(entry.as_str().as_bytes(), 0),
            ..Placer::default()
        }
    }

    /// Adds an upstream or updates it from its agent's report; returns whether a task may start
    /// there that could not before. Upstreams in the entry's own data centre are slightly
    /// preferred.
    pub fn update(
        &mut self,
        node: &Node,
        incarnation: Incarnation,
        in_own_data_center: bool,
        report: UpstreamReport,
    ) -> bool {
        let detector = self.detectors.entry(report.service.clone());
        let detector = detector.or_insert_with(|| Detector::new(outlier_settings()));
        detector.track(node, incarnation);
        match self.upstreams.get_mut(node) {
            Some(upstream) => upstream.update(in_own_data_center, report),
            None => {
                let preference = preference(self.seed, node);
                let mut upstream = Upstream::new(in_own_data_center, preference, report);
                upstream.denied = self.denied.contains(node);
                self.upstreams.insert(node.clone(), upstream);
                true
            }
        }
    }

    /// Sets whether an agent can be reached. Nothing is placed at an upstream whose agent
    /// can't be.
    pub fn set_reachable(&mut self, node: &Node, reachable: bool) {
        if let Some(upstream) = self.upstreams.get_mut(node) {
            upstream.reachable = reachable;
        }
    }

    /// Sets the agents whose upstreams are given no tasks; returns whether they are others
    /// than before.
    pub fn deny(&mut self, nodes: BTreeSet<Node>) -> bool {
        if self.denied == nodes {
            return false;
        }
        self.denied = nodes;
        for (node, upstream) in &mut self.upstreams {
            upstream.denied = self.denied.contains(node);
        }
        true
    }

    /// Removes the upstream of an agent.
    pub fn remove(&mut self, node: &Node) {
        let Some(upstream) = self.upstreams.remove(node) else {
            return;
        };
        if let Some(detector) = self.detectors.get_mut(&upstream.report.service) {
            detector.untrack(node);
        }
    }

    /// Chooses an upstream for one task and reserves the task's resources there.
    pub fn place(&mut self, service: &Service, request: &PlacementRequest<'_>) -> Result<Node> {
        let node = self.choose(service, request)?;
        let upstream = self.upstreams.get_mut(&node);
        upstream.ok_or(Blocked::NoRoom)?.add_task(request);
        let preferred = request.constraints.preferred_label.as_deref();
        self.wanted_labels.record_placement(preferred);
        Ok(node)
    }

    fn choose(&self, service: &Service, request: &PlacementRequest<'_>) -> Result<Node> {
        let suitable = || self.suitable(service, request);
        // If every upstream that could be given the task is ejected, an ejected one is used
        // rather than none.
        let last_resort = !suitable().any(|(_, upstream)| upstream.is_open());
        let max_log_ratio = request.due.map_or(f64::INFINITY, Due::max_log_ratio);
        let max_log_ratio = max_log_ratio + self.mean_log_ratio(service);
        let is_late = |upstream: &Upstream| upstream.speed.log_ratio() > max_log_ratio;
        let fitting = suitable().filter(|(_, upstream)| upstream.can_take(request, last_resort));
        let scored = fitting.map(|(node, upstream)| {
            let late = is_late(upstream);
            (self.score(node, upstream, late, request), late, node)
        });
        let best = scored.min_by(|a, b| a.0.total_cmp(&b.0));
        let (_, late, node) = best.ok_or(Blocked::NoRoom)?;
        let could_be_in_time = |upstream: &Upstream| {
            let large_enough = request.need.fits(upstream.report.capacity);
            upstream.is_open() && large_enough && !is_late(upstream)
        };
        if late && suitable().any(|(_, upstream)| could_be_in_time(upstream)) {
            return Err(Blocked::Late);
        }
        Ok(node.clone())
    }

    /// The upstreams that may run a task, whether there is room for it now or not.
    fn suitable<'a>(
        &'a self,
        service: &'a Service,
        request: &'a PlacementRequest<'_>,
    ) -> impl Iterator<Item = (&'a Node, &'a Upstream)> {
        self.of_service(service).filter(|(node, upstream)| {
            request.pool.includes(node)
                && upstream.report.is_suitable(request.constraints)
                && !request.excluded.contains(node)
        })
    }

    /// Score for placing a task at an upstream, where it would end too `late` or in time;
    /// the smallest is best.
    fn score(
        &self,
        node: &Node,
        upstream: &Upstream,
        late: bool,
        request: &PlacementRequest<'_>,
    ) -> f64 {
        let avoided = match request.avoid.contains(node) {
            true => AVOIDED_WEIGHT,
            false => 0.0,
        };
        let lateness = if late { LATE_WEIGHT } else { 0.0 };
        let label = self.label_penalty(upstream, request.constraints);
        avoided + label + lateness + upstream.score(request)
    }

    /// Score penalty for an upstream without the label that the task prefers. A task that
    /// prefers none leaves the upstreams free whose labels other tasks prefer.
    fn label_penalty(&self, upstream: &Upstream, constraints: &Constraints) -> f64 {
        if constraints.preferred_label.is_none() {
            return match self.wanted_labels.include_any(&upstream.report.labels) {
                true => WANTED_LABEL_WEIGHT,
                false => 0.0,
            };
        }
        match upstream.report.is_near_data(constraints) {
            true => 0.0,
            false => AWAY_FROM_DATA_WEIGHT,
        }
    }

    /// Releases the resources of a task.
    pub fn release(&mut self, node: &Node, need: Need) {
        if let Some(upstream) = self.upstreams.get_mut(node) {
            upstream.remove_task(need);
        }
    }

    /// Records an observation of a run. Returns the upstream's new standing if it
    /// changed.
    pub fn observe<R: Rng>(
        &mut self,
        node: &Node,
        observation: Observation,
        now: Duration,
        rng: &mut R,
    ) -> Option<Standing> {
        if let Observation::Good {
            run,
            expected: Some(expected),
        } = observation
        {
            self.observe_run_time(node, run, expected);
        }
        let upstream = self.upstreams.get_mut(node)?;
        let detector = self.detectors.get_mut(&upstream.report.service)?;
        let standing = detector.observe(node, observation, now, rng);
        upstream.suspect = detector.is_suspect(node);
        let standing = standing?;
        upstream.standing = standing;
        Some(standing)
    }

    /// Puts one upstream whose ejection has expired on trial and returns it. Call this
    /// until it returns `None`.
    pub fn readmit(&mut self, now: Duration) -> Option<Node> {
        let node = self
            .detectors
            .values_mut()
            .find_map(|detector| detector.readmit(now))?;
        if let Some(upstream) = self.upstreams.get_mut(&node) {
            upstream.standing = Standing::Trial;
            upstream.suspect = false;
        }
        Some(node)
    }

    fn of_service<'a>(
        &'a self,
        service: &'a Service,
    ) -> impl Iterator<Item = (&'a Node, &'a Upstream)> {
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |(_, upstream)| upstream.report.service == *service)
    }
}

/// Position of an upstream in an entry's own order, from 0 for the first to 1.
fn preference(seed: u64, node: &Node) -> f64 {
    let hash = xxh3_64_with_seed(node.as_str().as_bytes(), seed);
    hash as f64 / u64::MAX as f64
}

fn outlier_settings() -> Settings {
    Settings::builder()
        .min_ejection_time(MIN_EJECTION_TIME)
        .max_ejection_time(MAX_EJECTION_TIME)
        .max_out_share(MAX_OUT_SHARE)
        .build()
}

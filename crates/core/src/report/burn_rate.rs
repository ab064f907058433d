//! Burn rates from counts: how fast the error budget goes.
//!
//! A rate of 1 uses exactly the budget that the objective leaves; at 14.4 the
//! budget of 30 days is gone in two.

use std::collections::BTreeMap;

use gentian_config::document::Objectives;
use gentian_wire::id;
use serde::Serialize;

use super::alert::{self, Alert};
use super::counts::{Counts, Window};
use super::{Series, Snapshot};

/// Objectives are read to one part in this.
const OBJECTIVE_STEPS: f64 = 1e9;

/// Burn of all services and teams, over all entries asked.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// Entries that the counts are from.
    pub(crate) entries: Vec<id::Node>,
    /// Shortest time that an entry has counted, in seconds.
    pub(crate) covered_s: u64,
    /// One row for each service, then one for each of its teams.
    pub(crate) rows: Vec<Row>,
}

/// Burn of one service, or of one team's part in it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) service: id::Service,
    /// None for all teams together.
    pub(crate) team: Option<id::Team>,
    pub(crate) objectives: Objectives,
    pub(crate) windows: BTreeMap<Window, Burn>,
    pub(crate) alerts: Vec<Alert>,
}

/// Burn over one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Burn {
    #[serde(flatten)]
    pub(crate) counts: Counts,
    /// Burn rate of the objective on availability.
    pub(crate) availability: f64,
    /// Burn rate of the objective on latency.
    pub(crate) latency: f64,
}

impl Report {
    /// Adds up the snapshots of all entries.
    pub(crate) fn new(snapshots: &[Snapshot]) -> Report {
        let mut rows: BTreeMap<(id::Service, Option<id::Team>), Series> = BTreeMap::new();
        for series in snapshots.iter().flat_map(|snapshot| &snapshot.series) {
            for team in [None, Some(series.team.clone())] {
                let key = (series.service.clone(), team);
                rows.entry(key)
                    .and_modify(|sum| sum.add(series))
                    .or_insert_with(|| series.clone());
            }
        }
        let entries = snapshots.iter().map(|snapshot| snapshot.entry.clone());
        let covered = snapshots.iter().map(|snapshot| snapshot.covered_s);
        Report {
            entries: entries.collect(),
            covered_s: covered.min().unwrap_or(0),
            rows: rows
                .into_iter()
                .map(|((_, team), series)| Row::new(team, series))
                .collect(),
        }
    }

    /// Alerts that fire, over all rows.
    pub(crate) fn alerts(&self) -> impl Iterator<Item = (&Row, &Alert)> {
        let rows = self.rows.iter();
        rows.flat_map(|row| row.alerts.iter().map(move |alert| (row, alert)))
    }
}

impl Series {
    fn add(&mut self, other: &Series) {
        for (window, counts) in &other.windows {
            let sum = self.windows.entry(*window).or_default();
            *sum = sum.plus(*counts);
        }
    }
}

impl Row {
    fn new(team: Option<id::Team>, series: Series) -> Row {
        let burn = |counts| Burn::new(counts, &series.objectives);
        let windows = series.windows.iter().map(|(w, counts)| (*w, burn(*counts)));
        let windows = windows.collect();
        Row {
            service: series.service,
            team,
            objectives: series.objectives,
            alerts: alert::firing(&windows),
            windows,
        }
    }

    /// The row's name: its service, and its team where it is of one.
    pub(crate) fn name(&self) -> String {
        match &self.team {
            None => self.service.to_string(),
            Some(team) => format!("{} / {team}", self.service),
        }
    }
}

impl Burn {
    fn new(counts: Counts, objectives: &Objectives) -> Burn {
        let done = counts.total - counts.unavailable.min(counts.total);
        Burn {
            counts,
            availability: rate(counts.unavailable, counts.total, objectives.availability),
            latency: rate(counts.slow, done, objectives.latency),
        }
    }
}

/// The bad fraction over the one that the objective allows.
fn rate(bad: u64, total: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / allowed(objective)
}

/// The bad fraction that an objective allows.
fn allowed(objective: f64) -> f64 {
    // 1 - 0.99 is not 0.01 in binary, so that a rule would be missed at its rate.
    let allowed = ((1.0 - objective) * OBJECTIVE_STEPS).round() / OBJECTIVE_STEPS;
    // An objective of 1 allows nothing; one bad answer is then a finite, great rate.
    allowed.max(f64::EPSILON)
}

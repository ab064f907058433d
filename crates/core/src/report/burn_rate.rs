//! Burn rates: how fast services and teams use up their error budgets.
//!
//! A burn rate of 1 uses exactly the error budget that the objective leaves. At 14.4
//! the budget of 30 days is used up in about two days.

use std::collections::BTreeMap;

use gentian_config::document::Objectives;
use gentian_wire::id;
use serde::Serialize;

use super::alert::{self, Alert};
use super::counts::{Counts, Window};
use super::{Series, Snapshot};

/// Error budgets are rounded to a multiple of one in this.
const ERROR_BUDGET_STEPS: f64 = 1e9;

/// Burn rates of all services and teams, over all given entries.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// Names of the entries that the counts come from.
    pub(crate) entries: Vec<id::Node>,
    /// Shortest uptime of the entries, in seconds. For earlier times the counts of at
    /// least one entry are missing.
    pub(crate) covered_s: u64,
    /// One row for each service, each followed by the rows of its teams.
    pub(crate) rows: Vec<Row>,
}

/// Burn rates of one service, or of one team's requests to it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) service: id::Service,
    /// The team; none for all teams together.
    pub(crate) team: Option<id::Team>,
    pub(crate) objectives: Objectives,
    pub(crate) windows: BTreeMap<Window, BurnRates>,
    pub(crate) alerts: Vec<Alert>,
}

/// Burn rates over one window.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct BurnRates {
    #[serde(flatten)]
    pub(crate) counts: Counts,
    /// Burn rate of the availability objective.
    pub(crate) availability: f64,
    /// Burn rate of the latency objective.
    pub(crate) latency: f64,
}

impl Report {
    /// Adds up the snapshots of the entries and computes burn rates and alerts.
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

    /// All alerts that fire, each with its row.
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
        let burn = |counts| BurnRates::new(counts, &series.objectives);
        let windows = series.windows.iter().map(|(w, counts)| (*w, burn(*counts)));
        let windows = windows.collect();
        Row {
            service: series.service,
            team,
            objectives: series.objectives,
            alerts: alert::firing_alerts(&windows),
            windows,
        }
    }

    /// Name of the row: its service and, if it has one, its team.
    pub(crate) fn name(&self) -> String {
        match &self.team {
            None => self.service.to_string(),
            Some(team) => format!("{} / {team}", self.service),
        }
    }
}

impl BurnRates {
    fn new(counts: Counts, objectives: &Objectives) -> BurnRates {
        let done = counts.total - counts.unavailable.min(counts.total);
        BurnRates {
            counts,
            availability: burn_rate(counts.unavailable, counts.total, objectives.availability),
            latency: burn_rate(counts.slow, done, objectives.latency),
        }
    }
}

/// The fraction of bad answers divided by the error budget of the objective.
fn burn_rate(bad: u64, total: u64, objective: f64) -> f64 {
    if total == 0 {
        return 0.0;
    }
    bad as f64 / total as f64 / error_budget(objective)
}

/// The fraction of bad answers that an objective allows.
fn error_budget(objective: f64) -> f64 {
    // 1 - 0.99 is not exactly 0.01 in binary floating point. Without rounding, a burn
    // rate that equals the limit of an alert rule could come out just below it.
    let budget = ((1.0 - objective) * ERROR_BUDGET_STEPS).round() / ERROR_BUDGET_STEPS;
    // An objective of 1 leaves no budget. The lower bound avoids a division by zero: one
    // bad answer gives a very high but finite rate, which JSON can represent.
    budget.max(f64::EPSILON)
}

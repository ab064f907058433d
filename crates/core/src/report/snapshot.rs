//! The answer counts of one entry, as it exports them.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_config::document::Objectives;
use gentian_wire::id;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use super::counts::{AnswerCounts, Counts, Window};

/// All answer counts of one entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Snapshot {
    /// Name of the entry.
    pub(crate) entry: id::Node,
    /// Uptime of the entry in seconds. Counts are lost on restart, so longer windows
    /// are covered only in part.
    pub(crate) covered_s: u64,
    /// Counts by service and team.
    pub(crate) series: Vec<Series>,
}

/// Answer counts of one service and team.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct Series {
    pub(crate) service: id::Service,
    pub(crate) team: id::Team,
    /// Service-level objectives of the service.
    pub(crate) objectives: Objectives,
    /// Counts by window.
    pub(crate) windows: BTreeMap<Window, Counts>,
}

impl Snapshot {
    /// Takes a snapshot of `counts` at `now`, the time since the process started.
    pub(crate) fn take(
        entry: id::Node,
        now: Duration,
        counts: &AnswerCounts,
        objectives: impl Fn(&id::Service) -> Objectives,
    ) -> Snapshot {
        let series = counts.iter().map(|(service, team, windows)| Series {
            service: service.clone(),
            team: team.clone(),
            objectives: objectives(service),
            windows: Window::iter().map(|w| (w, windows.sum(now, w))).collect(),
        });
        let mut series: Vec<Series> = series.collect();
        series.sort_by(|a, b| (&a.service, &a.team).cmp(&(&b.service, &b.team)));
        Snapshot {
            entry,
            covered_s: now.as_secs(),
            series,
        }
    }
}

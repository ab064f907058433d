//! Labels that recently placed tasks preferred.

use std::collections::BTreeMap;

/// Number of placements after which a label that none of them preferred is no longer wanted.
const WANTED_PLACEMENTS: u64 = 64;

/// Labels that one of the last [`WANTED_PLACEMENTS`] placed tasks preferred.
#[derive(Debug, Default)]
pub(super) struct WantedLabels {
    placements: u64,
    /// Number of the last placement that preferred the label.
    last_wanted: BTreeMap<String, u64>,
}

impl WantedLabels {
    /// Counts a placement, with the label that the task preferred.
    pub(super) fn record_placement(&mut self, preferred: Option<&str>) {
        self.placements += 1;
        let oldest = self.placements.saturating_sub(WANTED_PLACEMENTS);
        self.last_wanted.retain(|_, last| *last > oldest);
        if let Some(label) = preferred {
            self.last_wanted.insert(label.to_owned(), self.placements);
        }
    }

    /// Whether any of these labels is wanted.
    pub(super) fn include_any(&self, labels: &[String]) -> bool {
        !self.last_wanted.is_empty()
            && labels
                .iter()
                .any(|label| self.last_wanted.contains_key(label))
    }
}

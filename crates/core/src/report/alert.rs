//! Multi-window, multi-burn-rate alerts.
//!
//! An alert fires while the burn rate reaches its limit over both a long and a short
//! window. The long window ensures that the burn is significant; the short one ends
//! the alert soon after its cause has ended.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::{Display, EnumIter, IntoEnumIterator};

use super::burn_rate::BurnRates;
use super::counts::Window;

/// How urgent an alert is.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Severity {
    /// Needs attention immediately.
    Page,
    /// Needs attention within working hours.
    Ticket,
}

/// A service-level objective.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Objective {
    /// The fraction of answers that are `done`.
    Availability,
    /// The fraction of `done` answers that are within the latency limit.
    Latency,
}

impl Objective {
    /// The burn rate of this objective.
    pub(crate) fn burn_rate(self, burn: &BurnRates) -> f64 {
        match self {
            Objective::Availability => burn.availability,
            Objective::Latency => burn.latency,
        }
    }
}

/// Condition under which an alert fires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Rule {
    pub(crate) severity: Severity,
    pub(crate) long: Window,
    pub(crate) short: Window,
    /// Burn rate that must be reached in both windows.
    pub(crate) rate: f64,
}

/// All rules, from the highest burn rate to the lowest.
pub(crate) const RULES: [Rule; 3] = [
    Rule {
        severity: Severity::Page,
        long: Window::Hour,
        short: Window::FiveMinutes,
        rate: 14.4,
    },
    Rule {
        severity: Severity::Page,
        long: Window::SixHours,
        short: Window::Hour,
        rate: 6.0,
    },
    Rule {
        severity: Severity::Ticket,
        long: Window::ThreeDays,
        short: Window::SixHours,
        rate: 1.0,
    },
];

/// An alert that fires: an objective and the rule that it meets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Alert {
    pub(crate) objective: Objective,
    #[serde(flatten)]
    pub(crate) rule: Rule,
}

/// The firing alerts: for each objective, the first of [`RULES`] that it meets.
pub(super) fn firing_alerts(windows: &BTreeMap<Window, BurnRates>) -> Vec<Alert> {
    let first_met = |objective: Objective| {
        let is_met = |rule: &&Rule| {
            [rule.long, rule.short].iter().all(|window| {
                let burn = windows.get(window);
                burn.is_some_and(|burn| objective.burn_rate(burn) >= rule.rate)
            })
        };
        let rule = RULES.iter().find(is_met)?;
        Some(Alert {
            objective,
            rule: *rule,
        })
    };
    Objective::iter().filter_map(first_met).collect()
}

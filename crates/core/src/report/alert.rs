//! Alerts on several windows and several burn rates.
//!
//! An alert fires while the rate is reached over a long window, which makes it
//! matter, and over a short one as well, which lets it end soon after the cause.

use std::collections::BTreeMap;

use serde::Serialize;
use strum::{Display, EnumIter, IntoEnumIterator};

use super::burn_rate::Burn;
use super::counts::Window;

/// What an alert asks for.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Severity {
    /// Somebody looks at it now.
    Page,
    /// Somebody looks at it in working hours.
    Ticket,
}

/// The objective that burns.
#[derive(Clone, Copy, Debug, Display, EnumIter, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Objective {
    /// The fraction of answers that are `done`.
    Availability,
    /// The fraction of those that are in time.
    Latency,
}

impl Objective {
    /// The burn rate of this objective.
    pub(crate) fn of(self, burn: &Burn) -> f64 {
        match self {
            Objective::Availability => burn.availability,
            Objective::Latency => burn.latency,
        }
    }
}

/// When an alert fires.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Rule {
    pub(crate) severity: Severity,
    pub(crate) long: Window,
    pub(crate) short: Window,
    /// Burn rate that is reached in both windows.
    pub(crate) rate: f64,
}

/// All rules, the fastest burn first.
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

/// A rule that holds for an objective.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct Alert {
    pub(crate) objective: Objective,
    #[serde(flatten)]
    pub(crate) rule: Rule,
}

/// The first rule of each objective that holds.
pub(super) fn firing(windows: &BTreeMap<Window, Burn>) -> Vec<Alert> {
    let first = |objective: Objective| {
        let holds = |rule: &&Rule| {
            [rule.long, rule.short].iter().all(|window| {
                let burn = windows.get(window);
                burn.is_some_and(|burn| objective.of(burn) >= rule.rate)
            })
        };
        let rule = RULES.iter().find(holds)?;
        Some(Alert {
            objective,
            rule: *rule,
        })
    };
    Objective::iter().filter_map(first).collect()
}

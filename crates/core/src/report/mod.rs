//! Service-level objectives: answer counts, burn rates, alerts and reports.
//!
//! Each entry counts its own answers in [`counts`] and exports them as a
//! [`Snapshot`]. A report over all entries adds up their snapshots, which hold
//! counts and not ratios because only counts can be added.

pub(crate) mod alert;
mod burn_rate;
pub(crate) mod counts;
mod html;
mod snapshot;
mod text;

pub(crate) use burn_rate::{Report, Row};
pub(crate) use snapshot::{Series, Snapshot};

impl Report {
    /// Formats the report as plain text for a terminal.
    pub(crate) fn to_text(&self) -> String {
        text::render(self)
    }

    /// Formats the report as JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has only string keys")
    }

    /// Formats the report as a self-contained HTML page.
    pub(crate) fn to_html(&self) -> String {
        html::render(self)
    }
}

//! Service-level burn: counts at the entries, windows, alerts and pages.
//!
//! Each entry counts its own answers in [`counts`] and tells them as a
//! [`Snapshot`]. Counts add up, so a report over all entries is the sum of their
//! snapshots; ratios would not.

pub(crate) mod alert;
mod burn_rate;
pub(crate) mod counts;
mod html;
mod snapshot;
mod text;

pub(crate) use burn_rate::{Report, Row};
pub(crate) use snapshot::{Series, Snapshot};

impl Report {
    /// The report as lines for a terminal.
    pub(crate) fn to_text(&self) -> String {
        text::write(self)
    }

    /// The report as JSON.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a report has text keys only")
    }

    /// The report as a page that loads nothing else.
    pub(crate) fn to_html(&self) -> String {
        html::write(self)
    }
}

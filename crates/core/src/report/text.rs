//! The report as lines for a terminal.

use std::fmt::Write as _;
use std::time::Duration;

use strum::IntoEnumIterator;

use super::alert::{Alert, Objective};
use super::counts::Window;
use super::{Report, Row};

/// Writes the report.
pub(super) fn write(report: &Report) -> String {
    let mut text = String::new();
    let covered = humantime::format_duration(Duration::from_secs(report.covered_s));
    let entries = report.entries.len();
    line(
        &mut text,
        format_args!("{entries} entries, counted for {covered}"),
    );
    if report.rows.is_empty() {
        line(&mut text, format_args!("no answers yet"));
    }
    for row in &report.rows {
        write_row(&mut text, row);
    }
    text
}

fn write_row(text: &mut String, row: &Row) {
    line(text, format_args!("\n{}", row.name()));
    for objective in Objective::iter() {
        let rates = row.windows.iter();
        let rates = rates.map(|(window, burn)| format!("{window} {:>7.2}", objective.of(burn)));
        let rates: Vec<_> = rates.collect();
        let name = objective.to_string();
        line(text, format_args!("  burn {name:<13} {}", rates.join("  ")));
    }
    let totals = Window::iter().filter_map(|w| row.windows.get(&w).map(|b| (w, b.counts.total)));
    let totals: Vec<_> = totals.map(|(w, total)| format!("{w} {total:>7}")).collect();
    line(
        text,
        format_args!("  answers            {}", totals.join("  ")),
    );
    for alert in &row.alerts {
        line(text, format_args!("  {}", sentence(alert)));
    }
}

/// An alert in words.
pub(super) fn sentence(alert: &Alert) -> String {
    let rule = alert.rule;
    format!(
        "{}: {} burns at {} or more over {} and {}",
        rule.severity.to_string().to_uppercase(),
        alert.objective,
        rule.rate,
        rule.long,
        rule.short
    )
}

fn line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{arguments}");
}

//! Formats a report as plain text for a terminal.

use std::fmt::Write as _;
use std::time::Duration;

use strum::IntoEnumIterator;

use super::alert::{Alert, Objective};
use super::counts::Window;
use super::{Report, Row};

/// Formats the report.
pub(super) fn render(report: &Report) -> String {
    let mut text = String::new();
    let covered = humantime::format_duration(Duration::from_secs(report.covered_s));
    let entries = report.entries.len();
    push_line(
        &mut text,
        format_args!("{entries} entries, counted for {covered}"),
    );
    if report.rows.is_empty() {
        push_line(&mut text, format_args!("no answers yet"));
    }
    for row in &report.rows {
        write_row(&mut text, row);
    }
    text
}

fn write_row(text: &mut String, row: &Row) {
    push_line(text, format_args!("\n{}", row.name()));
    for objective in Objective::iter() {
        let rates = row.windows.iter();
        let rates =
            rates.map(|(window, burn)| format!("{window} {:>7.2}", objective.burn_rate(burn)));
        let rates: Vec<_> = rates.collect();
        let name = objective.to_string();
        push_line(text, format_args!("  burn {name:<13} {}", rates.join("  ")));
    }
    let totals = Window::iter().filter_map(|w| row.windows.get(&w).map(|b| (w, b.counts.total)));
    let totals: Vec<_> = totals.map(|(w, total)| format!("{w} {total:>7}")).collect();
    push_line(
        text,
        format_args!("  answers            {}", totals.join("  ")),
    );
    for alert in &row.alerts {
        push_line(text, format_args!("  {}", describe_alert(alert)));
    }
}

/// Describes an alert in one sentence.
pub(super) fn describe_alert(alert: &Alert) -> String {
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

fn push_line(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = writeln!(text, "{arguments}");
}

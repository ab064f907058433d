//! Formats a report as a self-contained HTML page, with styles and charts inline.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use strum::IntoEnumIterator;

use super::alert::{Objective, Severity};
use super::burn_rate::BurnRates;
use super::counts::Window;
use super::text::describe_alert;
use super::{Report, Row};

const STYLE: &str = include_str!("page.css");
const ROW_HEIGHT: usize = 22;
const BAR_LEFT: f64 = 30.0;
const BAR_WIDTH: f64 = 190.0;
const MIN_RATE: f64 = 0.1;
const MAX_RATE: f64 = 100.0;

/// Formats the page.
pub(super) fn render(report: &Report) -> String {
    let covered = humantime::format_duration(Duration::from_secs(report.covered_s));
    let names: Vec<_> = report.entries.iter().map(ToString::to_string).collect();
    let entries = escape(&names.join(", "));
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width, initial-scale=1\">\
         <title>Service-level burn</title>\n<style>\n{STYLE}</style></head>\n<body><main>\n\
         <h1>Service-level burn</h1>\n\
         <p class=\"sub\">Entries {entries}, counted for {covered}</p>\n{}{}{}</main></body></html>\n",
        alert_section(report),
        service_sections(report),
        footer()
    )
}

fn alert_section(report: &Report) -> String {
    let worst = report.alerts().map(|(_, alert)| alert.rule.severity).min();
    let class = worst.map_or("quiet".to_owned(), |severity| severity.to_string());
    let mut text = format!("<section class=\"state {class}\">");
    match worst {
        None => text += "<strong>No objective burns too fast.</strong>",
        Some(Severity::Page) => text += "<strong>An objective burns fast: look now.</strong>",
        Some(Severity::Ticket) => text += "<strong>An objective burns slowly but surely.</strong>",
    }
    let alerts = report.alerts().map(|(row, alert)| {
        let name = escape(&row.name());
        format!("<li>{name}: {}</li>", escape(&describe_alert(alert)))
    });
    let alerts: String = alerts.collect();
    if !alerts.is_empty() {
        text += &format!("<ul>{alerts}</ul>");
    }
    text + "</section>\n"
}

fn service_sections(report: &Report) -> String {
    if report.rows.is_empty() {
        return "<p>No answers yet.</p>\n".to_owned();
    }
    let mut services: BTreeMap<_, Vec<&Row>> = BTreeMap::new();
    for row in &report.rows {
        services.entry(&row.service).or_default().push(row);
    }
    let section = |(service, rows): (&gentian_wire::id::Service, Vec<&Row>)| {
        let cards: String = rows.into_iter().map(card).collect();
        let name = escape(service.as_str());
        format!("<h2>{name}</h2>\n<div class=\"grid\">\n{cards}</div>\n")
    };
    services.into_iter().map(section).collect()
}

fn card(row: &Row) -> String {
    let (class, title) = match &row.team {
        None => ("card whole", "All teams".to_owned()),
        Some(team) => ("card", escape(team.as_str())),
    };
    let objectives = &row.objectives;
    let plots: String = Objective::iter().map(|o| plot(row, o)).collect();
    format!(
        "<article class=\"{class}\"><h3>{title}</h3>\
         <p class=\"sub\">{} % answered, {} % of these within {} ms</p>\
         <div class=\"plots\">{plots}</div></article>\n",
        percent(objectives.availability),
        percent(objectives.latency),
        objectives.latency_ms
    )
}

fn plot(row: &Row, objective: Objective) -> String {
    let height = ROW_HEIGHT * row.windows.len() + 4;
    let one = BAR_LEFT + BAR_WIDTH * scale_position(1.0);
    let mut svg = format!(
        "<div class=\"plot\"><h4>{objective}</h4>\
         <svg viewBox=\"0 0 300 {height}\" role=\"img\" aria-label=\"burn rate of {objective}\">"
    );
    for (index, (window, burn)) in row.windows.iter().enumerate() {
        svg += &bar(index, *window, burn, objective);
    }
    // Writing to a string can't fail.
    let _ = write!(
        svg,
        "<line class=\"one\" x1=\"{one:.1}\" x2=\"{one:.1}\" y1=\"0\" y2=\"{height}\"/></svg></div>"
    );
    svg
}

fn bar(index: usize, window: Window, burn: &BurnRates, objective: Objective) -> String {
    let rate = objective.burn_rate(burn);
    let top = index * ROW_HEIGHT + 4;
    let base = top + 12;
    let width = BAR_WIDTH * scale_position(rate);
    let class = rate_class(rate);
    let total = burn.counts.total;
    format!(
        "<g><title>{total} answers</title><text x=\"0\" y=\"{base}\">{window}</text>\
         <rect class=\"track\" x=\"{BAR_LEFT}\" y=\"{top}\" width=\"{BAR_WIDTH}\" height=\"14\" rx=\"3\"/>\
         <rect class=\"{class}\" x=\"{BAR_LEFT}\" y=\"{top}\" width=\"{width:.1}\" height=\"14\" rx=\"3\"/>\
         <text class=\"v\" x=\"228\" y=\"{base}\">{rate:.2}</text></g>"
    )
}

/// Position of a rate on the logarithmic scale, 0 to 1.
fn scale_position(rate: f64) -> f64 {
    let span = (MAX_RATE / MIN_RATE).ln();
    let rate = rate.clamp(MIN_RATE, MAX_RATE);
    (rate / MIN_RATE).ln() / span
}

/// CSS class of a bar. The thresholds are burn rates of alert rules.
fn rate_class(rate: f64) -> &'static str {
    match rate {
        rate if rate >= 6.0 => "bad",
        rate if rate >= 1.0 => "warn",
        _ => "good",
    }
}

fn percent(fraction: f64) -> f64 {
    (fraction * 1e6).round() / 1e4
}

fn footer() -> &'static str {
    "<footer>A burn rate of 1 (dashed) uses exactly the error budget that the objective leaves; \
     the scale is logarithmic from 0.1 to 100. A page needs 14.4 over 1h and 5m, or 6 over 6h and \
     1h; a ticket needs 1 over 3d and 6h. Entries keep no counts over a restart.</footer>\n"
}

fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        match c {
            '&' => escaped += "&amp;",
            '<' => escaped += "&lt;",
            '>' => escaped += "&gt;",
            '"' => escaped += "&quot;",
            c => escaped.push(c),
        }
    }
    escaped
}

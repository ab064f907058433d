//! The command `report`, against fake entries and against a real system.

mod support;

use serde_json::{json, Value};
use support::system::System;
use support::{output, text, FakeServer};
use test_case::test_case;

/// Counts of one window: all answers, unavailable ones, slow ones.
type Counts = (u64, u64, u64);

/// A fake entry that reports the counts of one team in the four windows.
fn fake_entry(name: &str, team: &str, windows: [Counts; 4]) -> FakeServer {
    let names = ["5m", "1h", "6h", "3d"];
    let windows = names
        .iter()
        .zip(windows)
        .map(|(name, (total, unavailable, slow))| {
            let counts = json!({"total": total, "unavailable": unavailable, "slow": slow});
            ((*name).to_owned(), counts)
        });
    let objectives = json!({"availability": 0.99, "latency": 0.9, "latency_ms": 500});
    let snapshot = json!({
        "entry": name,
        "covered_s": 7200,
        "series": [{
            "service": "dashboard",
            "team": team,
            "objectives": objectives,
            "windows": windows.collect::<serde_json::Map<_, _>>(),
        }],
    });
    FakeServer::start(move |_| (200, snapshot.to_string()))
}

const NO_BAD_ANSWERS: [Counts; 4] = [(100, 0, 0); 4];

/// Exit code and standard output of a report over these entries.
fn report(entries: &[&FakeServer], more: &[&str]) -> (Option<i32>, String) {
    let urls: Vec<_> = entries
        .iter()
        .map(|fake| format!("http://{}", fake.address))
        .collect();
    let urls = urls.join(",");
    let mut args = vec!["report", "--entries", &urls];
    args.extend(more);
    let output = output(&args);
    (output.status.code(), text(&output.stdout))
}

fn row<'a>(report: &'a Value, team: &Value) -> &'a Value {
    let rows = report["rows"].as_array().expect("an array of rows");
    rows.iter()
        .find(|row| row["team"] == *team)
        .expect("a row of the team")
}

#[test]
fn json_sums_entries_and_teams() {
    let first = fake_entry(
        "e1",
        "barn",
        [(100, 1, 0), (100, 2, 0), (100, 4, 0), (100, 8, 0)],
    );
    let second = fake_entry(
        "e2",
        "vets",
        [(300, 3, 0), (300, 6, 0), (300, 12, 0), (300, 24, 0)],
    );
    let (code, stdout) = report(&[&first, &second], &["--format", "json"]);
    assert_eq!(Some(0), code);
    let report: Value = serde_json::from_str(&stdout).expect("valid JSON");
    assert_eq!(json!(["e1", "e2"]), report["entries"]);
    let all_teams = &row(&report, &Value::Null)["windows"]["1h"];
    assert_eq!(
        json!([400, 8]),
        json!([all_teams["total"], all_teams["unavailable"]])
    );
    assert!((all_teams["availability"].as_f64().expect("a burn rate") - 2.0).abs() < 1e-9);
    assert_eq!(300, row(&report, &json!("vets"))["windows"]["5m"]["total"]);
}

#[test_case([(100, 15, 0), (100, 15, 0), (900, 15, 0), (9000, 15, 0)], "page 1h", 5;
    "fast burn pages")]
#[test_case([(100, 0, 0), (100, 15, 0), (900, 15, 0), (9000, 15, 0)], "none", 0;
    "fast burn that has ended does not page")]
#[test_case([(100, 0, 0), (100, 6, 0), (100, 6, 0), (9000, 6, 0)], "page 6h", 5;
    "slower burn over six hours pages")]
#[test_case([(100, 0, 0), (100, 0, 0), (100, 2, 0), (100, 2, 0)], "ticket 3d", 5;
    "slow burn makes a ticket")]
#[test_case([(100, 0, 100), (100, 0, 100), (100, 0, 100), (100, 0, 100)], "page 6h", 5;
    "slow answers page on their own")]
#[test_case(NO_BAD_ANSWERS, "none", 0; "no bad answers")]
#[test_case([(0, 0, 0); 4], "none", 0; "no answers")]
fn alerts_and_exit_code_follow_burn_rates(windows: [Counts; 4], expected: &str, code: i32) {
    let fake = fake_entry("e1", "barn", windows);
    let (found, stdout) = report(&[&fake], &["--format", "json", "--check"]);
    let report: Value = serde_json::from_str(&stdout).expect("valid JSON");
    let alerts = row(&report, &json!("barn"))["alerts"].clone();
    let reported = match alerts.as_array().expect("alerts").first() {
        None => "none".to_owned(),
        Some(alert) => {
            let word = |field: &str| alert[field].as_str().expect("a string").to_owned();
            format!("{} {}", word("severity"), word("long"))
        }
    };
    assert_eq!((expected, Some(code)), (reported.as_str(), found));
}

#[test]
fn text_lists_burn_rates_and_alerts() {
    let fake = fake_entry("e1", "barn", [(100, 15, 0); 4]);
    let (_, stdout) = report(&[&fake], &[]);
    for line in [
        "1 entries, counted for 2h",
        "dashboard / barn",
        "burn availability  5m   15.00",
        "PAGE: availability burns at 14.4 or more over 1h and 5m",
    ] {
        assert!(stdout.contains(line), "no {line} in {stdout}");
    }
}

#[test]
fn html_page_loads_no_other_resources() {
    let fake = fake_entry("e1", "barn", [(100, 15, 0); 4]);
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let path = file.path().to_str().expect("a UTF-8 path");
    let (code, stdout) = report(&[&fake], &["--format", "html", "--output", path]);
    assert_eq!((Some(0), ""), (code, stdout.as_str()));
    let page = std::fs::read_to_string(path).expect("the page is readable");
    assert!(page.starts_with("<!doctype html>"));
    for part in ["barn", "15.00", "class=\"state page\"", "<svg"] {
        assert!(page.contains(part), "no {part}");
    }
    for part in [
        "http://", "https://", "src=", "href=", "url(", "@import", "<script",
    ] {
        assert!(!page.contains(part), "{part}");
    }
    for tag in [
        "div", "svg", "g", "article", "section", "main", "p", "h2", "h3", "h4",
    ] {
        let opened = page.matches(&format!("<{tag}>")).count();
        let opened = opened + page.matches(&format!("<{tag} ")).count();
        assert_eq!(opened, page.matches(&format!("</{tag}>")).count(), "{tag}");
    }
}

#[test_case(200, "{}", 1; "answer unreadable")]
#[test_case(404, "", 1; "answer is an error")]
#[test_case(503, "", 4; "entry unavailable")]
fn report_without_a_usable_answer_fails(status: u16, body: &'static str, code: i32) {
    let fake = FakeServer::start(move |_| (status, body.to_owned()));
    assert_eq!(Some(code), report(&[&fake], &[]).0);
}

#[test]
fn unknown_format_exits_with_2() {
    assert_eq!(
        Some(2),
        report(
            &[&fake_entry("e", "t", NO_BAD_ANSWERS)],
            &["--format", "pdf"]
        )
        .0
    );
}

#[test]
fn report_counts_the_answers_of_a_real_system() {
    let system = System::start(1);
    let headers = [("x-service", "demo"), ("x-team", "barn")];
    let none = [("x-service", "nowhere"), ("x-team", "barn")];
    for headers in [headers, headers, none] {
        system.request(&headers, "{}");
    }
    system.request(&[("x-service", "demo")], "no team: counts for nothing");
    let url = format!("http://{}", system.entry_addresses[0]);
    let args = ["report", "--entries", &url, "--format", "json"];
    let report: Value = serde_json::from_slice(&output(&args).stdout).expect("valid JSON");
    let rows = report["rows"].as_array().expect("an array of rows");
    let barn = rows.iter().filter(|row| row["team"] == "barn");
    let counts: Vec<_> = barn
        .map(|row| {
            let window = &row["windows"]["3d"];
            json!([row["service"], window["total"], window["unavailable"]])
        })
        .collect();
    assert_eq!(json!([["demo", 2, 0], ["nowhere", 1, 1]]), json!(counts));
}

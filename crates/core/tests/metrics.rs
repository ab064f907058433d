//! Metrics, health checks and status of the processes, and whether the page for
//! operators lists all metrics.

mod support;

use std::collections::BTreeSet;

use support::call;
use support::platform::Platform;
use support::system::{poll, System};

const OPERATIONS_PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const HEADERS: [(&str, &str); 2] = [("x-service", "demo"), ("x-team", "barn")];

/// Sends a GET request; returns status and body.
fn get(address: impl std::fmt::Display, path: &str) -> (u16, String) {
    let (status, body) = call("GET", &format!("http://{address}{path}"), &[], "");
    (status.as_u16(), body)
}

/// Value of the sample with this name, which includes its labels.
fn value(metrics: &str, sample: &str) -> f64 {
    let lines = metrics.lines().filter_map(|line| line.rsplit_once(' '));
    let mut found = lines.filter(|(name, _)| *name == sample);
    found.next().expect(sample).1.parse().expect("a number")
}

#[test]
fn operations_page_lists_exactly_the_metrics_of_all_roles() {
    let system = System::start(1);
    let addresses = [
        &system.entry_addresses[0],
        &system.agent_addresses[0],
        &system.control_http,
    ];
    let mut pages: Vec<_> = addresses.map(|address| get(address, "/metrics").1).into();
    let platform = Platform::start(1, 1);
    pages.push(platform.metrics());
    let exposed = pages.iter().flat_map(|metrics| metrics.lines());
    let exposed = exposed.filter_map(|line| line.strip_prefix("# HELP ")?.split(' ').next());
    let listed = OPERATIONS_PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| `gentian_"));
    let listed = listed.filter_map(|line| line.split(['`', '{']).next());
    let listed: BTreeSet<_> = listed.map(|name| format!("gentian_{name}")).collect();
    let exposed: BTreeSet<_> = exposed.map(str::to_owned).collect();
    assert_eq!(listed, exposed);
}

#[test]
fn requests_and_messages_are_counted() {
    let system = System::start(1);
    let entry = &system.entry_addresses[0];
    let before = get(entry, "/metrics").1;
    system.request(&HEADERS, "{}");
    system.request(&[("x-service", "demo")], "no team");
    let after = get(entry, "/metrics").1;
    let increase = |sample| value(&after, sample) - value(&before, sample);
    assert_eq!(
        1.0,
        increase("gentian_entry_requests_total{outcome=\"done\"}")
    );
    assert_eq!(1.0, increase("gentian_entry_malformed_total"));
    assert_eq!(1.0, increase("gentian_entry_request_seconds_count"));
    assert_eq!(2.0, increase("gentian_messages_total"));
    assert_eq!(
        0.0,
        increase("gentian_messages_wasted_total{outcome=\"late\"}")
    );
    assert_eq!(0.0, value(&after, "gentian_entry_requests_in_progress"));
    assert_eq!(1.0, value(&after, "gentian_lease_held"));
}

#[test]
fn late_answer_counts_as_wasted() {
    let system = System::start(1);
    let headers = [HEADERS[0], HEADERS[1], ("x-deadline", "100ms")];
    let (status, _) = system.request(&headers, r#"{"run_ms":400}"#);
    assert_eq!(504, status.as_u16());
    let entry = get(&system.entry_addresses[0], "/metrics").1;
    assert_eq!(
        2.0,
        value(&entry, "gentian_messages_wasted_total{outcome=\"unknown\"}")
    );
    poll(|| {
        let agent = get(&system.agent_addresses[0], "/metrics").1;
        let late = value(&agent, "gentian_messages_wasted_total{outcome=\"late\"}");
        (late == 2.0).then_some(())
    });
}

#[test]
fn node_without_lease_is_live_but_not_ready() {
    let entry = System::start_entry("127.0.0.1:1");
    let address = entry.listen_address("entry-http");
    assert_eq!(200, get(address, "/live").0);
    assert_eq!(503, get(address, "/ready").0);
    assert!(get(address, "/v1/status").1.contains("\"in_force\":false"));
    assert_eq!(
        0.0,
        value(&get(address, "/metrics").1, "gentian_lease_held")
    );
}

#[test]
fn status_prints_the_role_and_lease_of_each_node() {
    let system = System::start(1);
    let (entry, agent) = (&system.entry_addresses[0], &system.agent_addresses[0]);
    assert_eq!((200, 200), (get(entry, "/ready").0, get(agent, "/ready").0));
    let urls = [format!("http://{entry}"), format!("http://{agent}")];
    let output = support::output(&["status", &urls[0], &urls[1]]);
    let stdout = support::text(&output.stdout);
    for expected in [
        "\"role\": \"entry\"",
        "\"role\": \"agent\"",
        "\"in_force\": true",
    ] {
        assert!(stdout.contains(expected), "no {expected} in {stdout}");
    }
}

#[test]
fn control_reports_its_state_and_counts_patches() {
    let system = System::start(1);
    let control = &system.control_http;
    assert_eq!(
        (200, 200),
        (get(control, "/live").0, get(control, "/ready").0)
    );
    let patch = |base: u64| {
        let id = uuid::Uuid::now_v7();
        let merge = r#"{"limits":{"queue":100}}"#;
        let body = format!(r#"{{"id":"{id}","base":{base},"author":"a","merge":{merge}}}"#);
        call("PATCH", &format!("http://{control}/v1/config"), &[], &body)
            .0
            .as_u16()
    };
    let base = value(&get(control, "/metrics").1, "gentian_control_version") as u64;
    assert_eq!((200, 409), (patch(base), patch(base)));
    let metrics = get(control, "/metrics").1;
    assert_eq!(1.0, value(&metrics, "gentian_control_leads"));
    assert_eq!(
        (base + 1) as f64,
        value(&metrics, "gentian_control_version")
    );
    assert_eq!(1.0, value(&metrics, "gentian_control_agents"));
    for (answer, count) in [("accepted", 1.0), ("conflict", 1.0), ("invalid", 0.0)] {
        let sample = format!("gentian_control_patches_total{{answer=\"{answer}\"}}");
        assert_eq!(count, value(&metrics, &sample));
    }
}

#[test]
fn unknown_paths_get_404() {
    let system = System::start(1);
    for address in [&system.entry_addresses[0], &system.agent_addresses[0]] {
        assert_eq!(404, get(address, "/nothing").0);
    }
}

//! Requests end to end through separate processes: control, agent, upstream, entry.

mod support;

use std::time::{Duration, Instant};

use support::system::System;
use support::{call, WAIT_TIMEOUT};

const HEADERS: [(&str, &str); 3] = [
    ("x-service", "demo"),
    ("x-team", "barn"),
    ("x-deadline", "5s"),
];

#[test]
fn request_is_served_from_end_to_end() {
    let system = System::start(2);
    let body = r#"{"run_ms":50,"text":"stall 7"}"#;
    let (status, answer) = system.request(&HEADERS, body);
    assert_eq!((status.as_u16(), answer.as_str()), (200, body));
}

#[test]
fn entry_without_lease_answers_not_run() {
    let entry = System::start_entry("127.0.0.1:1");
    let url = format!("http://{}/v1/requests", entry.listen_address("entry-http"));
    let (status, answer) = call("POST", &url, &HEADERS, "{}");
    assert_eq!(status.as_u16(), 503);
    assert!(answer.contains(r#""outcome":"not_run""#), "{answer}");
}

#[test]
fn terminated_agent_finishes_its_task_and_gets_no_other() {
    let mut system = System::start(2);
    let slow = system.spawn_request(&HEADERS, r#"{"run_ms":1500}"#);
    let busy = system.wait_for_running();
    system.agents[busy].terminate();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        let (status, answer) = system.request(&HEADERS, r#"{"run_ms":10}"#);
        assert_eq!(status.as_u16(), 200, "{answer}");
    }
    let (status, _) = slow.join().expect("the thread does not panic");
    assert_eq!(status.as_u16(), 200);
    assert!(system.agents[busy].wait().success());
    assert!(start.elapsed() < WAIT_TIMEOUT);
}

#[test]
fn leaving_upstream_gets_no_new_tasks() {
    let system = System::start(2);
    system.request(&HEADERS, "{}");
    let total = |upstream: &usize| system.executions(*upstream, "total");
    let preferred = (0..2).max_by_key(total).expect("two upstreams");
    let url = format!("http://{}/v1/leave", system.agent_addresses[preferred]);
    let (status, _) = call("POST", &url, &[], r#"{"service":"demo"}"#);
    assert_eq!(status.as_u16(), 204);
    let before = total(&preferred);
    for _ in 0..50 {
        let (status, answer) = system.request(&HEADERS, "{}");
        assert_eq!(status.as_u16(), 200, "{answer}");
    }
    assert_eq!(total(&preferred), before);
}

#[test]
fn task_of_a_killed_agent_is_answered_as_unknown() {
    let system = System::start(1);
    let slow = system.spawn_request(&HEADERS, r#"{"run_ms":3000}"#);
    let busy = system.wait_for_running();
    system.agents[busy].kill();
    let (status, answer) = slow.join().expect("the thread does not panic");
    assert_eq!(status.as_u16(), 504, "{answer}");
    assert!(answer.contains(r#""outcome":"unknown""#), "{answer}");
}

#[test]
fn terminated_entry_answers_requests_in_progress() {
    let mut system = System::start(1);
    let slow = system.spawn_request(&HEADERS, r#"{"run_ms":1000}"#);
    system.wait_for_running();
    system.entries[0].terminate();
    let (status, _) = slow.join().expect("the thread does not panic");
    assert_eq!(status.as_u16(), 200);
    assert!(system.entries[0].wait().success());
}

#[test]
fn control_process_exits_on_sigterm() {
    let (mut control, _) = System::start_control();
    control.terminate();
    assert!(control.wait().success());
}

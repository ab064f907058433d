//! Quotas of teams across several entries, through the real binary.

mod support;

use std::thread;

use serde_json::{json, Value};
use support::system::{poll, System};
use support::{call, WAIT_TIMEOUT};

const QUOTA: u64 = 4;

/// Starts a system, sets the quota of team `barn` and waits until both entries have
/// it in force.
fn system_with_quota() -> System {
    let system = System::start_with_entries(2, 2);
    let url = format!("http://{}/v1/config", system.control_http);
    let patch = json!({
        "id": uuid::Uuid::now_v7(), "base": 0, "author": "ada",
        "merge": {"teams": {"barn": {"concurrent": QUOTA}}},
    });
    let (status, answer) = call("PATCH", &url, &[], &patch.to_string());
    assert_eq!(status.as_u16(), 200, "{answer}");
    for address in &system.entry_addresses {
        poll(|| {
            let (_, status) = call("GET", &format!("http://{address}/v1/status"), &[], "");
            let status: Value = serde_json::from_str(&status).ok()?;
            (status["version"] == 1).then_some(())
        });
    }
    system
}

#[test]
fn quota_limits_the_tasks_of_a_team_across_all_entries() {
    let system = system_with_quota();
    let send = |index: usize| {
        let address = &system.entry_addresses[index % 2];
        let url = format!("http://{address}/v1/requests");
        thread::spawn(move || {
            let deadline = format!("{}s", WAIT_TIMEOUT.as_secs());
            let headers = [
                ("x-service", "demo"),
                ("x-team", "barn"),
                ("x-deadline", &deadline),
            ];
            call("POST", &url, &headers, r#"{"run_ms":100}"#)
        })
    };
    let senders: Vec<_> = (0..24).map(send).collect();
    let mut max_running = 0;
    while senders.iter().any(|sender| !sender.is_finished()) {
        let running = (0..2).map(|upstream| system.executions(upstream, "running"));
        max_running = max_running.max(running.sum());
    }
    for sender in senders {
        let (status, answer) = sender.join().expect("the thread does not panic");
        assert_eq!(status.as_u16(), 200, "{answer}");
    }
    assert!(
        (1..=QUOTA).contains(&max_running),
        "{max_running} ran at once"
    );
}

#[test]
fn team_without_quota_is_served() {
    let system = system_with_quota();
    let headers = [("x-service", "demo"), ("x-team", "shop")];
    let (status, answer) = system.request(&headers, "{}");
    assert_eq!(status.as_u16(), 200, "{answer}");
}

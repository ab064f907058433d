//! Messages of another writer in the `platform` dialect, in the place of those of workers:
//! each costs itself only.

mod support;

use std::thread;
use std::time::Duration;

use serde_json::{json, Value};
use support::platform::{Platform, COMPLETED};
use support::system::poll;

/// Depth of nesting that exhausts the stack of a reader that recurses.
const DEPTH: usize = 100_000;

/// A heartbeat as a worker sends it, from another process at another address.
fn heartbeat(changes: &[(&str, Value)]) -> String {
    let mut body = json!({
        "service": "desk", "address": "127.0.0.9:9", "zone": "d", "version": "v1", "slots": 8,
        "state": "ready", "cold-remaining-ms": 0, "labels": ["a"], "clock-ms": 1, "seq": 1,
        "capacity": { "cpu": 32_000, "mem-mb": 65_536, "gpu": 0 }, "born": 2_000,
    });
    for (field, value) in changes {
        body[*field] = value.clone();
    }
    body.to_string()
}

/// A heartbeat with this text in place of the value of a field.
fn heartbeat_with_text(field: &str, text: &str) -> String {
    heartbeat(&[(field, json!("@"))]).replace(r#""@""#, text)
}

/// Sends a heartbeat in the name of another worker while a job runs: the agent stays, and
/// goes on with its worker.
fn assert_costs_itself_only(body: &str) {
    let mut platform = Platform::start(1, 1);
    let job = platform.spawn_submit(0, "0000000000000001", 4, 900);
    poll(|| (platform.running() == 4).then_some(()));
    let worker = &platform.workers[0];
    let url = format!("http://{}/-/instances/i-other/heartbeat", worker.agent_http);
    // Whether it is acknowledged makes no difference.
    let _ = support::try_call("POST", &url, &[], body, Duration::from_secs(2));
    let answer = job.join().expect("the thread does not panic");
    assert_eq!((200, COMPLETED.to_owned()), answer);
    thread::sleep(Duration::from_millis(600));
    let answer = platform.submit(0, "0000000000000002", 4, 50);
    assert_eq!((200, COMPLETED.to_owned()), answer);
    platform.assert_no_concurrent_runs();
    let worker = &mut platform.workers[0];
    assert!(worker.agent.is_running(), "the agent has ended");
    let url = format!("http://{}/metrics", worker.agent_http);
    let (_, metrics) = support::call("GET", &url, &[], "");
    let crashes = "gentian_upstream_crashes_total 0";
    assert!(
        metrics.contains(crashes),
        "the worker was given up: {metrics}"
    );
    let unreadable = "gentian_upstream_reports_unreadable_total 1";
    assert!(
        metrics.contains(unreadable),
        "it was not counted: {metrics}"
    );
}

/// Sends a heartbeat of another writer under the worker's own id, with a later start time, while
/// a job runs: it ends no run, and the worker gets further work.
fn assert_proves_no_end(address: Option<&str>) {
    let platform = Platform::start(2, 1);
    let job = platform.spawn_submit(0, "0000000000000001", 12, 900);
    poll(|| (platform.running() == 12).then_some(()));
    let worker = &platform.workers[0];
    let own_address = worker.address();
    let address = address.unwrap_or(&own_address);
    let body = heartbeat(&[("address", json!(address)), ("seq", json!(1_000))]);
    let url = format!("http://{}/-/instances/i-0/heartbeat", worker.agent_http);
    let _ = support::try_call("POST", &url, &[], &body, Duration::from_secs(2));
    let answer = job.join().expect("the thread does not panic");
    assert_eq!((200, COMPLETED.to_owned()), answer);
    platform.assert_no_concurrent_runs();
    let needs_both = platform.submit(0, "0000000000000002", 20, 50);
    assert_eq!((200, COMPLETED.to_owned()), needs_both);
    poll(|| {
        let id = format!("{:016x}", rand::random::<u64>());
        let job = platform.spawn_submit_id(0, id, 12, 100);
        let runs = poll(|| Some(worker.running()).filter(|_| platform.running() > 0));
        job.join().expect("the thread does not panic");
        (runs > 0).then_some(())
    });
}

#[test]
fn a_heartbeat_with_the_workers_id_and_address_ends_no_run() {
    assert_proves_no_end(None);
}

#[test]
fn a_heartbeat_with_the_workers_id_and_another_address_ends_no_run() {
    assert_proves_no_end(Some("127.0.0.9:9"));
}

macro_rules! odd_heartbeats {
    ($($name:ident: $body:expr;)*) => {
        mod an_odd_heartbeat_costs_itself_only {
            use super::*;
            $(#[test]
            fn $name() {
                assert_costs_itself_only(&$body);
            })*
        }
    };
}

odd_heartbeats! {
    nested_deeply: heartbeat_with_text("labels", &("[".repeat(DEPTH) + &"]".repeat(DEPTH)));
    number_too_large: heartbeat_with_text("seq", "1e400");
    number_of_65_bits: heartbeat_with_text("clock-ms", "18446744073709551616");
    port_out_of_range: heartbeat(&[("address", json!("127.0.0.1:65536"))]);
    address_with_a_scope: heartbeat(&[("address", json!("[fe80::1%7]:80"))]);
    service_that_is_not_configured: heartbeat(&[("service", json!("unknown"))]);
    service_that_is_not_configured_and_no_start_time:
        heartbeat(&[("service", json!("unknown")), ("born", json!(0))]);
    start_time_missing: heartbeat(&[("born", json!(0))]);
    start_time_too_large: heartbeat(&[("born", json!(u64::MAX))]);
}

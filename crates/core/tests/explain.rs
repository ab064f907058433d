//! `explain` finds the cause of a failed or slow request from its id and the logs.

mod support;

use serde_json::Value;
use support::output;
use support::platform::Platform;
use support::system::poll;
use support::text;
use support::worker::Behavior;

const ID: &str = "0000000000000001";

/// The first line with the given event.
fn find_event<'a>(lines: &'a [Value], event: &str) -> &'a Value {
    let mut found = lines.iter().filter(|line| line["event"] == event);
    found
        .next()
        .unwrap_or_else(|| panic!("no line with event {event}: {lines:#?}"))
}

#[test]
fn explains_a_request_refused_under_overload() {
    let platform = Platform::start(1, 1);
    let _filling = platform.spawn_submit(0, "00000000000000f0", 10, 2_000);
    poll(|| (platform.running() == 10).then_some(()));
    assert_eq!(503, platform.submit(0, ID, 4, 60).0);
    let lines = platform.explain(ID, "answered");
    let refused = find_event(&lines, "refused");
    assert_eq!("waited", refused["cause"]);
    assert!(refused["retry_after_ms"].as_u64() > Some(0), "{refused}");
    assert!(refused["waited_ms"].as_u64() > Some(0), "{refused}");
    assert_eq!("refused", find_event(&lines, "answered")["outcome"]);
    assert!(
        !lines.iter().any(|line| line["event"] == "ordered"),
        "a task of the refused request was ordered"
    );
}

#[test]
fn explains_a_request_lost_with_its_worker() {
    let platform = Platform::start(1, 1);
    let job = platform.spawn_submit(0, ID, 2, 8_000);
    poll(|| (platform.running() == 2).then_some(()));
    platform.workers[0].set_behavior(Behavior::Crashed);
    assert_eq!(504, job.join().expect("the thread does not panic").0);
    let lines = platform.explain(ID, "answered");
    assert_eq!("given_up", find_event(&lines, "answered")["outcome"]);
    assert_eq!("agent-0", find_event(&lines, "ordered")["agent"]);
    assert_eq!("FATE_LOST", find_event(&lines, "run_over")["fate"]);
    assert_eq!("Lost", find_event(&lines, "ended")["fate"]);
}

#[test]
fn explains_a_request_delayed_by_a_hung_worker() {
    let platform = Platform::start(2, 1);
    platform.workers[0].set_behavior(Behavior::Hangs);
    // More tasks than one worker has room for, so that the hung worker gets some.
    assert_eq!(200, platform.submit(0, ID, 16, 400).0);
    let lines = platform.explain(ID, "answered");
    let moved = find_event(&lines, "moved");
    assert_eq!("agent-0", moved["agent"]);
    let stopped = |line: &&Value| line["fate"] == "FATE_STOPPED" && line["run"] == moved["run"];
    assert!(lines.iter().any(|line| stopped(&line)), "{lines:#?}");
    let answered = find_event(&lines, "answered");
    assert!(answered["took_ms"].as_u64() > Some(400), "{answered}");
    assert!(answered["version"].as_u64() > Some(0), "{answered}");
    assert!(answered["version_age_ms"].as_u64().is_some(), "{answered}");
}

#[test]
fn an_id_without_lines_and_a_missing_file_are_errors() {
    let file = tempfile::NamedTempFile::new().expect("a temporary file");
    let path = file.path().to_str().expect("a UTF-8 path");
    let empty = output(&["explain", ID, path]);
    assert_eq!(Some(5), empty.status.code());
    assert!(text(&empty.stderr).contains(ID));
    let missing = output(&["explain", ID, "no/such.log"]);
    assert!(text(&missing.stderr).contains("no/such.log"));
}

//! From the id of a failed request to its cause, by the logs alone.

mod support;

use serde_json::Value;
use support::output;
use support::platform::Platform;
use support::system::poll;
use support::text;
use support::worker::Mood;

const ID: &str = "0000000000000001";

fn find<'a>(lines: &'a [Value], event: &str) -> &'a Value {
    let mut found = lines.iter().filter(|line| line["event"] == event);
    found
        .next()
        .unwrap_or_else(|| panic!("no line {event}: {lines:#?}"))
}

#[test]
fn a_request_that_was_refused_under_overload() {
    let platform = Platform::start(1, 1);
    let _filling = platform.spawn_submit(0, "00000000000000f0", 10, 2_000);
    poll(|| (platform.running() == 10).then_some(()));
    assert_eq!(503, platform.submit(0, ID, 4, 60).0);
    let lines = platform.explain(ID, "answered");
    let refused = find(&lines, "refused");
    assert_eq!("waited", refused["cause"]);
    assert!(refused["retry_after_ms"].as_u64() > Some(0), "{refused}");
    assert!(refused["waited_ms"].as_u64() > Some(0), "{refused}");
    assert_eq!("refused", find(&lines, "answered")["outcome"]);
    assert!(
        !lines.iter().any(|line| line["event"] == "ordered"),
        "nothing of it ran"
    );
}

#[test]
fn a_request_that_was_lost_with_its_worker() {
    let platform = Platform::start(1, 1);
    let job = platform.spawn_submit(0, ID, 2, 8_000);
    poll(|| (platform.running() == 2).then_some(()));
    platform.workers[0].set(Mood::Dead);
    assert_eq!(504, job.join().expect("an answer").0);
    let lines = platform.explain(ID, "answered");
    assert_eq!("given_up", find(&lines, "answered")["outcome"]);
    assert_eq!("agent-0", find(&lines, "ordered")["agent"]);
    assert_eq!("FATE_LOST", find(&lines, "run_over")["fate"]);
    assert_eq!("Lost", find(&lines, "ended")["fate"]);
}

#[test]
fn a_request_that_was_late_behind_a_hung_worker() {
    let platform = Platform::start(2, 1);
    platform.workers[0].set(Mood::Hangs);
    // More than one worker holds, so that some of it meets the hung one.
    assert_eq!(200, platform.submit(0, ID, 16, 400).0);
    let lines = platform.explain(ID, "answered");
    let moved = find(&lines, "moved");
    assert_eq!("agent-0", moved["agent"]);
    let stopped = |line: &&Value| line["fate"] == "FATE_STOPPED" && line["run"] == moved["run"];
    assert!(lines.iter().any(|line| stopped(&line)), "{lines:#?}");
    let answered = find(&lines, "answered");
    assert!(answered["took_ms"].as_u64() > Some(400), "{answered}");
    assert!(answered["version"].as_u64() > Some(0), "{answered}");
    assert!(answered["version_age_ms"].as_u64().is_some(), "{answered}");
}

#[test]
fn an_id_that_no_line_is_about_is_told() {
    let file = tempfile::NamedTempFile::new().expect("file");
    let path = file.path().to_str().expect("path");
    let told = output(&["explain", ID, path]);
    assert_eq!(Some(5), told.status.code());
    assert!(text(&told.stderr).contains(ID));
    let told = output(&["explain", ID, "no/such.log"]);
    assert!(text(&told.stderr).contains("no/such.log"));
}

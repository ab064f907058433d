//! The log file that the real binary writes.

mod support;

use std::fs;
use std::path::Path;

use serde_json::{json, Value};
use support::system::{init_cluster, poll};
use support::{call, output, text, Process};

fn settings(folder: &Path, log: &Value) -> String {
    json!({
        "name": "all", "data_center": "beauce", "rack": "r1", "region": "quebec",
        "entry": {"http": "127.0.0.1:0"},
        "agent": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0"},
        "controller": {"http": "127.0.0.1:0", "peer": "127.0.0.1:0", "data": folder.join("data")},
        "log": log,
    })
    .to_string()
}

fn write_settings(folder: &Path, log: &Value) -> String {
    let path = folder.join("settings.json");
    fs::write(&path, settings(folder, log)).expect("settings are written");
    path.to_str().expect("a UTF-8 path").to_owned()
}

/// Starts a process, has it serve 20 requests, stops it and returns its log.
fn log_of_a_run_at(level: &str) -> String {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let log = folder.path().join("log");
    let path = write_settings(folder.path(), &json!({"level": level, "file": log}));
    let mut process = Process::start(&["run", "--settings", &path]);
    init_cluster(&process);
    let agent = format!("http://{}", process.listen_address("agent-http"));
    let entry = format!(
        "http://{}/v1/requests",
        process.listen_address("entry-http")
    );
    let _upstream = Process::start(&["example-upstream", "--agent", &agent]);
    let mut served = 0;
    poll(|| {
        let headers = [("x-service", "demo"), ("x-team", "barn")];
        let (status, _) = call("POST", &entry, &headers, "{}");
        served += u32::from(status.is_success());
        (served == 20).then_some(())
    });
    process.terminate();
    assert!(process.wait().success());
    fs::read_to_string(log).expect("the log is readable")
}

#[test]
fn state_changes_are_logged_with_names_and_requests_are_not() {
    let log = log_of_a_run_at("info");
    for expected in [
        "process all is running",
        "node all-entry: lease held",
        "node all-agent: lease held",
        "upstream demo 127.0.0.1:",
        "process all is stopping",
        "process all has stopped",
    ] {
        assert!(log.contains(expected), "no {expected} in {log}");
    }
    assert!(log.lines().count() < 20, "{log}");
}

#[test]
fn level_off_logs_nothing() {
    assert_eq!("", log_of_a_run_at("off"));
}

#[test]
fn log_file_that_cannot_be_opened_is_named_in_the_error() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = write_settings(folder.path(), &json!({"file": "/no/such/folder/log"}));
    let output = output(&["run", "--settings", &path]);
    assert_eq!(Some(1), output.status.code());
    let expected = "cannot append to log.file \"/no/such/folder/log\"";
    assert!(
        text(&output.stderr).contains(expected),
        "{}",
        text(&output.stderr)
    );
}

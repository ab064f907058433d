//! The command `load`, against fake entries and against a real system.

mod support;

use serde_json::Value;
use support::system::System;
use support::{output, text, FakeServer};
use test_case::test_case;

/// Runs a short load; returns exit code, JSON result and standard error.
fn load(entry: &str, more: &[&str]) -> (Option<i32>, Value, String) {
    let mut args = vec!["load", "--entries", entry, "--json", "--rate", "100"];
    args.extend([
        "--duration",
        "1s",
        "--run",
        "5ms..20ms",
        "--long-share",
        "0",
    ]);
    args.extend(more);
    let output = output(&args);
    let result = serde_json::from_slice(&output.stdout).unwrap_or_default();
    (output.status.code(), result, text(&output.stderr))
}

/// A fake entry that answers with the given outcome, and with a body that is made from
/// that of the request.
fn fake_entry(outcome: &'static str, body: fn(&str) -> String) -> FakeServer {
    FakeServer::start_with_headers(move |request| {
        let status = if outcome == "done" { 200 } else { 503 };
        let sent = request
            .split_once(' ')
            .and_then(|rest| rest.1.split_once(' '));
        let headers = format!("x-outcome: {outcome}\r\n");
        (status, headers, body(sent.map_or("", |pair| pair.1)))
    })
}

fn url(fake: &FakeServer) -> String {
    format!("http://{}", fake.address)
}

#[test_case("done", "done", Some(0); "done is counted")]
#[test_case("failed", "failed", Some(0); "failed is counted")]
#[test_case("not_run", "not_run", Some(0); "not run is counted")]
#[test_case("unknown", "unknown", Some(0); "unknown is counted")]
fn answers_are_counted_by_outcome(outcome: &'static str, fate: &str, code: Option<i32>) {
    let fake = fake_entry(outcome, str::to_owned);
    let (found, result, stderr) = load(&url(&fake), &[]);
    assert_eq!(code, found, "{stderr}");
    assert_eq!(result["offered"], result["fates"][fate], "{result}");
    assert!(result["offered"].as_u64().expect("a count") > 50);
}

#[test]
fn answer_of_another_request_is_wrong() {
    let fake = fake_entry("done", |sent| {
        sent.replace("\"number\":3,", "\"number\":4,")
    });
    let (code, result, stderr) = load(&url(&fake), &[]);
    assert_eq!(
        (Some(5), 1),
        (code, result["fates"]["wrong"].as_u64().unwrap())
    );
    assert!(stderr.contains("1 answers were not"), "{stderr}");
}

#[test]
fn same_seed_makes_the_same_requests() {
    let mut sent = [1, 1, 2].map(|seed| {
        let fake = fake_entry("done", str::to_owned);
        load(&url(&fake), &["--seed", &seed.to_string()]);
        let mut requests: Vec<_> = fake.requests.try_iter().collect();
        requests.sort();
        requests
    });
    assert!(sent[0].len() > 50);
    assert_eq!(sent[0], sent[1]);
    sent[2]
        .iter_mut()
        .for_each(|r| *r = r.replace("\"seed\":2", "\"seed\":1"));
    assert_ne!(sent[1], sent[2]);
}

#[test]
fn latency_is_counted_from_the_intended_start() {
    let fake = fake_entry("done", |sent| {
        std::thread::sleep(std::time::Duration::from_millis(60));
        sent.to_owned()
    });
    let (_, result, _) = load(&url(&fake), &["--run", "20ms..20ms"]);
    assert!(result["latency_ms"]["p50"].as_f64().unwrap() >= 60.0);
    assert!(result["response_ratio"]["p50"].as_f64().unwrap() >= 3.0);
}

#[test]
fn unreachable_entry_exits_with_4() {
    let (code, _, stderr) = load("http://127.0.0.1:9", &[]);
    assert_eq!(Some(4), code);
    assert!(stderr.contains("no entry answered"), "{stderr}");
}

#[test]
fn warmup_is_not_counted() {
    let fake = fake_entry("done", str::to_owned);
    let (_, result, _) = load(&url(&fake), &["--warmup", "1s"]);
    let sent = fake
        .requests
        .try_iter()
        .filter(|r| r.starts_with("POST"))
        .count();
    let offered = result["offered"].as_u64().expect("a count") as usize;
    assert!(offered * 3 < sent * 2, "{offered} of {sent}");
}

#[test]
fn text_contains_the_command_that_repeats_the_run() {
    let fake = fake_entry("done", str::to_owned);
    let url = url(&fake);
    let args = [
        "load",
        "--entries",
        &url,
        "--duration",
        "200ms",
        "--rate",
        "50",
    ];
    let stdout = text(&output(&args).stdout);
    let command = format!("repeat with      gentiancove {}", args.join(" "));
    assert!(stdout.contains(&command), "{stdout}");
    assert!(stdout.contains("response ratio   p50"), "{stdout}");
}

#[test_case(&["--rate", "0"]; "rate of zero")]
#[test_case(&["--run", "1s..50ms"]; "span reversed")]
#[test_case(&["--long-share", "2"]; "share above one")]
#[test_case(&["--duration", "soon"]; "malformed duration")]
#[test_case(&["--service", "a b"]; "service with a space")]
fn usage_error_exits_with_2(more: &[&str]) {
    let mut args = vec!["load", "--entries", "http://127.0.0.1:9"];
    args.extend(more);
    assert_eq!(Some(2), output(&args).status.code());
}

#[test]
fn real_system_answers_all_requests_and_runs_none_twice() {
    let system = System::start(2);
    let entry = format!("http://{}", system.entry_addresses[0]);
    let (code, result, stderr) = load(&entry, &["--rate", "60"]);
    assert_eq!(Some(0), code, "{stderr}");
    assert_eq!(result["offered"], result["fates"]["done"], "{result}");
    for upstream in 0..2 {
        assert_eq!(0, system.executions(upstream, "twice"));
        assert!(system.executions(upstream, "most_concurrent") <= 8);
    }
}

/// A fake entry that answers jobs; `alter` changes the answers of the tasks.
fn fake_job_entry(alter: fn(&mut Vec<Value>)) -> FakeServer {
    FakeServer::start_with_headers(move |request| {
        let sent = request.splitn(3, ' ').nth(2).unwrap_or_default();
        let job: Value = serde_json::from_str(sent).unwrap_or_default();
        let mut tasks = job["tasks"].as_array().cloned().unwrap_or_default();
        alter(&mut tasks);
        let answer = serde_json::json!({"complete": true, "tasks": tasks});
        (200, "x-outcome: done\r\n".to_owned(), answer.to_string())
    })
}

#[test_case(|_| (), "done"; "complete answer is done")]
#[test_case(|tasks| { tasks.pop(); }, "wrong"; "missing task is wrong")]
#[test_case(|tasks| tasks.reverse(), "wrong"; "reordered tasks are wrong")]
#[test_case(|tasks| tasks[0]["body"] = Value::Null, "wrong"; "task without answer is wrong")]
fn job_answers_are_checked(alter: fn(&mut Vec<Value>), fate: &str) {
    let fake = fake_job_entry(alter);
    let (code, result, stderr) = load(&url(&fake), &["--jobs", "5"]);
    assert_eq!(Some(if fate == "done" { 0 } else { 5 }), code, "{stderr}");
    assert_eq!(result["offered"], result["fates"][fate], "{result}");
}

#[test]
fn real_system_answers_jobs() {
    let system = System::start(2);
    let entry = format!("http://{}", system.entry_addresses[0]);
    let more = ["--jobs", "4", "--rate", "5", "--deadline", "20s"];
    let (code, result, stderr) = load(&entry, &more);
    assert_eq!(Some(0), code, "{stderr}");
    assert_eq!(0, result["fates"]["wrong"].as_u64().expect("a count"));
    assert!(result["offered"].as_u64().expect("a count") > 0);
    for upstream in 0..2 {
        assert_eq!(0, system.executions(upstream, "twice"));
    }
}

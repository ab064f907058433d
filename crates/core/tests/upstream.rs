//! The example upstream through the real binary.

mod support;

use std::thread;

use support::{call, FakeServer, Process};
use test_case::test_case;

/// An example upstream and the fake agent to which it announces itself.
struct Example {
    process: Process,
    agent: FakeServer,
    url: String,
}

fn start(mode: &str) -> Example {
    let agent = FakeServer::start(|_| (200, "{}".to_owned()));
    let agent_url = format!("http://{}", agent.address);
    let process = Process::start(&["example-upstream", "--agent", &agent_url, "--mode", mode]);
    let url = format!("http://{}", process.listen_address("upstream"));
    Example {
        process,
        agent,
        url,
    }
}

fn executions(url: &str) -> serde_json::Value {
    let (_, body) = call("GET", &format!("{url}/executions"), &[], "");
    serde_json::from_str(&body).expect("valid JSON")
}

#[test]
fn echoes_the_body_and_counts_tasks() {
    let example = start("normal");
    for task in ["a/0", "a/1", "a/0"] {
        let headers = [("x-task", task), ("x-run-ms", "1")];
        let answer = call("POST", &example.url, &headers, "teat cup");
        assert_eq!((200, "teat cup"), (answer.0.as_u16(), answer.1.as_str()));
    }
    let counts = executions(&example.url);
    assert_eq!(3, counts["total"]);
    assert_eq!(1, counts["twice"]);
    assert_eq!(1, counts["most_concurrent"]);
}

#[test]
fn counts_the_tasks_that_run_at_once() {
    let example = start("normal");
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| call("POST", &example.url, &[], r#"{"run_ms":400}"#));
        }
    });
    assert_eq!(3, executions(&example.url)["most_concurrent"]);
}

#[test]
fn announces_itself_repeatedly() {
    let example = start("normal");
    for _ in 0..2 {
        let request = example.agent.next_request("POST /v1/announce ");
        let json = request.rsplit(' ').next().expect("a body");
        let json: serde_json::Value = serde_json::from_str(json).expect("valid JSON");
        assert_eq!("demo", json["service"]);
        assert_eq!(
            example.url,
            format!("http://{}", json["address"].as_str().unwrap())
        );
        assert_eq!(
            (8, 64),
            (
                json["slots"].as_u64().unwrap(),
                json["connections"].as_u64().unwrap()
            )
        );
        assert!(json["incarnation"].as_u64().unwrap() > 0);
    }
}

#[test]
fn leaves_and_finishes_running_tasks_on_sigterm() {
    let mut example = start("normal");
    let url = example.url.clone();
    let task = thread::spawn(move || call("POST", &url, &[("x-run-ms", "700")], "whole"));
    while executions(&example.url)["running"] != 1 {
        thread::yield_now();
    }
    example.process.terminate();
    example.agent.next_request("POST /v1/leave ");
    assert_eq!("whole", task.join().expect("the thread does not panic").1);
    assert!(example.process.wait().success());
}

#[test_case("fail", Some(500); "fail answers 500")]
#[test_case("reset", None; "reset closes the connection")]
fn faulty_mode_fails_the_request(mode: &str, status: Option<u16>) {
    let example = start(mode);
    let request = oxhttp::model::Request::post(&example.url)
        .body("body")
        .expect("a valid request");
    let answer = oxhttp::Client::new().request(request);
    assert_eq!(status, answer.ok().map(|answer| answer.status().as_u16()));
    assert_eq!(1, executions(&example.url)["total"]);
}

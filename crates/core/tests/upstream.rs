//! The example upstream through the real binary.

mod support;

use std::thread;

use support::{call, Fake, Process};
use test_case::test_case;

struct Running {
    process: Process,
    agent: Fake,
    url: String,
}

fn start(mode: &str) -> Running {
    let agent = Fake::start(|_| (200, "{}".to_owned()));
    let agent_url = format!("http://{}", agent.address);
    let process = Process::start(&["example-upstream", "--agent", &agent_url, "--mode", mode]);
    let url = format!("http://{}", process.listening("upstream"));
    Running {
        process,
        agent,
        url,
    }
}

fn executions(url: &str) -> serde_json::Value {
    let (_, body) = call("GET", &format!("{url}/executions"), &[], "");
    serde_json::from_str(&body).expect("JSON")
}

#[test]
fn echoes_the_body_and_counts_tasks() {
    let running = start("normal");
    for task in ["a/0", "a/1", "a/0"] {
        let headers = [("x-task", task), ("x-run-ms", "1")];
        let answer = call("POST", &running.url, &headers, "teat cup");
        assert_eq!((200, "teat cup"), (answer.0.as_u16(), answer.1.as_str()));
    }
    let counts = executions(&running.url);
    assert_eq!(3, counts["total"]);
    assert_eq!(1, counts["twice"]);
    assert_eq!(1, counts["most_concurrent"]);
}

#[test]
fn counts_the_tasks_that_run_at_once() {
    let running = start("normal");
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| call("POST", &running.url, &[], r#"{"run_ms":400}"#));
        }
    });
    assert_eq!(3, executions(&running.url)["most_concurrent"]);
}

#[test]
fn announces_itself_again_and_again() {
    let running = start("normal");
    for _ in 0..2 {
        let request = running.agent.next("POST /v1/announce ");
        let json = request.rsplit(' ').next().expect("body");
        let json: serde_json::Value = serde_json::from_str(json).expect("JSON");
        assert_eq!("demo", json["service"]);
        assert_eq!(
            running.url,
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
fn leaves_and_finishes_what_runs() {
    let mut running = start("normal");
    let url = running.url.clone();
    let task = thread::spawn(move || call("POST", &url, &[("x-run-ms", "700")], "whole"));
    while executions(&running.url)["running"] != 1 {
        thread::yield_now();
    }
    running.process.terminate();
    running.agent.next("POST /v1/leave ");
    assert_eq!("whole", task.join().expect("answer").1);
    assert!(running.process.wait().success());
}

#[test_case("fail", Some(500); "fail answers 500")]
#[test_case("reset", None; "reset closes the connection")]
fn misbehaves(mode: &str, status: Option<u16>) {
    let running = start(mode);
    let request = oxhttp::model::Request::post(&running.url)
        .body("body")
        .expect("request");
    let answer = oxhttp::Client::new().request(request);
    assert_eq!(status, answer.ok().map(|answer| answer.status().as_u16()));
    assert_eq!(1, executions(&running.url)["total"]);
}

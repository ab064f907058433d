//! Jobs through separate processes: entries, agents and upstreams.

mod support;

use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentian_wire::id::Job;
use serde_json::{json, Value};
use support::call;
use support::system::{poll, System};
use test_case::test_case;

/// Number of jobs that makes it likely that each agent is the home of one.
const JOBS: usize = 20;

/// A job key created `age` seconds ago.
fn key(age: u64) -> Job {
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("a time after 1970");
    Job::new(wall - Duration::from_secs(age), rand::random())
}

/// A job of `tasks` tasks that run for `run_ms` each.
fn submission(key: Job, tasks: u64, run_ms: u64) -> String {
    let tasks: Vec<Value> = (0..tasks)
        .map(|task| json!({"run_time": "1s", "body": {"run_ms": run_ms, "task": task}}))
        .collect();
    json!({"key": key, "service": "demo", "team": "barn", "deadline": "15s", "tasks": tasks})
        .to_string()
}

fn post(address: &str, body: &str) -> (u16, Value) {
    let url = format!("http://{address}/v1/jobs");
    let (status, answer) = call("POST", &url, &[], body);
    let answer = serde_json::from_str(&answer).unwrap_or_else(|_| panic!("{answer}"));
    (status.as_u16(), answer)
}

fn spawn_post(address: &str, body: &str) -> JoinHandle<(u16, Value)> {
    let (address, body) = (address.to_owned(), body.to_owned());
    thread::spawn(move || post(&address, &body))
}

/// Number of members in the view that a node has in force.
fn members(address: &str) -> u64 {
    let (_, status) = call("GET", &format!("http://{address}/v1/status"), &[], "");
    let status: Value = serde_json::from_str(&status).expect("a JSON status");
    status["members"].as_u64().expect("a number of members")
}

/// Starts a system and waits until the view of each agent is old enough for it to
/// answer the first claim of a new job with `KIND_FIRST`.
fn start_settled_system(agents: usize, entries: usize) -> System {
    let system = System::start_with_entries(agents, entries);
    let addresses = system.entry_addresses.iter().chain(&system.agent_addresses);
    for address in addresses {
        poll(|| (members(address) == agents as u64).then_some(()));
    }
    let done = |address: &String| {
        let (status, answer) = post(address, &submission(key(0), 1, 0));
        if status != 200 {
            eprintln!("system is not ready yet: {status} {answer}");
        }
        status == 200
    };
    // Jobs have different homes, and each home goes by the age of its own view.
    let settled = |address| (0..JOBS).all(|_| done(address));
    poll(|| system.entry_addresses.iter().all(settled).then_some(()));
    system
}

/// Sum of an execution count over all upstreams.
fn count_executions(system: &System, name: &str) -> u64 {
    let upstreams = 0..system.upstreams.len();
    upstreams.map(|u| system.executions(u, name)).sum()
}

/// Number of tasks in an answer that have the given outcome.
fn count_outcomes(answer: &Value, outcome: &str) -> usize {
    let tasks = answer["tasks"].as_array().expect("an array of tasks");
    tasks.iter().filter(|t| t["outcome"] == outcome).count()
}

#[test]
fn largest_job_completes() {
    let system = start_settled_system(3, 1);
    let before = count_executions(&system, "total");
    let (status, answer) = post(&system.entry_addresses[0], &submission(key(0), 830, 5));
    assert_eq!((status, &answer["complete"]), (200, &json!(true)));
    for (index, task) in answer["tasks"]
        .as_array()
        .expect("an array of tasks")
        .iter()
        .enumerate()
    {
        assert_eq!(task["body"], json!({"run_ms": 5, "task": index}));
    }
    assert_eq!(count_executions(&system, "total") - before, 830);
    assert_eq!(count_executions(&system, "twice"), 0);
}

#[test_case(false ; "while the first coordinator runs")]
#[test_case(true ; "after the first coordinator was killed")]
fn job_resubmitted_to_another_entry_runs_once(killed: bool) {
    let system = start_settled_system(3, 2);
    let before = count_executions(&system, "total");
    let body = submission(key(0), 12, 1000);
    let mut first = Some(spawn_post(&system.entry_addresses[0], &body));
    poll(|| {
        if let Some(early) = first.take_if(|first| first.is_finished()) {
            panic!("the job was answered before a task ran: {:?}", early.join());
        }
        (count_executions(&system, "running") > 0).then_some(())
    });
    if killed {
        system.entries[0].kill();
    }
    let (status, answer) = post(&system.entry_addresses[1], &body);
    assert_eq!(
        (status, count_outcomes(&answer, "done")),
        (200, 12),
        "{answer}"
    );
    if !killed {
        let first = first.expect("checked above");
        assert_eq!(
            first.join().expect("the thread does not panic"),
            (200, answer)
        );
    }
    assert_eq!(count_executions(&system, "total") - before, 12);
    assert_eq!(count_executions(&system, "twice"), 0);
}

#[test]
fn thawed_coordinator_runs_no_task_again_after_another_took_over() {
    let system = start_settled_system(1, 2);
    let before = count_executions(&system, "total");
    let body = submission(key(0), 20, 1000);
    let first = spawn_post(&system.entry_addresses[0], &body);
    poll(|| (system.executions(0, "running") == 8).then_some(()));
    system.entries[0].signal(libc::SIGSTOP);
    let second = spawn_post(&system.entry_addresses[1], &body);
    poll(|| (count_executions(&system, "total") - before > 8).then_some(()));
    system.entries[0].signal(libc::SIGCONT);
    let (status, answer) = second.join().expect("the thread does not panic");
    assert_eq!(
        (status, count_outcomes(&answer, "done")),
        (200, 20),
        "{answer}"
    );
    let (status, answer) = first.join().expect("the thread does not panic");
    assert_eq!(
        (status, count_outcomes(&answer, "not_run")),
        (502, 0),
        "{answer}"
    );
    assert_eq!(count_executions(&system, "total") - before, 20);
}

#[test]
fn killed_agent_fails_the_job_and_its_tasks_never_run_again() {
    let system = start_settled_system(2, 2);
    let body = submission(key(0), 2, 2000);
    let first = spawn_post(&system.entry_addresses[0], &body);
    let busy = system.wait_for_running();
    thread::sleep(Duration::from_millis(100));
    let ran = count_executions(&system, "total");
    system.agents[busy].kill();
    let (status, answer) = first.join().expect("the thread does not panic");
    assert_eq!(
        (status, &answer["complete"]),
        (502, &json!(false)),
        "{answer}"
    );
    assert!(count_outcomes(&answer, "unknown") > 0, "{answer}");
    system.entries[0].kill();
    // Refused as not run at first, if the killed agent is the home of the job too.
    poll(|| match post(&system.entry_addresses[1], &body) {
        (503, _) => None,
        (status, answer) => {
            assert_eq!((status, &answer["complete"]), (502, &json!(false)));
            Some(())
        }
    });
    assert_eq!(count_executions(&system, "total"), ran);
}

#[test]
fn cancelled_job_starts_no_more_of_its_tasks() {
    let system = start_settled_system(1, 1);
    let before = count_executions(&system, "total");
    let key = key(0);
    let address = &system.entry_addresses[0];
    let first = spawn_post(address, &submission(key, 20, 1000));
    poll(|| (system.executions(0, "running") == 8).then_some(()));
    let (status, _) = call(
        "DELETE",
        &format!("http://{address}/v1/jobs/{key}"),
        &[],
        "",
    );
    assert_eq!(status.as_u16(), 502);
    let (_, answer) = first.join().expect("the thread does not panic");
    assert_eq!(count_outcomes(&answer, "not_run"), 12, "{answer}");
    assert_eq!(count_outcomes(&answer, "unknown"), 8, "{answer}");
    thread::sleep(Duration::from_millis(1500));
    assert_eq!(count_executions(&system, "total") - before, 8);
}

#[test_case(&submission(key(600), 1, 0), 410 ; "expired key")]
#[test_case(&submission(key(0), 0, 0), 400 ; "no tasks")]
#[test_case(&submission(key(0), 831, 0), 400 ; "too many tasks")]
#[test_case("{}", 400 ; "no key")]
fn invalid_submission_is_refused(body: &str, expected: u16) {
    let system = System::start_entry("127.0.0.1:1");
    let address = system.listen_address("entry-http").to_string();
    let (status, answer) = post(&address, body);
    assert_eq!(status, expected, "{answer}");
}

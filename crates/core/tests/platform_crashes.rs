//! Tasks that crash each worker that starts them, in the `platform` dialect: real processes
//! with simulated workers, which are down for 1.5 s after a crash.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use support::platform::{Platform, COMPLETED};
use support::system::poll;

/// Answer to a job that is given up for good.
const FAILED: &str = r#"{"state":"failed"}"#;
/// Most starts of a task under which workers crash: three, and fewer than three more.
const MAX_STARTS: u64 = 5;
/// Delay after which a caller resends a job that got no final answer.
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
const RESEND_LIMIT: Duration = Duration::from_secs(15);

/// Marks a task of a job as one that crashes workers.
fn make_deadly(platform: &Platform, id: &str, index: usize) -> String {
    let task = format!("{id}.0.0.{index}");
    let mut observed = platform.observed.lock().expect("the lock is not poisoned");
    observed.deadly.insert(task.clone());
    task
}

fn crashes(platform: &Platform, task: &str) -> u64 {
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    observed.crashes.get(task).copied().unwrap_or(0)
}

fn starts(platform: &Platform, task: &str) -> u64 {
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    observed.starts.get(task).copied().unwrap_or(0)
}

/// Sends a job to the entries in turn, like a caller that gets no final answer.
fn submit_until_answered(platform: &Platform, id: &str, count: usize) -> (u16, String) {
    let began = Instant::now();
    let mut turn = 0;
    loop {
        let path = format!("/q/{id}");
        let body = support::platform::job(count, 100).to_string();
        let entry = turn % platform.entries.len();
        let answer = platform.call_with(entry, "POST", &path, &[("deadline-ms", "1500")], &body);
        if answer.0 == 200 || began.elapsed() > RESEND_LIMIT {
            return answer;
        }
        turn += 1;
        thread::sleep(RESEND_DELAY);
    }
}

/// Jobs of issue 24 crashed one worker after the other, since lost runs were not counted.
#[test]
fn a_task_that_crashes_each_worker_is_given_up_after_two_crashes() {
    let platform = Platform::start(4, 2);
    let task = make_deadly(&platform, "0000000000000001", 1);
    let answer = submit_until_answered(&platform, "0000000000000001", 4);
    assert_eq!((200, FAILED.to_owned()), answer);
    let crashes = crashes(&platform, &task);
    assert!((2..=3).contains(&crashes), "{crashes} crashes");
    assert!(starts(&platform, &task) <= MAX_STARTS);
    // The workers are back and serve.
    let answer = submit_until_answered(&platform, "0000000000000002", 4);
    assert_eq!((200, COMPLETED.to_owned()), answer);
    platform.assert_no_concurrent_runs();
}

/// The count of crashes outlives the entry and the agents that saw them.
#[test]
fn crashes_under_a_task_are_remembered_when_entries_and_agents_restart() {
    let mut platform = Platform::start(4, 2);
    let id = "0000000000000001";
    let task = make_deadly(&platform, id, 0);
    let mut known = 0;
    for round in 0..8 {
        let body = support::platform::job(1, 100).to_string();
        let entry = round % 2;
        let path = format!("/q/{id}");
        let headers = [("deadline-ms", "600")];
        let (status, answer) = platform.call_with(entry, "POST", &path, &headers, &body);
        if status == 200 {
            assert_eq!(FAILED, answer);
            break;
        }
        // Either the entry or an agent is replaced between two attempts, not both at once.
        match round % 2 {
            0 => {
                platform.restart_entry(entry);
                platform.entries[entry].listen_address("entry-http");
            }
            _ => platform.workers[round / 2 % 4].restart_agent(),
        }
        platform.wait_until_serving(entry);
        let now = crashes(&platform, &task);
        assert!(now <= 3, "{now} crashes");
        known = known.max(now);
    }
    let before = starts(&platform, &task);
    for entry in [0, 1] {
        let answer = platform.submit(entry, id, 1, 100);
        assert_eq!((200, FAILED.to_owned()), answer, "entry {entry}");
    }
    assert_eq!(before, starts(&platform, &task));
    assert!(crashes(&platform, &task) <= 3);
}

/// Tasks that run beside one that crashes their worker are begun again and completed.
#[test]
fn jobs_beside_a_task_that_crashes_workers_complete() {
    let platform = Platform::start(4, 1);
    make_deadly(&platform, "0000000000000001", 0);
    // Long enough to be there when the bad task starts, beside it and beside its retries.
    let sound = ["0000000000000011", "0000000000000012", "0000000000000013"]
        .map(|id| platform.spawn_submit(0, id, 8, 700));
    poll(|| (platform.running() >= 12).then_some(()));
    let answer = submit_until_answered(&platform, "0000000000000001", 2);
    assert_eq!((200, FAILED.to_owned()), answer);
    for job in sound {
        let answer = job.join().expect("the thread does not panic");
        assert_eq!((200, COMPLETED.to_owned()), answer);
    }
    platform.assert_no_concurrent_runs();
}

/// Workers that crash for reasons of their own fail no job.
#[test]
fn crashes_that_no_task_caused_fail_no_job() {
    let platform = Platform::start(4, 2);
    let job = platform.spawn_submit(0, "0000000000000001", 8, 1_200);
    for worker in &platform.workers {
        poll(|| (platform.running() > 0 || job.is_finished()).then_some(()));
        thread::sleep(Duration::from_millis(150));
        worker.crash();
        thread::sleep(Duration::from_millis(900));
    }
    let answer = job.join().expect("the thread does not panic");
    assert_eq!((200, COMPLETED.to_owned()), answer);
    platform.assert_no_concurrent_runs();
}

/// An agent learns that its worker has restarted from the answer to a start, which was sent
/// to the new process: the former one can't have crashed under that task. Two workers that
/// restarted like that used to make a sound job fail.
#[test]
fn a_crash_before_a_start_is_not_counted_against_it() {
    const JOB: &str = "0000000000000001";
    let platform = Platform::start(1, 1);
    platform.workers[0].set_silent(true);
    // Until the last ends are acknowledged, a poll could tell of the restart first.
    thread::sleep(Duration::from_millis(300));
    platform.workers[0].restart_worker();
    let job = platform.spawn_submit(0, JOB, 1, 50);
    thread::sleep(Duration::from_millis(500));
    platform.workers[0].set_silent(false);
    assert_eq!(
        (200, COMPLETED.to_owned()),
        job.join().expect("the thread does not panic")
    );
    let lines = platform.explain(JOB, "answered");
    let mut events = lines.iter().map(|line| &line["event"]);
    assert!(events.all(|event| event != "crashed_under"), "{lines:#?}");
}

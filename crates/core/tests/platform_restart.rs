//! Restarts of all control instances in the `platform` dialect: real processes.

mod support;

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use support::platform::control::config;
use support::platform::{Platform, COMPLETED};

/// Longest time from the start of the processes until a leader answers, with a margin for a
/// busy host. Without the vote of those who know the former leader, an election alone
/// takes 400 to 800 ms.
const RETURN_WITHIN: Duration = Duration::from_millis(400);

/// Time after the acknowledgement of a configuration from which no entry may act on another.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Run time of a job that may start 1.8 s after its arrival and still ends in time.
const LONG_RUN_MS: u64 = 3_000;

#[test]
fn a_job_waits_for_the_first_configuration_of_an_entry() {
    let mut platform = Platform::start(1, 1);
    platform.restart_entry_without_control(0, "5s");
    let job = platform.spawn_submit(0, "00000000000000a1", 1, LONG_RUN_MS);
    (0..3).for_each(|index| platform.restart_control(index));
    let (status, body) = job.join().expect("the caller's thread ends");
    assert_eq!((200, COMPLETED), (status, body.as_str()));
}

/// What would end too late is refused once there is a configuration, and what waits for one
/// in vain is refused after its share of the wait.
#[test]
fn a_job_that_would_be_late_is_refused() {
    let mut platform = Platform::start(1, 1);
    platform.restart_entry_without_control(0, "5s");
    let short = platform.spawn_submit(0, "00000000000000a2", 1, 10);
    thread::sleep(Duration::from_millis(200));
    (0..3).for_each(|index| platform.restart_control(index));
    let (status, body) = short.join().expect("the caller's thread ends");
    assert_eq!(503, status, "{body}");
    assert!(body.contains("waited"), "{body}");
    assert_eq!(0, platform.running());
}

/// A new queue was refused as unknown by an entry that had not heard of it.
#[test]
fn an_entry_that_control_does_not_confirm_calls_no_queue_unknown() {
    let mut platform = Platform::start(1, 1);
    assert_eq!(404, platform.call(0, "GET", "/none/", "").0);
    for control in &mut platform.controls {
        control.kill();
        control.wait();
    }
    thread::sleep(Duration::from_millis(1_200));
    let (status, body) = platform.call(0, "GET", "/none/", "");
    assert_eq!(503, status, "{body}");
    let answer = platform.submit(0, "00000000000000a4", 1, 100);
    assert_eq!(
        (200, COMPLETED.to_owned()),
        answer,
        "known queues are served"
    );
}

#[test]
fn a_job_is_refused_after_its_wait_for_a_configuration() {
    let mut platform = Platform::start(1, 1);
    platform.restart_entry_without_control(0, "100ms");
    let begin = Instant::now();
    let (status, body) = platform.submit(0, "00000000000000a3", 1, LONG_RUN_MS);
    assert_eq!(503, status, "{body}");
    assert!(begin.elapsed() >= Duration::from_millis(100));
    assert!(begin.elapsed() < Duration::from_secs(2));
}

#[test]
fn a_leader_answers_soon_after_all_control_instances_were_killed() {
    let mut platform = Platform::start(1, 1);
    platform.put_config(9, 2_000);
    let mut times = Vec::new();
    for _ in 0..5 {
        for control in &mut platform.controls {
            control.kill();
            control.wait();
        }
        let begin = Instant::now();
        (0..3).for_each(|index| platform.restart_control(index));
        assert_eq!(config(9, 2_000), platform.read_config());
        times.push(begin.elapsed());
    }
    times.sort();
    println!("{times:?}");
    assert!(times[2] < RETURN_WITHIN, "{times:?}");
}

/// Guards against an entry that goes on after it has stood still, and handles what waited in its
/// sockets by the configuration that it had before: a route that was dropped was served, and one
/// that was added was not.
#[test]
fn a_thawed_entry_asks_control_before_it_handles_requests() {
    let platform = Platform::start(1, 1);
    assert_eq!(200, platform.call(0, "GET", "/q/", "").0);
    let entry = &platform.entries[0];
    entry.signal(libc::SIGSTOP);
    let mut next = config(9, 2_000);
    next["routes"][0]["path-prefix"] = json!("/next/");
    platform.put_config_body(&next);
    thread::sleep(IN_FORCE_WITHIN);
    let paths = ["/q/", "/next/"].repeat(4);
    let calls: Vec<_> = paths
        .iter()
        .map(|path| platform.spawn_get(0, path))
        .collect();
    thread::sleep(Duration::from_millis(300));
    entry.signal(libc::SIGCONT);
    let answers = calls
        .into_iter()
        .map(|call| call.join().expect("the thread ends"));
    let answers: Vec<u16> = answers.collect();
    assert_eq!([404, 200].repeat(4), answers);
}

//! Drains of data centres in the `platform` dialect: real processes with simulated workers.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use gentian::wire::agent::{End, Fate, Refusal};
use serde_json::{json, Value};
use support::agent_stream::{start, AgentStream};
use support::platform::control::{call_control, drain_path, DrainOrder};
use support::platform::{Platform, COMPLETED};
use support::system::poll;
use support::{output, text};
use test_case::test_case;

/// Time from the acknowledgement of a drain until nothing starts there any more.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Number of the last run that a test has ordered itself. The numbers of a task's runs rise, and
/// none is used twice.
static LAST_RUN: AtomicU64 = AtomicU64::new(0);

/// Number of runs that have begun at a worker.
fn starts_at(platform: &Platform, worker: usize) -> usize {
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    let id = format!("i-{worker}");
    observed
        .runs
        .iter()
        .filter(|(_, _, worker)| *worker == id)
        .count()
}

/// Submits jobs for a while; returns how many were completed.
fn submit_for(platform: &Platform, time: Duration) -> usize {
    let begin = Instant::now();
    let mut completed = 0;
    let mut number = 0;
    while begin.elapsed() < time {
        number += 1;
        let answer = platform.submit(0, &format!("{number:016x}"), 4, 20);
        completed += usize::from(answer == (200, COMPLETED.to_owned()));
    }
    completed
}

#[track_caller]
fn assert_gets_nothing(platform: &Platform, worker: usize) {
    let before = starts_at(platform, worker);
    let completed = submit_for(platform, Duration::from_millis(500));
    assert!(completed > 5, "the other data centre serves");
    assert_eq!(before, starts_at(platform, worker), "runs began there");
}

#[test]
fn a_drained_data_centre_finishes_its_runs_and_gets_no_more() {
    let platform = Platform::start_in(&["d", "e"], 1);
    let long = platform.spawn_submit(0, "00000000000000bb", 18, 2_500);
    poll(|| (platform.running() == 18).then_some(()));
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    assert_eq!(
        (200, COMPLETED.to_owned()),
        long.join().expect("the thread does not panic")
    );
    assert_gets_nothing(&platform, 1);
    assert_eq!(0, platform.count_ends("stopped"));
    let page = platform.metrics();
    assert!(page.contains("gentian_upstreams_denied 1"), "{page}");
    platform.drain("e", DrainOrder::End);
    let before = starts_at(&platform, 1);
    poll(|| {
        platform.submit(0, "00000000000000cc", 18, 200);
        (starts_at(&platform, 1) > before).then_some(())
    });
}

/// Callers are told at once that nothing ran; a resent order changes nothing.
#[test]
fn with_everything_drained_jobs_are_refused_at_once() {
    let platform = Platform::start_in(&["d", "e"], 1);
    platform.drain("d", DrainOrder::Start);
    platform.drain("e", DrainOrder::Start);
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    let begin = Instant::now();
    let (status, body) = platform.submit(0, "00000000000000dd", 2, 20);
    assert_eq!(503, status, "{body}");
    assert!(body.contains("denied"), "{body}");
    assert!(begin.elapsed() < Duration::from_millis(100));
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    assert!(!observed.starts.contains_key("00000000000000dd.0.0.0"));
}

/// What was acknowledged is in force when all control instances come back, and a
/// configuration by number neither ends a drain nor begins one again.
#[test]
fn a_drain_outlives_all_control_instances_and_whole_configurations() {
    let mut platform = Platform::start_in(&["d", "e"], 1);
    platform.drain("e", DrainOrder::Start);
    for control in &mut platform.controls {
        control.kill();
    }
    for index in 0..3 {
        platform.restart_control(index);
    }
    platform.put_config(9, 2_000);
    thread::sleep(IN_FORCE_WITHIN);
    assert_gets_nothing(&platform, 1);
    platform.drain("e", DrainOrder::End);
    platform.put_config(10, 2_000);
    let before = starts_at(&platform, 1);
    poll(|| {
        platform.submit(0, "00000000000000cc", 18, 200);
        (starts_at(&platform, 1) > before).then_some(())
    });
}

/// Orders a run from an agent, as an entry that does not know of any drain; returns how the
/// run ended.
fn order_run(platform: &Platform, worker: usize) -> End {
    let mut stream = AgentStream::open(&platform.workers[worker].agent_peer);
    let (_, mut batch) = start("00000000000000ee.0.0.0", 20);
    batch.runs[0].run = LAST_RUN.fetch_add(1, Ordering::Relaxed) + 1;
    stream.order(vec![batch], Vec::new())
}

/// Entries that are cut off from control, and those that learn late, go by what they knew.
#[test]
fn an_agent_refuses_what_an_unaware_entry_orders() {
    let mut platform = Platform::start_in(&["d", "e"], 1);
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    assert_eq!(Refusal::Denied, order_run(&platform, 1).refusal());
    assert_eq!(Fate::Done, order_run(&platform, 0).fate());
    for control in &platform.controls {
        control.signal(libc::SIGSTOP);
    }
    platform.workers[1].restart_agent();
    thread::sleep(Duration::from_millis(500));
    let refusal = order_run(&platform, 1).refusal();
    assert_eq!(Refusal::Denied, refusal, "after the agent's restart");
    for control in &platform.controls {
        control.signal(libc::SIGCONT);
    }
    platform.drain("e", DrainOrder::End);
    poll(|| (order_run(&platform, 1).fate() == Fate::Done).then_some(()));
}

/// The agent forgets what it knew of the configuration; until control tells it again, it
/// starts nothing.
#[test]
fn a_restarted_agent_starts_nothing_before_it_knows_the_configuration() {
    let mut platform = Platform::start_in(&["d", "e"], 1);
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    for control in &platform.controls {
        control.signal(libc::SIGSTOP);
    }
    let before = starts_at(&platform, 1);
    platform.workers[1].restart_agent();
    let completed = submit_for(&platform, Duration::from_secs(3));
    assert!(completed > 5, "the other data centre serves");
    assert_eq!(before, starts_at(&platform, 1), "runs began there");
    for control in &platform.controls {
        control.signal(libc::SIGCONT);
    }
    platform.drain("e", DrainOrder::End);
    poll(|| {
        platform.submit(0, "00000000000000cc", 18, 200);
        (starts_at(&platform, 1) > before).then_some(())
    });
}

/// The entry was frozen when the drain came, and orders starts by what it knew before.
#[test]
fn an_entry_that_learns_late_starts_nothing_there() {
    let platform = Platform::start_in(&["d", "e"], 1);
    platform.entries[0].signal(libc::SIGSTOP);
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    let before = starts_at(&platform, 1);
    platform.entries[0].signal(libc::SIGCONT);
    platform.submit(0, "00000000000000aa", 18, 100);
    assert_eq!(before, starts_at(&platform, 1), "runs began there");
}

/// The instance that took the order may have died before or after it was stored; the order
/// is sent again to the others, and holds once.
#[test]
fn an_order_without_an_answer_is_carried_out_when_it_is_sent_again() {
    let mut platform = Platform::start_in(&["d", "e"], 1);
    let path = drain_path("e", DrainOrder::Start);
    for index in 0..2 {
        let address = platform.control_addresses()[index].clone();
        let path = path.clone();
        let lost = thread::spawn(move || call_control(&address, "POST", &path, ""));
        thread::sleep(Duration::from_millis(1));
        platform.restart_control(index);
        lost.join().expect("the thread does not panic");
    }
    poll(|| (platform.call_control(2, "POST", &path, "").0 == 200).then_some(()));
    thread::sleep(IN_FORCE_WITHIN);
    assert_gets_nothing(&platform, 1);
}

/// A minority can't know which data centres are drained, nor drain one.
#[test]
fn a_minority_neither_drains_nor_lists() {
    let mut platform = Platform::start_in(&["d", "e"], 1);
    for control in &mut platform.controls[..2] {
        control.kill();
        control.wait();
    }
    thread::sleep(Duration::from_secs(1));
    let path = drain_path("e", DrainOrder::Start);
    assert_eq!(503, platform.call_control(2, "POST", &path, "").0);
    assert_eq!(503, platform.call_control(2, "GET", "/v1/drains", "").0);
    for index in 0..2 {
        platform.restart_control(index);
    }
    platform.drain("e", DrainOrder::Start);
    thread::sleep(IN_FORCE_WITHIN);
    assert_gets_nothing(&platform, 1);
}

/// None of these is carried out; the last names an unknown data centre.
#[test]
fn malformed_orders_are_refused() {
    let platform = Platform::start_in(&["d", "e"], 1);
    platform.drain("d", DrainOrder::Start);
    for (method, path) in [
        ("GET", "/v1/drainsd"),
        ("GET", "/v1/drains/d"),
        ("PUT", "/v1/drains"),
        ("POST", "/v1/drains/d"),
        ("DELETE", "/v1/drains/"),
        ("DELETE", "/v1/drains/f"),
    ] {
        let (status, answer) = platform.call_leader(method, path, "");
        assert_eq!(404, status, "{method} {path}: {answer}");
    }
    let (status, list) = platform.call_leader("GET", "/v1/drains", "");
    let list: Value = serde_json::from_str(&list).expect("valid JSON");
    assert_eq!((200, &json!(["d"])), (status, &list["drained"]));
}

#[test_case("drain", json!(["e"]) ; "drain")]
#[test_case("undrain", json!([]) ; "undrain")]
fn operators_order_by_command(command: &str, drained: Value) {
    let platform = Platform::start_in(&["d", "e"], 1);
    if command == "undrain" {
        platform.drain("e", DrainOrder::Start);
    }
    let urls = platform.control_addresses();
    let urls = urls.iter().map(|address| format!("http://{address}"));
    let urls = urls.collect::<Vec<_>>().join(",");
    poll(|| {
        let ordered = output(&[command, "e", "--control", &urls]);
        ordered.status.success().then_some(())
    });
    let listed = poll(|| {
        let listed = output(&["drains", "--control", &urls]);
        serde_json::from_str::<Value>(&text(&listed.stdout)).ok()
    });
    assert_eq!(drained, listed["drained"]);
    let unknown = poll(|| {
        let unknown = output(&[command, "nowhere", "--control", &urls]);
        Some(text(&unknown.stderr).to_owned()).filter(|text| text.contains("nowhere"))
    });
    assert!(unknown.contains("d, e"), "{unknown}");
}

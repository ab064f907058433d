//! Workers whose process has been replaced by another one, unnoticed at first: real processes with
//! simulated workers.

mod support;

use std::thread;
use std::time::Duration;

use gentian::wire::agent::{Batch, Fate, Refusal};
use support::agent_stream::{start, AgentStream};
use support::platform::{Platform, COMPLETED};
use support::system::poll;
use support::worker::Behavior;
use test_case::test_case;

/// Guards against starts that were sent to the process before, and stopped there, and that a
/// restarted worker carries out beside the next runs of their tasks.
#[test]
fn a_restarted_worker_starts_nothing_that_was_sent_before() {
    let platform = Platform::start(2, 1);
    for id in ["00000000000000a1", "00000000000000a2"] {
        platform.workers[0].set_behavior(Behavior::LateStarts);
        let job = platform.spawn_submit(0, id, 12, 3_000);
        thread::sleep(Duration::from_millis(600));
        platform.workers[0].restart_worker();
        let answer = job.join().expect("the thread does not panic");
        assert_eq!((200, COMPLETED.to_owned()), answer);
    }
    platform.assert_no_concurrent_runs();
}

/// Guards against runs that were reported as lost, and started again elsewhere, since the worker
/// that had begun them was a restarted one that had sent no heartbeat yet.
#[test]
fn what_a_restarted_worker_begins_before_its_first_heartbeat_runs_once() {
    let platform = Platform::start(2, 1);
    platform.workers[0].set_silent(true);
    let before = platform.count_ends("done");
    // The agent polls its worker no more.
    thread::sleep(Duration::from_millis(300));
    platform.workers[0].restart_worker();
    let job = platform.spawn_submit(0, "0000000000000001", 12, 900);
    poll(|| (platform.workers[0].running() > 0).then_some(()));
    assert_eq!(
        (200, COMPLETED.to_owned()),
        job.join().expect("the thread ends")
    );
    platform.assert_no_concurrent_runs();
    assert_eq!(before + 12, platform.count_ends("done"));
    assert_eq!(0, platform.count_ends("stopped"));
    platform.workers[0].set_silent(false);
    let answer = platform.submit(0, "0000000000000002", 20, 50);
    assert_eq!((200, COMPLETED.to_owned()), answer);
}

/// Guards against runs that a restarted worker held by the deadline of its former process, and so
/// beyond the time at which its agent counted them as lost and they started elsewhere.
#[test_case(0; "without work")]
#[test_case(2; "with work")]
fn a_restarted_worker_that_answers_nothing_holds_no_run_for_too_long(tasks: usize) {
    let platform = Platform::start(2, 1);
    platform.workers[0].set_silent(true);
    let before = (tasks > 0).then(|| platform.spawn_submit(0, "0000000000000001", tasks, 1_500));
    // The worker's clock is then ahead of that of its next life by more than a lease.
    thread::sleep(Duration::from_millis(1_000));
    platform.workers[0].restart_process(Behavior::Mute);
    let job = platform.spawn_submit(0, "0000000000000002", 12, 1_500);
    thread::sleep(Duration::from_millis(950));
    platform.workers[0].set_behavior(Behavior::Normal);
    platform.workers[0].set_silent(false);
    for job in before.into_iter().chain([job]) {
        let answer = job.join().expect("the thread does not panic");
        assert_eq!((200, COMPLETED.to_owned()), answer);
    }
    platform.assert_no_concurrent_runs();
}

/// A worker that restarts under its id used to carry out orders that the agent had sent
/// before it learned of the restart. The agent took these tasks for lost and started
/// them elsewhere as well. Found by seed 53 of the soak test.
#[test]
fn a_worker_that_restarts_under_its_id_runs_nothing_twice() {
    let platform = Platform::start(2, 1);
    for round in 0..4 {
        thread::sleep(Duration::from_millis(700));
        platform
            .workers
            .iter()
            .for_each(|worker| worker.restart_worker());
        let answer = platform.submit(0, &format!("{round:016x}"), 8, 300);
        assert_eq!((200, COMPLETED.to_owned()), answer);
    }
    platform.assert_no_concurrent_runs();
}

/// Guards against tasks on workers of another kind or service: an entry that had stood still
/// ordered them by what it knew of a worker that had been replaced.
#[test_case("desk", "a", false; "kind")]
#[test_case("till", "b", false; "service")]
#[test_case("desk", "b", true; "nothing else")]
fn an_order_that_requires_of_a_replaced_worker_another(service: &str, kind: &str, begins: bool) {
    let platform = Platform::start(1, 1);
    platform.workers[0].replace_by("b");
    platform.wait_until_serving(0);
    let mut stream = AgentStream::open(&platform.workers[0].agent_peer);
    let task = "00000000000000ee.0.0.0";
    let (_, batch) = start(task, 50);
    let batch = Batch {
        service: service.to_owned(),
        required_label: kind.to_owned(),
        ..batch
    };
    let end = stream.order(vec![batch], Vec::new());
    let expected = match begins {
        true => (Fate::Done, Refusal::Unspecified),
        false => (Fate::Refused, Refusal::Unsuitable),
    };
    assert_eq!(expected, (end.fate(), end.refusal()));
    let observed = platform.observed.lock().expect("the lock is not poisoned");
    assert_eq!(begins, observed.starts.contains_key(task));
}

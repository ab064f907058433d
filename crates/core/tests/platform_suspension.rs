//! Agents and entries of the `platform` dialect whose system is suspended: real processes with
//! simulated workers.

mod support;

use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use support::platform::{job, Platform, COMPLETED};
use support::suspension::Suspension;
use support::system::poll;

/// Longer than an entry waits until it starts the tasks of an agent that it lost elsewhere.
const SUSPENDED_FOR: Duration = Duration::from_millis(1_400);
/// Time for which callers wait, in milliseconds, and after which they send a job again.
const DEADLINE_MS: u64 = 500;
const RESEND_DELAY: Duration = Duration::from_millis(1_300);
/// Time for a heartbeat to be sent to the suspended agent.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(250);

/// In each round, a job that runs when the agent is suspended, and one that comes later.
const JOBS: [[&str; 2]; 4] = [
    ["00000000000000a1", "00000000000000b1"],
    ["00000000000000a2", "00000000000000b2"],
    ["00000000000000a3", "00000000000000b3"],
    ["00000000000000a4", "00000000000000b4"],
];

/// Guards against starts that wait in the sockets of a suspended agent and are carried out when
/// it goes on, although their entry has started the tasks elsewhere.
#[test]
fn an_agent_starts_nothing_that_was_ordered_before_it_was_suspended() {
    let mut platform = Platform::start(2, 1);
    let mut suspension = Suspension::new();
    platform.workers[0].restart_agent_prepared(|command| suspension.prepare(command));
    let worker = &platform.workers[0];
    let job = platform.spawn_submit(0, "00000000000000c1", 60, 200);
    poll(|| (worker.running() > 0).then_some(()));
    job.join().expect("the thread does not panic");
    for [running, waiting] in JOBS {
        let first = platform.spawn_submit(0, running, 14, 600);
        poll(|| (worker.running() > 0).then_some(()));
        worker.set_silent(true);
        suspension.suspend(&worker.agent);
        let second = platform.spawn_submit(0, waiting, 6, 2_000);
        thread::sleep(SUSPENDED_FOR);
        worker.set_silent(false);
        thread::sleep(HEARTBEAT_DELAY);
        suspension.resume(&worker.agent);
        for job in [first, second] {
            let answer = job.join().expect("the thread does not panic");
            assert_eq!((200, COMPLETED.to_owned()), answer);
        }
        thread::sleep(Duration::from_millis(700));
    }
    platform.assert_no_concurrent_runs();
}

/// Guards against tasks that run for two entries at once: the deadlines of the jobs of a
/// suspended entry stood still with it.
#[test]
fn jobs_whose_deadlines_passed_while_their_entry_was_suspended_run_nowhere() {
    let mut platform = Platform::start(3, 2);
    let mut suspension = Suspension::new();
    platform.restart_entry_prepared(0, |command| suspension.prepare(command));
    platform.entries[0].listen_address("entry-http");
    platform.wait_until_serving(0);
    let filling = platform.spawn_submit(1, "00000000000000bb", 30, 800);
    poll(|| (platform.running() == 30).then_some(()));
    let ids: Vec<String> = (1..=24).map(|number| format!("{number:016x}")).collect();
    let send = |id: &String| platform.send(0, id, &job(1, 1_500), DEADLINE_MS);
    let _stale: Vec<TcpStream> = ids.iter().map(send).collect();
    thread::sleep(Duration::from_millis(100));
    suspension.suspend(&platform.entries[0]);
    thread::sleep(Duration::from_millis(DEADLINE_MS) + RESEND_DELAY);
    let resend = |id: &String| platform.spawn_submit_id(1, id.clone(), 1, 1_500);
    let resent: Vec<_> = ids.iter().map(resend).collect();
    poll(|| (platform.running() == ids.len()).then_some(()));
    suspension.resume(&platform.entries[0]);
    for job in resent.into_iter().chain([filling]) {
        let answer = job.join().expect("the thread does not panic");
        assert_eq!((200, COMPLETED.to_owned()), answer);
    }
    platform.assert_no_concurrent_runs();
}

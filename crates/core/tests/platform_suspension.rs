//! Agents of the `platform` dialect whose system is suspended: real processes with simulated
//! workers.

mod support;

use std::thread;
use std::time::Duration;

use support::platform::{Platform, COMPLETED};
use support::suspension::Suspension;
use support::system::poll;

/// Longer than an entry waits until it starts the tasks of an agent that it lost elsewhere.
const SUSPENDED_FOR: Duration = Duration::from_millis(1_400);
/// Time for a heartbeat to be sent to the suspended agent.
const HEARTBEAT_DELAY: Duration = Duration::from_millis(250);

/// In each round, a job that runs when the agent is suspended, and one that comes later.
const JOBS: [[&str; 2]; 4] = [
    ["00000000000000a1", "00000000000000b1"],
    ["00000000000000a2", "00000000000000b2"],
    ["00000000000000a3", "00000000000000b3"],
    ["00000000000000a4", "00000000000000b4"],
];

/// Starts that waited in the sockets of a suspended agent were carried out when it went on,
/// since its clock had stood still with it; their entry had long started the tasks elsewhere.
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

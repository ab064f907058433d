//! Restarts of all control instances in the `platform` dialect: real processes.

mod support;

use std::time::{Duration, Instant};

use support::platform::control::config;
use support::platform::Platform;

/// Longest time from the start of the processes until a leader answers, with a margin for a
/// busy host. Without the vote of those who know the former leader, an election alone
/// takes 400 to 800 ms.
const RETURN_WITHIN: Duration = Duration::from_millis(400);

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

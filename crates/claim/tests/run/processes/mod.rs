//! Drawn orders of starts, crashes, restarts under the same id, polls, heartbeats (some of another
//! writer), and answers that are lost or orders that are carried out late. In a second form the
//! processes are silent for long, and orders are bound to connections, as the agent binds them.
//!
//! What is reported as over must be over: it doesn't run at that moment, nor later. What is
//! done at the process that is there must be reported so, unless that has been silent since.

mod process;
mod world;

use std::time::Duration;

use test_case::test_case;

use super::ms;
use world::{Path, World};

/// Time for which each seed is played.
const LENGTH: Duration = ms(8_000);
const SEEDS: u64 = 400;

/// Guards against each way in which the end of a run is believed from what doesn't show it: the
/// answer to a start by a process that is not known yet, a heartbeat, an outdated list, and the
/// end of a lease by the clock of another process.
#[test_case(Path::Any; "on any path")]
#[test_case(Path::Connection; "of a process that may be silent")]
fn a_run_that_is_reported_as_over_is_over(path: Path) {
    let mut over = 0;
    for seed in 0..SEEDS {
        let mut world = World::new(seed, path);
        while world.now < LENGTH && world.violation.is_none() {
            world.step();
        }
        let log = world.log.join("\n");
        assert_eq!(world.violation, None, "seed {seed}:\n{log}");
        over += world.over.len();
    }
    assert!(
        over > 10 * SEEDS as usize,
        "{over} runs were reported as over"
    );
}

//! Random events against the whole of gate, home, place and coordinator.

use std::time::Duration;

use super::world::{node, World, AGENTS};
use gentian_claim::coordinator::Event;
use gentian_wire::outcome::Outcome;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TASKS: u32 = 3;

fn step(world: &mut World, op: u8, arg: usize) {
    let pick = |len: usize| (len > 0).then(|| arg % len.max(1));
    let attempt = pick(world.attempts.len());
    match op {
        0..=7 => {
            let age = Duration::from_secs(arg as u64 / 16 % 4 * 3);
            let job = match attempt {
                Some(earlier) if op > 0 => world.attempts[earlier].job,
                _ => world.key(arg as u8, age),
            };
            world.submit(arg % 3, job, TASKS);
        }
        8 | 9 => {
            if let Some(i) = pick(world.net.len()) {
                world.lose(i);
            }
        }
        10 | 11 => {
            if let Some(i) = pick(world.net.len()) {
                world.copy(i);
            }
        }
        12 => world.now += Duration::from_millis(arg as u64 % 25_000),
        13 | 14 => world.renew(arg % (AGENTS + 3)),
        15 => world.renew_all(),
        16 => world.accept(arg % AGENTS),
        17 => world.restart_agent(arg % AGENTS),
        18 => world.restart_entry(arg % 3),
        19 => world.parted = !world.parted,
        20 => {
            if let Some(attempt) = attempt {
                let agent = node(arg / 7 % AGENTS);
                let ends = arg.is_multiple_of(5);
                world.event(
                    attempt,
                    if ends {
                        Event::Abandoned
                    } else {
                        Event::AgentLost { agent }
                    },
                );
            }
        }
        21..=29 => {
            if let Some(run) = pick(world.running.len()) {
                let failed = arg.is_multiple_of(11);
                world.finish(
                    run,
                    if failed {
                        Outcome::Failed
                    } else {
                        Outcome::Done
                    },
                );
            }
        }
        30..=49 => {
            let burst = world.net.len().min(arg % 10);
            for message in world.net.drain(..burst).collect::<Vec<_>>() {
                world.deliver(message);
                world.check();
            }
        }
        _ => {
            if let Some(i) = pick(world.net.len()) {
                let message = world.net.swap_remove(i);
                world.deliver(message);
            }
        }
    }
    world.start(arg % 3);
    world.check();
}

#[test]
fn nothing_runs_twice_and_all_answers_are_true() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u8..100, 0usize..100_000), 40..250);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut world = World::new();
            steps
                .into_iter()
                .for_each(|(op, arg)| step(&mut world, op, arg));
            Ok(())
        })
        .unwrap();
}

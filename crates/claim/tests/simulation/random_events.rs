//! Random events in the simulated cluster.

use std::time::Duration;

use super::cluster::{node, Cluster, AGENTS};
use gentian_claim::coordinator::Event;
use gentian_wire::outcome::Outcome;
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const TASKS: u32 = 3;

/// Applies the event that `op` selects, with details taken from `arg`, then starts
/// tasks and checks all answers given so far.
fn step(cluster: &mut Cluster, op: u8, arg: usize) {
    let pick = |len: usize| (len > 0).then(|| arg % len.max(1));
    let attempt = pick(cluster.attempts.len());
    match op {
        0..=7 => {
            let age = Duration::from_secs(arg as u64 / 16 % 4 * 3);
            let job = match attempt {
                Some(earlier) if op > 0 => cluster.attempts[earlier].job,
                _ => cluster.key(arg as u8, age),
            };
            cluster.submit(arg % 3, job, TASKS);
        }
        8 | 9 => {
            if let Some(i) = pick(cluster.network.len()) {
                cluster.lose(i);
            }
        }
        10 | 11 => {
            if let Some(i) = pick(cluster.network.len()) {
                cluster.duplicate(i);
            }
        }
        12 => cluster.now += Duration::from_millis(arg as u64 % 25_000),
        13 | 14 => cluster.renew(arg % (AGENTS + 3)),
        15 => cluster.renew_all(),
        16 => cluster.accept(arg % AGENTS),
        17 => cluster.restart_agent(arg % AGENTS),
        18 => cluster.restart_entry(arg % 3),
        19 => cluster.partitioned = !cluster.partitioned,
        20 => {
            if let Some(attempt) = attempt {
                let agent = node(arg / 7 % AGENTS);
                let abandoned = arg.is_multiple_of(5);
                cluster.handle_event(
                    attempt,
                    if abandoned {
                        Event::Abandoned
                    } else {
                        Event::AgentLost { agent }
                    },
                );
            }
        }
        21..=29 => {
            if let Some(run) = pick(cluster.running.len()) {
                let failed = arg.is_multiple_of(11);
                cluster.finish(
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
            let burst = cluster.network.len().min(arg % 10);
            for message in cluster.network.drain(..burst).collect::<Vec<_>>() {
                cluster.deliver(message);
                cluster.check();
            }
        }
        _ => {
            if let Some(i) = pick(cluster.network.len()) {
                let message = cluster.network.swap_remove(i);
                cluster.deliver(message);
            }
        }
    }
    cluster.start(arg % 3);
    cluster.check();
}

#[test]
fn no_task_runs_twice_and_all_answers_are_correct() {
    let config = Config {
        cases: 3000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let steps = vec((0u8..100, 0usize..100_000), 40..250);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut cluster = Cluster::new();
            steps
                .into_iter()
                .for_each(|(op, arg)| step(&mut cluster, op, arg));
            Ok(())
        })
        .unwrap();
}

//! Tests of the confinement of queues whose tasks crash upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_route::bulkhead::{Bulkhead, Crash, CrashedRun, Pool, Settings};
use gentian_wire::id::Node;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

fn node(index: usize) -> Node {
    format!("agent-{index:03}").parse().expect("a valid name")
}

fn nodes(count: usize) -> Vec<Node> {
    (0..count).map(node).collect()
}

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn run(queue: &str, age_ms: u64) -> CrashedRun {
    CrashedRun {
        queue: queue.to_owned(),
        age: ms(age_ms),
        repeated: false,
    }
}

/// A crash of an upstream where queue `bad` starts 5 jobs a second and `busy` 10.
fn crash(upstream: usize, at_ms: u64, runs: Vec<CrashedRun>) -> Crash {
    let rates = [("bad", 5.0), ("busy", 10.0), ("long", 1.0)];
    Crash {
        upstream: node(upstream),
        at: ms(at_ms),
        runs,
        starts_per_s: BTreeMap::from(rates.map(|(queue, rate)| (queue.to_owned(), rate))),
    }
}

/// Confines queue `bad` by three crashes soon after its starts; returns the time.
fn confine(bulkhead: &mut Bulkhead, upstreams: &[Node]) -> u64 {
    for index in 0..3 {
        let runs = vec![run("bad", 10), run("busy", 120), run("long", 600)];
        let at = 1_000 + 200 * index as u64;
        bulkhead.observe(&crash(index, at, runs), upstreams);
    }
    assert!(bulkhead.is_confined("bad"));
    1_400
}

#[test]
fn a_queue_is_confined_whose_starts_are_followed_by_crashes() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    confine(&mut bulkhead, &nodes(11));
    assert_eq!(1, bulkhead.confined_queues());
    assert_eq!(4, bulkhead.reserved().len());
    // The first two crashes are enough, and their upstreams are lost to the others anyway.
    for crashed in nodes(2) {
        assert!(bulkhead.pool(true).includes(&crashed));
        assert!(!bulkhead.pool(false).includes(&crashed));
    }
}

/// The other queue started a task even closer to a crash, by chance.
#[test]
fn the_queue_is_confined_that_explains_all_crashes() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let upstreams = nodes(11);
    let first = vec![run("bad", 10), run("busy", 150), run("long", 500)];
    assert_eq!(None, bulkhead.observe(&crash(0, 1_000, first), &upstreams));
    let second = vec![run("bad", 10), run("busy", 1), run("long", 8)];
    bulkhead.observe(&crash(1, 1_200, second), &upstreams);
    let third = vec![run("bad", 10), run("busy", 40), run("long", 900)];
    bulkhead.observe(&crash(2, 1_400, third), &upstreams);
    assert!(bulkhead.is_confined("bad"));
    assert!(!bulkhead.is_confined("busy") && !bulkhead.is_confined("long"));
}

#[test]
fn one_crash_confines_nobody() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let mut runs = vec![run("long", 1)];
    runs[0].repeated = true;
    assert_eq!(None, bulkhead.observe(&crash(0, 1_000, runs), &nodes(3)));
}

/// Tasks that crash their upstream long after their start are known by their second crash.
#[test]
fn a_queue_is_confined_whose_tasks_crash_upstreams_again() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let upstreams = nodes(11);
    for round in 0..6 {
        let mut runs = vec![run("bad", 400), run("busy", 90), run("long", 700)];
        runs[0].repeated = round % 2 == 1;
        bulkhead.observe(&crash(round, 1_000 + 500 * round as u64, runs), &upstreams);
    }
    assert!(!bulkhead.is_confined("busy") && !bulkhead.is_confined("long"));
}

/// A rack loses power: its upstreams crash at once, with whatever has just started there.
#[test]
fn crashes_at_the_same_moment_confine_nobody() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let upstreams = nodes(11);
    for index in 0..5 {
        let runs = vec![run("bad", 5), run("busy", 3)];
        bulkhead.observe(&crash(index, 1_000 + 2 * index as u64, runs), &upstreams);
    }
    assert_eq!(0, bulkhead.confined_queues());
}

/// Upstreams crash at random, one after the other, with the starts that chance puts there.
#[test_case(11, 4; "a small service")]
#[test_case(160, 20; "a large service")]
fn crashes_by_chance_confine_hardly_anybody(upstreams: usize, crashes: usize) {
    let names = nodes(upstreams);
    let mut confined = 0;
    let trials = 400;
    for seed in 0..trials {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut bulkhead = Bulkhead::new(Settings::default());
        for index in 0..crashes {
            let mut age = |rate: f64| (-rng.random::<f64>().ln() / rate * 1e3) as u64;
            let runs = vec![
                run("bad", age(5.0)),
                run("busy", age(10.0)),
                run("long", age(1.0)),
            ];
            let at = 1_000 + 700 * index as u64;
            bulkhead.observe(&crash(index, at, runs), &names);
        }
        confined += bulkhead.confined_queues();
    }
    let share = confined as f64 / trials as f64;
    assert!(share < 0.05, "{share} queues confined");
}

#[test]
fn a_queue_is_released_after_a_time_without_crashes() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let now = confine(&mut bulkhead, &nodes(11));
    assert!(bulkhead.release(true, ms(now + 4_900)).is_empty());
    assert_eq!(
        vec!["bad".to_owned()],
        bulkhead.release(true, ms(now + 5_000))
    );
    assert!(matches!(bulkhead.pool(true), Pool::All));
    assert!(matches!(bulkhead.pool(false), Pool::All));
}

/// Without an upstream in the pool that takes runs, nothing can crash.
#[test]
fn a_queue_is_not_released_while_its_upstreams_are_down() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let now = confine(&mut bulkhead, &nodes(11));
    assert!(bulkhead.release(false, ms(now + 9_000)).is_empty());
    assert!(bulkhead.release(true, ms(now + 13_900)).is_empty());
    assert_eq!(1, bulkhead.release(true, ms(now + 14_000)).len());
}

#[test]
fn a_single_upstream_is_left_to_all() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    for round in 0..4 {
        let runs = vec![run("bad", 10)];
        bulkhead.observe(&crash(0, 1_000 + 4_000 * round, runs), &nodes(1));
    }
    assert_eq!(0, bulkhead.confined_queues());
    assert!(bulkhead.pool(false).includes(&node(0)));
}

#[test]
fn the_pool_keeps_its_size_as_upstreams_leave() {
    let mut bulkhead = Bulkhead::new(Settings::default());
    let now = confine(&mut bulkhead, &nodes(11));
    let left = nodes(11).split_off(2);
    bulkhead.observe(&crash(2, now + 100, vec![run("bad", 10)]), &left);
    assert_eq!(4, bulkhead.reserved().len());
    assert!(bulkhead.reserved().iter().all(|node| left.contains(node)));
}

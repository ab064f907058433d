//! Placing by room, and replays of the loads that it answers.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_route::outlier::Observation;
use gentian_route::placement::{is_worth_moving, PlacementRequest, Placer, UpstreamReport};
use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::{Need, Wish};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

const TASK: Need = Need {
    cpu: 3_100,
    memory: 64,
    accelerators: 0,
};

fn service() -> Service {
    "desk".parse().expect("a valid name")
}

fn node(index: usize) -> Node {
    format!("agent-{index}").parse().expect("a valid name")
}

fn told(cores: u32) -> UpstreamReport {
    UpstreamReport {
        service: service(),
        capacity: Need {
            cpu: cores * 1_000,
            memory: 65_536,
            accelerators: 0,
        },
        used_by_others: Need::default(),
        accepts_runs: true,
        run_time_ratio: None,
        labels: Vec::new(),
    }
}

fn ask(rooms: &mut Placer, wish: &Wish, avoid: &[Node]) -> Option<Node> {
    let ask = PlacementRequest {
        need: TASK,
        wish,
        avoid,
        excluded: &[],
    };
    rooms.place(&service(), &ask)
}

/// Upstreams with the given numbers of cores.
fn rooms(cores: &[u32]) -> Placer {
    let mut rooms = Placer::new();
    for (index, cores) in cores.iter().enumerate() {
        rooms.update(&node(index), Incarnation(1), true, told(*cores));
    }
    rooms
}

fn place(rooms: &mut Placer, count: usize) -> BTreeMap<Node, usize> {
    let mut placed = BTreeMap::new();
    for _ in 0..count {
        match ask(rooms, &Wish::default(), &[]) {
            Some(node) => *placed.entry(node).or_default() += 1,
            None => break,
        }
    }
    placed
}

#[test]
fn a_job_spreads_over_upstreams_in_proportion_to_their_room() {
    let mut rooms = rooms(&[32, 32, 48]);
    let placed = place(&mut rooms, 7);
    assert_eq!(vec![2, 2, 3], placed.into_values().collect::<Vec<_>>());
}

#[test]
fn no_upstream_takes_more_than_fits() {
    let mut rooms = rooms(&[32, 32, 48]);
    let placed = place(&mut rooms, 1_000);
    assert_eq!(vec![10, 10, 15], placed.into_values().collect::<Vec<_>>());
    rooms.release(&node(1), TASK);
    assert_eq!(Some(node(1)), ask(&mut rooms, &Wish::default(), &[]));
    assert_eq!(None, ask(&mut rooms, &Wish::default(), &[]));
}

#[test]
fn what_other_entries_take_counts() {
    let mut rooms = rooms(&[32, 32]);
    let mut busy = told(32);
    busy.used_by_others.cpu = 30_000;
    rooms.update(&node(0), Incarnation(1), true, busy);
    assert_eq!(
        vec![10],
        place(&mut rooms, 100).into_values().collect::<Vec<_>>()
    );
}

#[test_case(|rooms| rooms.set_reachable(&node(0), false); "one that can't be reached")]
#[test_case(|rooms| rooms.remove(&node(0)); "one that is gone")]
#[test_case(|rooms| {
    let closed = UpstreamReport { accepts_runs: false, ..told(32) };
    rooms.update(&node(0), Incarnation(1), true, closed);
}; "one that leaves")]
fn nothing_goes_to(change: fn(&mut Placer)) {
    let mut rooms = rooms(&[32, 32]);
    change(&mut rooms);
    assert_eq!(
        vec![node(1)],
        place(&mut rooms, 5).into_keys().collect::<Vec<_>>()
    );
}

#[test]
fn a_task_that_failed_somewhere_goes_elsewhere_if_it_can() {
    let mut rooms = rooms(&[96, 32]);
    assert_eq!(Some(node(1)), ask(&mut rooms, &Wish::default(), &[node(0)]));
    rooms.set_reachable(&node(1), false);
    assert_eq!(Some(node(0)), ask(&mut rooms, &Wish::default(), &[node(0)]));
}

#[test]
fn a_task_that_no_upstream_could_hold_is_recognised() {
    let rooms = rooms(&[32, 48]);
    let need = |cpu| Need { cpu, ..TASK };
    assert_eq!(Some(true), rooms.could_ever_fit(&service(), need(48_000)));
    assert_eq!(Some(false), rooms.could_ever_fit(&service(), need(48_001)));
    let unknown = "other".parse().expect("a valid name");
    assert_eq!(None, rooms.could_ever_fit(&unknown, TASK));
}

/// One of four upstreams slows sixfold under steady load: as soon as its agent
/// tells, new tasks go elsewhere while there is room.
#[test]
fn a_slow_upstream_takes_work_last() {
    let mut rooms = rooms(&[32; 4]);
    let slow = UpstreamReport {
        run_time_ratio: Some(6.0),
        ..told(32)
    };
    rooms.update(&node(0), Incarnation(1), true, slow);
    assert!(
        (rooms.slowness(&node(0)) - 1.0).abs() < 1e-9,
        "nothing has run elsewhere"
    );
    let usual = UpstreamReport {
        run_time_ratio: Some(1.1),
        ..told(32)
    };
    rooms.update(&node(1), Incarnation(1), true, usual);
    assert!(!place(&mut rooms, 30).contains_key(&node(0)));
    assert_eq!(Some(&10), place(&mut rooms, 100).get(&node(0)));
    assert!(rooms.slowness(&node(0)) > 5.0);
}

/// One of four upstreams fails all that it is given, at once, and would so be
/// the one with the most room.
#[test]
fn an_upstream_that_fails_all_is_ejected_and_returns_on_trial() {
    let mut rooms = rooms(&[32; 4]);
    let mut rng = Pcg64::seed_from_u64(1);
    let mut failed = 0;
    let mut now = Duration::ZERO;
    for _ in 0..200 {
        now += Duration::from_millis(5);
        let Some(taken) = ask(&mut rooms, &Wish::default(), &[]) else {
            continue;
        };
        let ending = match taken == node(0) {
            true => Observation::Bad,
            false => Observation::Good {
                run: Duration::from_millis(100),
                expected: None,
            },
        };
        failed += usize::from(taken == node(0));
        rooms.observe(&taken, ending, now, &mut rng);
        rooms.release(&taken, TASK);
    }
    assert!(
        failed <= 10,
        "{failed} tasks went to an upstream that fails all"
    );
    assert_eq!(Some(node(0)), rooms.readmit(now + Duration::from_secs(10)));
    assert_eq!(
        Some(&1),
        place(&mut rooms, 100).get(&node(0)),
        "one task on trial"
    );
}

/// All upstreams but the bad one have left: its record no longer matters.
#[test]
fn an_ejected_upstream_is_the_last_resort() {
    let mut rooms = rooms(&[32; 4]);
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..10 {
        rooms.observe(&node(0), Observation::Bad, Duration::ZERO, &mut rng);
    }
    assert!(!place(&mut rooms, 12).contains_key(&node(0)));
    (1..4).for_each(|index| rooms.set_reachable(&node(index), false));
    assert_eq!(Some(&5), place(&mut rooms, 5).get(&node(0)));
}

#[test_case(1_350, 37, 1.0, false; "a run that is long by itself")]
#[test_case(1_350, 37, 1.3, false; "a long run on a somewhat slower upstream")]
#[test_case(300, 8, 6.0, true; "a run on an upstream that has slowed sixfold")]
#[test_case(300, 95, 6.0, false; "one that is nearly done there")]
#[test_case(200, 0, 20.0, true; "a run on a hung upstream")]
fn a_run_is_worth_moving(elapsed: u64, percent: u32, slowness: f64, expected: bool) {
    let elapsed = Duration::from_millis(elapsed);
    assert_eq!(expected, is_worth_moving(elapsed, percent, slowness));
}

/// Five upstreams of rack r0 and five of rack r1, every second of kind b.
fn racks() -> Placer {
    let mut rooms = Placer::new();
    for index in 0..10 {
        let kind = if index % 2 == 0 { "a" } else { "b" };
        let labels = vec![kind.to_owned(), format!("r{}", index / 5)];
        let told = UpstreamReport { labels, ..told(32) };
        rooms.update(&node(index), Incarnation(1), true, told);
    }
    rooms
}

#[test]
fn a_label_that_is_asked_for_is_never_missed() {
    let mut rooms = racks();
    let wish = Wish {
        label: Some("b".to_owned()),
        ..Wish::default()
    };
    let placed: Vec<Node> = std::iter::from_fn(|| ask(&mut rooms, &wish, &[])).collect();
    assert_eq!(50, placed.len());
    let kind_b: Vec<Node> = (0..10).filter(|index| index % 2 == 1).map(node).collect();
    assert!(placed.iter().all(|node| kind_b.contains(node)));
    let unknown = Wish {
        label: Some("c".to_owned()),
        ..Wish::default()
    };
    assert!(rooms.serves(&service(), &wish));
    assert!(!rooms.serves(&service(), &unknown));
    assert_eq!(None, ask(&mut rooms, &unknown, &[]));
}

/// Many jobs want the same rack at once, beside others that don't mind.
#[test]
fn tasks_run_near_their_data_while_there_is_room_and_away_rather_than_wait() {
    let mut rooms = racks();
    let near = Wish {
        near: Some("r1".to_owned()),
        ..Wish::default()
    };
    let rack: Vec<Node> = (5..10).map(node).collect();
    for _ in 0..25 {
        let placed = ask(&mut rooms, &near, &[]).expect("there is room");
        assert!(rack.contains(&placed));
        let other = ask(&mut rooms, &Wish::default(), &[]).expect("there is room");
        assert!(
            !rack.contains(&other),
            "those that don't mind leave it free"
        );
    }
    let rest: Vec<Node> = std::iter::from_fn(|| ask(&mut rooms, &near, &[])).collect();
    assert_eq!(50, rest.len());
}

#[test]
fn a_barred_upstream_is_never_taken() {
    let mut rooms = rooms(&[32, 32]);
    let wish = Wish::default();
    let excluded = [node(0)];
    let ask = PlacementRequest {
        need: TASK,
        wish: &wish,
        avoid: &[node(1)],
        excluded: &excluded,
    };
    for _ in 0..10 {
        assert_eq!(Some(node(1)), rooms.place(&service(), &ask));
    }
    assert_eq!(None, rooms.place(&service(), &ask));
}

/// Share of starts that fail over four seconds where `failing` of `upstreams`
/// fail at once whatever they are given, at half of the room that is left.
///
/// On the day deploy/days/health.toml 12 and then more of 76 did: 13,943 of
/// 122,301 runs failed, and each third job with them.
fn failed_share(upstreams: usize, failing: usize) -> f64 {
    const WORK: u64 = 120;
    let mut rng = Pcg64::seed_from_u64(1);
    let mut rooms = rooms(&vec![32; upstreams]);
    let slots = told(32).capacity.cpu / TASK.cpu;
    let mut ends: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let (mut sent, mut failed) = (0_u32, 0_u32);
    for now in 0..4_000 {
        let at = Duration::from_millis(now);
        while rooms.readmit(at).is_some() {}
        for index in ends.remove(&now).unwrap_or_default() {
            rooms.release(&node(index), TASK);
            let run = Duration::from_millis(WORK);
            let expected = Some(run);
            let ending = match index < failing {
                true => Observation::Bad,
                false => Observation::Good { run, expected },
            };
            rooms.observe(&node(index), ending, at, &mut rng);
        }
        let good = f64::from(slots) * (upstreams - failing) as f64;
        let rate = 0.5 * good / WORK as f64;
        let count = rate as usize + usize::from(rng.random_bool(rate.fract()));
        for _ in 0..count {
            let Some(chosen) = ask(&mut rooms, &Wish::default(), &[]) else {
                break;
            };
            let index = (0..upstreams).find(|index| node(*index) == chosen);
            let index = index.expect("known");
            sent += 1;
            failed += u32::from(index < failing);
            let time = if index < failing { 3 } else { WORK };
            ends.entry(now + time).or_default().push(index);
        }
    }
    f64::from(failed) / f64::from(sent)
}

#[test_case(11, 2; "two of eleven")]
#[test_case(62, 12; "twelve of 62")]
#[test_case(62, 30; "thirty of 62")]
fn upstreams_that_fail_all_get_little(upstreams: usize, failing: usize) {
    let share = failed_share(upstreams, failing);
    println!("{failing} of {upstreams}: {:.1} % fail", 100.0 * share);
    assert!(share < 0.1, "{share}");
}

//! Tests of the placement of tasks by resources.

mod common;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{node, place_one, place_up_to, placer_with, report, service, TASK};
use gentian_route::bulkhead::Pool;
use gentian_route::placement::{should_move, Blocked, PlacementRequest, Placer, UpstreamReport};
use gentian_wire::id::{Incarnation, Node};
use gentian_wire::need::{Constraints, Need};
use test_case::test_case;

/// A data centre leaves and comes back: its upstreams get nothing and count for nothing
/// meanwhile, also one that reports for the first time then.
#[test]
fn denied_upstreams_get_no_tasks_and_count_for_nothing() {
    let mut placer = placer_with(&[32, 32]);
    let any = Constraints::default();
    assert!(placer.deny(BTreeSet::from([node(1), node(2)])));
    placer.update(&node(2), Incarnation(1), true, report(32));
    assert_eq!(2, placer.denied());
    assert_eq!(32_000, placer.own_share(&service(), Pool::All).cpu);
    assert_eq!(
        vec![node(0)],
        place_up_to(&mut placer, 30).into_keys().collect::<Vec<_>>()
    );
    assert!(placer.serves(&service(), &any, Pool::All));
    placer.deny(BTreeSet::from([node(0), node(1), node(2)]));
    assert!(!placer.serves(&service(), &any, Pool::All));
    assert!(placer.is_denied(&service(), &any));
    assert!(placer.deny(BTreeSet::new()));
    assert!(!placer.deny(BTreeSet::new()));
    let back = place_up_to(&mut placer, 30);
    assert_eq!(vec![node(1), node(2)], back.into_keys().collect::<Vec<_>>());
}

fn used(report: UpstreamReport, cores: u32) -> UpstreamReport {
    let used_by_others = Need {
        cpu: 1_000 * cores,
        ..Need::default()
    };
    UpstreamReport {
        used_by_others,
        ..report
    }
}

#[test_case(used(report(32), 8), true ; "others use less")]
#[test_case(used(report(32), 10), false ; "others use the same")]
#[test_case(used(report(32), 12), false ; "others use more")]
#[test_case(used(report(48), 26), false ; "larger and fuller")]
#[test_case(used(report(48), 25), true ; "larger and free")]
#[test_case(UpstreamReport { labels: vec!["b".to_owned()], ..used(report(32), 10) }, true ; "another label")]
#[test_case(UpstreamReport { accepts_runs: false, ..used(report(32), 10) }, false ; "it closes")]
fn a_report_tells_whether_more_may_start(next: UpstreamReport, expected: bool) {
    let mut placer = Placer::default();
    let mut update = |report| placer.update(&node(0), Incarnation(1), true, report);
    assert!(update(used(report(32), 10)), "an upstream not known before");
    assert_eq!(expected, update(next));
}

#[test]
fn an_upstream_that_opens_again_may_start_more() {
    let mut placer = Placer::default();
    let mut update = |accepts_runs| {
        let report = UpstreamReport {
            accepts_runs,
            ..report(32)
        };
        placer.update(&node(0), Incarnation(1), true, report)
    };
    update(false);
    assert!(update(true));
    assert!(!update(true));
}

#[test]
fn tasks_spread_in_proportion_to_free_resources() {
    let mut placer = placer_with(&[32, 32, 48]);
    let placed = place_up_to(&mut placer, 7);
    assert_eq!(vec![2, 2, 3], placed.into_values().collect::<Vec<_>>());
}

#[test]
fn no_upstream_gets_more_tasks_than_fit() {
    let mut placer = placer_with(&[32, 32, 48]);
    let placed = place_up_to(&mut placer, 1_000);
    assert_eq!(vec![10, 10, 15], placed.into_values().collect::<Vec<_>>());
    placer.release(&node(1), TASK);
    assert_eq!(
        Some(node(1)),
        place_one(&mut placer, &Constraints::default(), &[])
    );
    assert_eq!(None, place_one(&mut placer, &Constraints::default(), &[]));
}

#[test]
fn resources_used_by_other_entries_count() {
    let mut placer = placer_with(&[32, 32]);
    let mut busy = report(32);
    busy.used_by_others.cpu = 30_000;
    placer.update(&node(0), Incarnation(1), true, busy);
    assert_eq!(
        vec![10],
        place_up_to(&mut placer, 100)
            .into_values()
            .collect::<Vec<_>>()
    );
}

#[test_case(|placer| placer.set_reachable(&node(0), false); "an unreachable upstream")]
#[test_case(|placer| placer.remove(&node(0)); "a removed upstream")]
#[test_case(|placer| {
    let closed = UpstreamReport { accepts_runs: false, ..report(32) };
    placer.update(&node(0), Incarnation(1), true, closed);
}; "an upstream that accepts no runs")]
fn nothing_is_placed_at(change: fn(&mut Placer)) {
    let mut placer = placer_with(&[32, 32]);
    change(&mut placer);
    assert_eq!(
        vec![node(1)],
        place_up_to(&mut placer, 5).into_keys().collect::<Vec<_>>()
    );
}

#[test]
fn avoided_upstreams_are_used_only_if_no_other_is_available() {
    let mut placer = placer_with(&[96, 32]);
    assert_eq!(
        Some(node(1)),
        place_one(&mut placer, &Constraints::default(), &[node(0)])
    );
    placer.set_reachable(&node(1), false);
    assert_eq!(
        Some(node(0)),
        place_one(&mut placer, &Constraints::default(), &[node(0)])
    );
}

#[test]
fn a_task_too_large_for_any_upstream_is_detected() {
    let placer = placer_with(&[32, 48]);
    let need = |cpu| Need { cpu, ..TASK };
    assert_eq!(Some(true), placer.could_ever_fit(&service(), need(48_000)));
    assert_eq!(Some(false), placer.could_ever_fit(&service(), need(48_001)));
    let unknown = "other".parse().expect("a valid name");
    assert_eq!(None, placer.could_ever_fit(&unknown, TASK));
}

/// One of four upstreams becomes six times slower. Once its agent has reported the
/// slowdown, new tasks go to the others while these have free resources.
#[test]
fn a_slow_upstream_fills_last() {
    let mut placer = placer_with(&[32; 4]);
    let slow = UpstreamReport {
        run_time_ratio: Some(6.0),
        ..report(32)
    };
    placer.update(&node(0), Incarnation(1), true, slow);
    assert!(
        (placer.slowness(&node(0)) - 1.0).abs() < 1e-9,
        "no run times are known elsewhere"
    );
    let typical = UpstreamReport {
        run_time_ratio: Some(1.1),
        ..report(32)
    };
    placer.update(&node(1), Incarnation(1), true, typical);
    assert!(!place_up_to(&mut placer, 30).contains_key(&node(0)));
    assert_eq!(Some(&10), place_up_to(&mut placer, 100).get(&node(0)));
    assert!(placer.slowness(&node(0)) > 5.0);
}

#[test_case(1_350, 37, 1.0, false; "an inherently long run")]
#[test_case(1_350, 37, 1.3, false; "a long run at a slightly slower upstream")]
#[test_case(300, 8, 6.0, true; "a run at an upstream six times slower")]
#[test_case(300, 95, 6.0, false; "a nearly finished run there")]
#[test_case(200, 0, 20.0, true; "a run at a hung upstream")]
fn slow_runs_are_moved(elapsed: u64, percent: u32, slowness: f64, expected: bool) {
    let elapsed = Duration::from_millis(elapsed);
    assert_eq!(expected, should_move(elapsed, percent, slowness));
}

/// Five upstreams in rack r0 and five in rack r1, every other one with label b.
fn two_racks() -> Placer {
    let mut placer = Placer::new(&"entry".parse().expect("a valid name"));
    for index in 0..10 {
        let label = if index % 2 == 0 { "a" } else { "b" };
        let labels = vec![label.to_owned(), format!("r{}", index / 5)];
        let report = UpstreamReport {
            labels,
            ..report(32)
        };
        placer.update(&node(index), Incarnation(1), true, report);
    }
    placer
}

#[test]
fn tasks_only_run_at_upstreams_with_the_required_label() {
    let mut placer = two_racks();
    let constraints = Constraints {
        required_label: Some("b".to_owned()),
        ..Constraints::default()
    };
    let placed: Vec<Node> =
        std::iter::from_fn(|| place_one(&mut placer, &constraints, &[])).collect();
    assert_eq!(50, placed.len());
    let labelled_b: Vec<Node> = (0..10).filter(|index| index % 2 == 1).map(node).collect();
    assert!(placed.iter().all(|node| labelled_b.contains(node)));
    let unknown = Constraints {
        required_label: Some("c".to_owned()),
        ..Constraints::default()
    };
    assert!(placer.serves(&service(), &constraints, Pool::All));
    assert!(!placer.serves(&service(), &unknown, Pool::All));
    assert_eq!(None, place_one(&mut placer, &unknown, &[]));
}

/// Many tasks prefer the same rack at once, among others without a preference.
#[test]
fn tasks_run_near_their_data_if_possible_but_elsewhere_rather_than_wait() {
    let mut placer = two_racks();
    let prefers_rack = Constraints {
        preferred_label: Some("r1".to_owned()),
        ..Constraints::default()
    };
    let rack: Vec<Node> = (5..10).map(node).collect();
    for _ in 0..25 {
        let placed = place_one(&mut placer, &prefers_rack, &[]).expect("there are free resources");
        assert!(rack.contains(&placed));
        let other =
            place_one(&mut placer, &Constraints::default(), &[]).expect("there are free resources");
        assert!(
            !rack.contains(&other),
            "tasks without a preference leave the rack free"
        );
    }
    let rest: Vec<Node> =
        std::iter::from_fn(|| place_one(&mut placer, &prefers_rack, &[])).collect();
    assert_eq!(50, rest.len());
}

#[test]
fn an_excluded_upstream_is_never_used() {
    let mut placer = placer_with(&[32, 32]);
    let constraints = Constraints::default();
    let excluded = [node(0)];
    let request = PlacementRequest {
        avoid: &[node(1)],
        excluded: &excluded,
        ..PlacementRequest::new(TASK, &constraints)
    };
    for _ in 0..10 {
        assert_eq!(Ok(node(1)), placer.place(&service(), &request));
    }
    assert_eq!(Err(Blocked::NoRoom), placer.place(&service(), &request));
}

/// Entries that know the same prefer different upstreams, and each those of its own data
/// centre.
#[test]
fn entries_prefer_different_upstreams_of_their_data_center() {
    let mut first_choices = BTreeMap::new();
    for entry in 0..32 {
        let name = format!("entry-{entry}");
        let mut placer = Placer::new(&name.parse().expect("a valid name"));
        for index in 0..160 {
            placer.update(&node(index), Incarnation(1), index < 32, report(32));
        }
        let chosen = place_one(&mut placer, &Constraints::default(), &[]).expect("all are free");
        assert!((0..32).any(|index| node(index) == chosen));
        *first_choices.entry(chosen).or_insert(0) += 1;
    }
    assert!(
        first_choices.values().all(|entries| *entries <= 5),
        "many entries prefer the same upstream: {first_choices:?}"
    );
}

//! Tests of upstreams that differ in speed, and of tasks that are due.

mod common;

use std::time::Duration;

use common::{node, placer_with, service};
use gentian_route::outlier::Observation;
use gentian_route::placement::{Blocked, Due, PlacementRequest, Placer};
use gentian_route::speed::Speed;
use gentian_wire::id::Node;
use gentian_wire::need::{Constraints, Need};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

const TASK: Need = Need {
    cpu: 3_000,
    memory: 64,
    accelerators: 0,
};
const USUAL: Duration = Duration::from_millis(100);
/// How long runs take at the upstreams, as multiples of [`USUAL`].
const RATIOS: [f64; 3] = [1.43, 1.43, 0.59];

/// A placer that has seen `runs` runs at each upstream, whose declared run times are off.
fn placer(runs: usize) -> Placer {
    let mut placer = placer_with(&[6; RATIOS.len()]);
    let mut rng = Pcg64::seed_from_u64(1);
    for _ in 0..runs {
        for (index, ratio) in RATIOS.iter().enumerate() {
            let observation = Observation::Good {
                run: USUAL.mul_f64(*ratio),
                expected: Some(USUAL.mul_f64(rng.random_range(0.6..1.6))),
            };
            placer.observe(&node(index), observation, Duration::ZERO, &mut rng);
        }
    }
    placer
}

fn place(placer: &mut Placer, left_ms: u64) -> Result<Node, Blocked> {
    let constraints = Constraints::default();
    let request = PlacementRequest {
        due: Some(Due {
            left: Duration::from_millis(left_ms),
            expected: USUAL,
        }),
        ..PlacementRequest::new(TASK, &constraints)
    };
    placer.place(&service(), &request)
}

#[test]
fn the_ratio_of_run_times_is_learned_relative_to_the_average() {
    let placer = placer(100);
    let learned = [0, 1, 2].map(|index| placer.run_time_ratio(&node(index)));
    let mean_log = RATIOS.map(f64::ln).iter().sum::<f64>() / 3.0;
    for (learned, ratio) in learned.iter().zip(RATIOS) {
        let expected = (ratio.ln() - mean_log).exp();
        assert!(
            (learned / expected - 1.0).abs() < 0.1,
            "{learned} {expected}"
        );
    }
}

#[test]
fn an_upstream_counts_as_average_until_runs_are_known() {
    assert_eq!(1.0, placer(0).run_time_ratio(&node(2)));
}

/// A slow moment is no change of speed; a change for good is learned.
#[test_case(4, 0.9..1.4 ; "a slow moment")]
#[test_case(400, 2.8..3.2 ; "a change for good")]
fn speed_follows_lasting_changes_only(runs: usize, expected: std::ops::Range<f64>) {
    let mut speed = Speed::default();
    (0..400).for_each(|_| speed.observe(USUAL, USUAL));
    (0..runs).for_each(|_| speed.observe(3 * USUAL, USUAL));
    let ratio = speed.log_ratio().exp();
    assert!(expected.contains(&ratio), "{ratio}");
}

#[test]
fn a_task_with_little_time_left_goes_where_it_ends_in_time() {
    let mut placer = placer(100);
    assert_eq!(Ok(node(2)), place(&mut placer, 100));
}

/// It waits for a fast upstream rather than taking room where it would be late; once it
/// would be late everywhere, it waits no longer.
#[test]
fn a_task_that_would_be_late_waits_only_while_it_could_still_be_in_time() {
    let mut placer = placer(100);
    let in_time = [place(&mut placer, 100), place(&mut placer, 100)];
    assert_eq!([Ok(node(2)), Ok(node(2))], in_time);
    assert_eq!(Err(Blocked::Late), place(&mut placer, 100));
    assert!(place(&mut placer, 400).is_ok(), "in time at a slow one");
    assert!(place(&mut placer, 20).is_ok(), "late everywhere");
}

/// What is known of the speeds is wrong: tasks are placed all the same.
#[test]
fn nothing_waits_for_an_upstream_that_takes_no_runs() {
    let mut placer = placer(100);
    placer.set_reachable(&node(2), false);
    assert!(place(&mut placer, 100).is_ok());
}

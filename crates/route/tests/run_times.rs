//! Learned run times against the exact values.

use std::time::Duration;

use gentian_route::run_times::{RunTimes, Table};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

#[test_case(0.5 ; "median")]
#[test_case(0.95 ; "p95")]
#[test_case(0.99 ; "p99")]
fn quantile_is_within_a_bucket_of_the_exact_one(quantile: f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let mut runtime = RunTimes::default();
    let mut exact = Vec::new();
    for _ in 0..900 {
        let run = Duration::from_micros(rng.random_range(50_000..1_000_000));
        runtime.observe(run);
        exact.push(run);
    }
    exact.sort();
    let wanted = exact[(quantile * 900.0) as usize].as_secs_f64();
    let told = runtime.quantile(quantile).expect("enough").as_secs_f64();
    assert!((0.8..1.3).contains(&(told / wanted)), "{told} for {wanted}");
}

#[test]
fn run_times_that_change_a_hundredfold_are_learned_anew() {
    let mut runtime = RunTimes::default();
    (0..100_000).for_each(|_| runtime.observe(Duration::from_millis(10)));
    (0..3000).for_each(|_| runtime.observe(Duration::from_secs(1)));
    let mean = runtime.mean().expect("enough");
    assert!(mean > Duration::from_millis(900), "{mean:?}");
    assert!(runtime.quantile(0.5) > Some(Duration::from_millis(800)));
}

#[test]
fn nothing_is_told_of_too_few() {
    let mut runtime = RunTimes::default();
    runtime.observe(Duration::from_millis(10));
    assert_eq!(runtime.mean(), None);
    assert_eq!(runtime.quantile(0.5), None);
}

#[test]
fn kinds_beyond_the_capacity_are_judged_by_all() {
    let mut table = Table::new(1);
    for _ in 0..20 {
        table.observe("first", Duration::from_millis(10));
        table.observe("second", Duration::from_millis(100));
    }
    let mean = |kind| table.get(&kind).mean().expect("enough").as_millis();
    assert_eq!(mean("first"), 10);
    assert!((50..60).contains(&mean("second")), "{}", mean("second"));
}

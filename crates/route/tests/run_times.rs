//! Tests of learned run times, among them a comparison with exact quantiles.

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
    let mut run_times = RunTimes::default();
    let mut exact = Vec::new();
    for _ in 0..900 {
        let run = Duration::from_micros(rng.random_range(50_000..1_000_000));
        run_times.observe(run);
        exact.push(run);
    }
    exact.sort();
    let expected = exact[(quantile * 900.0) as usize].as_secs_f64();
    let estimate = run_times
        .quantile(quantile)
        .expect("enough samples")
        .as_secs_f64();
    assert!(
        (0.8..1.3).contains(&(estimate / expected)),
        "{estimate} for {expected}"
    );
}

#[test]
fn a_hundredfold_change_of_run_times_is_learned() {
    let mut run_times = RunTimes::default();
    (0..100_000).for_each(|_| run_times.observe(Duration::from_millis(10)));
    (0..3000).for_each(|_| run_times.observe(Duration::from_secs(1)));
    let mean = run_times.mean().expect("enough samples");
    assert!(mean > Duration::from_millis(900), "{mean:?}");
    assert!(run_times.quantile(0.5) > Some(Duration::from_millis(800)));
}

#[test]
fn too_few_samples_give_no_estimate() {
    let mut run_times = RunTimes::default();
    run_times.observe(Duration::from_millis(10));
    assert_eq!(run_times.mean(), None);
    assert_eq!(run_times.quantile(0.5), None);
}

#[test]
fn kinds_beyond_the_capacity_share_the_overall_distribution() {
    let mut table = Table::new(1);
    for _ in 0..20 {
        table.observe("first", Duration::from_millis(10));
        table.observe("second", Duration::from_millis(100));
    }
    let mean = |kind| table.get(&kind).mean().expect("enough samples").as_millis();
    assert_eq!(mean("first"), 10);
    assert!((50..60).contains(&mean("second")), "{}", mean("second"));
}

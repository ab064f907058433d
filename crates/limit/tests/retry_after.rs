//! Tests of the measured drain rate and of the time after which to retry.

use std::collections::BTreeSet;
use std::time::Duration;

use gentian_limit::retry_after::{retry_after, DrainRate};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn starts_from_an_empty_queue_give_no_rate() {
    let mut drain = DrainRate::default();
    (0..100).for_each(|second| drain.record_start(false, Duration::from_secs(second)));
    assert_eq!(drain.rate(Duration::from_secs(100)), None);
}

#[test]
fn rate_is_measured_while_occupied_and_falls_when_stalled() {
    let mut drain = DrainRate::default();
    (0..200).for_each(|count| drain.record_start(true, millis(10 * count)));
    let rate = drain.rate(millis(1990)).expect("enough samples");
    assert!((99.0..101.0).contains(&rate), "{rate}");
    let stalled = drain.rate(millis(11_990)).expect("enough samples");
    assert!(stalled < 1.0, "{stalled}");
}

#[test]
fn callers_refused_together_retry_at_different_times() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let times: BTreeSet<Duration> = (0..100)
        .map(|_| retry_after(millis(400), &mut rng))
        .collect();
    assert!(times.len() > 90);
    assert!(times
        .iter()
        .all(|time| (millis(400)..=millis(600)).contains(time)));
}

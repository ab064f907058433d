//! Tests of when room is sought again for the jobs that wait.

use std::time::Duration;

use gentian_limit::rescan::Rescan;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A line of waiting jobs made each of many reports start a search in vain.
#[test]
fn a_report_without_new_capacity_starts_no_search() {
    let mut rescan = Rescan::default();
    assert!(rescan.take_due(ms(0)), "the first one");
    let reports = (1..=1_000).map(|report| Duration::from_micros(500 * report));
    let searches = reports.filter(|now| rescan.take_due(*now)).count();
    assert_eq!(50, searches, "one each 10 ms, for what time has changed");
}

#[test]
fn capacity_that_was_gained_is_used_at_once_and_sought_once() {
    let mut rescan = Rescan::default();
    assert!(rescan.take_due(ms(0)));
    assert!(!rescan.take_due(ms(1)));
    rescan.record_gain();
    rescan.record_gain();
    assert!(rescan.take_due(ms(2)));
    assert!(!rescan.take_due(ms(3)));
}

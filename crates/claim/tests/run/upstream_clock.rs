//! What the agent assumes of the upstream's clock.

use gentian_claim::run::{UpstreamClock, MAX_CLOCK_DRIFT, MAX_LEASE};
use test_case::test_case;

use super::ms;

/// A lease that was computed from an old reading of a slow clock ended too late.
#[test_case(0; "a fresh reading")]
#[test_case(1_500; "a reading as old as a heartbeat")]
#[test_case(5_000; "a reading as old as a silence may be")]
fn a_lease_ends_in_time_on_a_slow_clock(age: u64) {
    let (read_at, reading) = (ms(70_000), ms(3_000));
    let upstream = UpstreamClock::new(reading, read_at);
    let now = read_at + ms(age);
    let until = upstream.lower_bound(now) + MAX_LEASE;
    let actual = reading + ms(age).mul_f64(1.0 - MAX_CLOCK_DRIFT);
    let left = until.saturating_sub(actual);
    assert!(left <= MAX_LEASE, "a lease of {left:?} on the slow clock");
    assert!(left + ms(1) >= MAX_LEASE, "no shorter than needed");
}

#[test]
fn a_reading_is_not_moved_back() {
    let upstream = UpstreamClock::new(ms(3_000), ms(70_000));
    assert_eq!(ms(3_000), upstream.lower_bound(ms(69_000)));
}

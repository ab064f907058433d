//! The age of what a process reads after it has stood still.

use std::time::Duration;

use gentian_limit::unread::Unread;
use test_case::test_case;

/// Time between two signs of life.
const PERIOD_MS: u64 = 20;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A process that has run until `until_ms`, with a sign of life each [`PERIOD_MS`].
fn run_until(unread: &mut Unread, from_ms: u64, until_ms: u64) {
    let times = (from_ms..=until_ms).step_by(PERIOD_MS as usize);
    times.for_each(|at| unread.record(ms(at)));
}

/// A process that stood still from 1 s to 4 s.
fn after_a_gap() -> Unread {
    let mut unread = Unread::new(ms(0));
    run_until(&mut unread, 0, 1_000);
    unread.record(ms(4_000));
    unread
}

#[test]
fn nothing_waits_while_the_process_runs() {
    let mut unread = Unread::new(ms(0));
    for at in (0..10_000).step_by(PERIOD_MS as usize) {
        unread.record(ms(at));
        assert_eq!(ms(0), unread.longest_wait(ms(at + PERIOD_MS)));
    }
}

/// Whichever runs first, the sign of life or the request that waited.
#[test]
fn what_came_in_a_gap_is_as_old_as_the_gap() {
    let mut unread = Unread::new(ms(0));
    run_until(&mut unread, 0, 1_000);
    assert_eq!(ms(3_000), unread.longest_wait(ms(4_000)));
    unread.record(ms(4_000));
    assert_eq!(ms(3_005), unread.longest_wait(ms(4_005)));
}

#[test_case(4_200, 3_200 ; "while it catches up")]
#[test_case(4_260, 0 ; "later")]
fn after_a_gap_what_is_read(at: u64, wait: u64) {
    let mut unread = after_a_gap();
    run_until(&mut unread, 4_020, at);
    assert_eq!(ms(wait), unread.longest_wait(ms(at)));
}

/// A backlog makes the process late again while it reads it.
#[test]
fn a_shorter_gap_does_not_hide_the_one_before() {
    let mut unread = after_a_gap();
    unread.record(ms(4_110));
    assert_eq!(ms(3_115), unread.longest_wait(ms(4_115)));
}

/// A process that is always a little late must not take all that it reads for old.
#[test]
fn the_age_does_not_grow_from_gap_to_gap() {
    let mut unread = Unread::new(ms(0));
    for round in 1..100 {
        let now = ms(round * 150);
        unread.record(now);
        assert!(unread.longest_wait(now + ms(PERIOD_MS)) <= ms(300 + PERIOD_MS));
    }
}

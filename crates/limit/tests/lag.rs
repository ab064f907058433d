//! Tests of the measured lag of a process.

use std::time::Duration;

use gentian_limit::lag::{patience_left, Clocks, Meter, State, PERIOD};

/// Both clocks at the same time.
fn at(time: Duration) -> Clocks {
    Clocks {
        monotonic: time,
        boot_time: time,
    }
}

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn a_process_that_is_on_time_has_run_all_the_time() {
    let mut meter = Meter::new(at(Duration::ZERO));
    for tick in 1..=100 {
        let sample = meter.measure(at(PERIOD * tick));
        assert_eq!(sample.lag, Duration::ZERO);
        assert_eq!(sample.change, None);
    }
    assert_eq!(meter.running_time(), PERIOD * 100);
}

#[test]
fn time_for_which_a_process_did_not_run_is_lag_and_no_running_time() {
    let mut meter = Meter::new(at(Duration::ZERO));
    meter.measure(at(PERIOD));
    let sample = meter.measure(at(PERIOD * 2 + millis(2_000)));
    assert_eq!(sample.lag, millis(2_000));
    assert_eq!(sample.suspended, Duration::ZERO);
    assert_eq!(sample.change, Some(State::Late));
    assert_eq!(meter.running_time(), PERIOD * 2);
}

#[test]
fn a_suspended_system_is_told_from_a_process_that_waited_for_processor() {
    let mut meter = Meter::new(at(Duration::ZERO));
    let sample = meter.measure(Clocks {
        monotonic: PERIOD + millis(30),
        boot_time: PERIOD + millis(730),
    });
    assert_eq!(sample.lag, millis(730));
    assert_eq!(sample.suspended, millis(700));
    assert_eq!(meter.running_time(), PERIOD);
}

#[test]
fn a_process_that_is_late_again_and_again_changes_its_state_once() {
    let mut meter = Meter::new(at(Duration::ZERO));
    let mut now = Duration::ZERO;
    let mut changes = Vec::new();
    for tick in 0..100 {
        now += PERIOD
            + if tick % 4 == 0 {
                millis(100)
            } else {
                millis(0)
            };
        changes.extend(meter.measure(at(now)).change);
    }
    assert_eq!(changes, [State::Late]);
    for _ in 0..60 {
        now += PERIOD;
        changes.extend(meter.measure(at(now)).change);
    }
    assert_eq!(changes, [State::Late, State::OnTime]);
}

/// A process that is a little late reads what has arrived all the same.
#[test]
fn a_small_lag_is_running_time() {
    let mut meter = Meter::new(at(Duration::ZERO));
    let step = PERIOD + millis(15);
    for tick in 1..=10 {
        meter.measure(at(step * tick));
    }
    assert_eq!(meter.running_time(), step * 10);
}

/// A process that got no processor for a second took the answers in its sockets for silence.
#[test]
fn a_peer_is_not_silent_while_the_process_that_waits_stands_still() {
    let limit = millis(600);
    let mut meter = Meter::new(at(Duration::ZERO));
    let since = meter.running_time();
    meter.measure(at(PERIOD));
    meter.measure(at(PERIOD * 2 + millis(1_000)));
    let left = patience_left(since, limit, meter.running_time());
    assert_eq!(left, Some(limit - PERIOD * 2));
    for tick in 3..=30 {
        meter.measure(at(PERIOD * tick + millis(1_000)));
    }
    assert_eq!(patience_left(since, limit, meter.running_time()), None);
}

//! Whether to stop a slow run and start it elsewhere.

use std::time::Duration;

/// Minimum ratio of a run's remaining time at its upstream to its total time elsewhere,
/// including the move, from which the run is moved.
const MIN_MOVE_GAIN: f64 = 1.25;

/// Time needed to stop a run and start it elsewhere.
const MOVE_COST: Duration = Duration::from_millis(60);

/// Minimum progress assumed of a run, since a stalled one may report none.
const MIN_PROGRESS: f64 = 0.005;

/// Whether stopping a run and restarting it at another upstream is expected to finish
/// it sooner. The run has been running for `elapsed` and is `percent` done, at an
/// upstream where runs take `slowness` times as long as elsewhere.
///
/// A run that is inherently long is not moved, as it would take as long elsewhere.
pub fn should_move(elapsed: Duration, percent: u32, slowness: f64) -> bool {
    let done = (f64::from(percent.min(100)) / 100.0).max(MIN_PROGRESS);
    let total = elapsed.as_secs_f64() / done;
    let elsewhere = total / slowness.max(1.0) + MOVE_COST.as_secs_f64();
    total * (1.0 - done) > elsewhere * MIN_MOVE_GAIN
}

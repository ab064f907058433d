//! By how much a process is behind, measured by a task that is due at fixed intervals.
//!
//! A process that gets too little processor, or none for a while, does everything late. It
//! must not blame its peers for that: what it has not read yet may have arrived long ago.
//! Time limits on peers are therefore counted in [`Meter::running_time`].

use std::time::Duration;

/// Time between two measurements.
pub const PERIOD: Duration = Duration::from_millis(20);

/// Lag from which a process counts as late.
const LATE_LAG: Duration = Duration::from_millis(60);
/// Time without such a lag after which it no longer does.
const CALM_TIME: Duration = Duration::from_secs(1);

/// Readings of two clocks at the same moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Clocks {
    /// Stands still while the system is suspended.
    pub monotonic: Duration,
    /// Includes the time for which the system was suspended.
    pub boot_time: Duration,
}

/// Whether a process does its work in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum State {
    /// It does.
    OnTime,
    /// It is behind.
    Late,
}

/// The result of one measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Sample {
    /// By how much the task ran after it was due, suspensions included.
    pub lag: Duration,
    /// The part of it for which the system was suspended.
    pub suspended: Duration,
    /// The new state, if it has changed.
    pub change: Option<State>,
}

/// How long a peer that was seen, or spoken to, at the running time `since` may say nothing
/// yet until it has been silent for `limit`; none if it has been.
pub fn patience_left(since: Duration, limit: Duration, running_time: Duration) -> Option<Duration> {
    let left = limit.checked_sub(running_time.saturating_sub(since))?;
    (!left.is_zero()).then_some(left)
}

/// Measures the lag of a process.
#[derive(Clone, Debug)]
pub struct Meter {
    last: Clocks,
    running_time: Duration,
    state: State,
    /// When the lag was last that of a late process, on the boot-time clock.
    late_at: Duration,
}

impl Meter {
    /// A meter whose first measurement is due one [`PERIOD`] after `now`.
    pub fn new(now: Clocks) -> Meter {
        Meter {
            last: now,
            running_time: Duration::ZERO,
            state: State::OnTime,
            late_at: Duration::ZERO,
        }
    }

    /// Records that the task, due one [`PERIOD`] after the last measurement, runs.
    pub fn measure(&mut self, now: Clocks) -> Sample {
        let monotonic = now.monotonic.saturating_sub(self.last.monotonic);
        let passed = now.boot_time.saturating_sub(self.last.boot_time);
        let passed = passed.max(monotonic);
        let lag = passed.saturating_sub(PERIOD);
        self.last = now;
        let late = lag >= LATE_LAG;
        self.running_time += if late { PERIOD } else { passed };
        Sample {
            lag,
            suspended: passed - monotonic,
            change: self.update_state(late, now.boot_time),
        }
    }

    /// Time for which the process has run and done what there was to do. It grows by one
    /// [`PERIOD`] only with a measurement that came late.
    pub fn running_time(&self) -> Duration {
        self.running_time
    }

    /// Whether the process is late.
    pub fn state(&self) -> State {
        self.state
    }

    fn update_state(&mut self, late: bool, now: Duration) -> Option<State> {
        if late {
            self.late_at = now;
        }
        let calm = now.saturating_sub(self.late_at) >= CALM_TIME;
        let next = match (self.state, late, calm) {
            (_, true, _) => State::Late,
            (State::Late, false, true) => State::OnTime,
            (state, ..) => state,
        };
        let changed = next != self.state;
        self.state = next;
        changed.then_some(next)
    }
}

//! The clocks that leases are measured with.
//!
//! `Instant` doesn't advance while the system is suspended, so a process that resumes
//! would take an expired lease for valid. The boot-time clock includes suspended time.

use std::time::Duration;

/// Returns the time since the system was booted, including suspended time.
pub(crate) fn now() -> Duration {
    read(libc::CLOCK_BOOTTIME)
}

/// Returns the time since the system was booted, without suspended time.
pub(crate) fn steady() -> Duration {
    read(libc::CLOCK_MONOTONIC)
}

/// Returns the time for which the system has been suspended since it was booted. It may be too
/// high by the time between the two readings that it is computed from.
pub(crate) fn suspended() -> Duration {
    let steady = steady();
    now().saturating_sub(steady)
}

fn read(clock: libc::clockid_t) -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a valid timespec for the whole call.
    let result = unsafe { libc::clock_gettime(clock, &raw mut time) };
    assert_eq!(result, 0, "clock {clock} can't be read");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

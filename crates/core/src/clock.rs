//! The boot-time clock, which includes the time for which the system was suspended.
//!
//! `Instant` doesn't advance while a virtual machine is suspended, so a leader that
//! resumes would take an expired lease for valid.

use std::time::Duration;

/// Returns the time since the machine was booted, including suspended time.
pub(crate) fn now() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: the pointer is to a valid timespec for the whole call.
    let result = unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &raw mut time) };
    assert_eq!(result, 0, "the boot-time clock can't be read");
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

//! The clock of leases.
//!
//! `Instant` stands still while a virtual machine is suspended, and a leader
//! that wakes up would believe in a lease long lapsed. The boot-time clock
//! counts that time too.

use std::time::Duration;

/// Time since the machine was booted, suspended or not.
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

//! A library that is preloaded into a process, to show it a system that was suspended: its
//! monotonic clock lacks the suspended time, and all its other clocks don't.
//!
//! The variable `SUSPENSION_FILE` names a file that holds this time, in nanoseconds as eight
//! bytes in native order.

use std::ffi::{c_int, c_long};
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::OnceLock;

const CLOCK_MONOTONIC: c_int = 1;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

#[cfg(target_arch = "x86_64")]
const SYS_CLOCK_GETTIME: c_long = 228;
#[cfg(target_arch = "aarch64")]
const SYS_CLOCK_GETTIME: c_long = 113;

extern "C" {
    fn syscall(number: c_long, ...) -> c_long;
}

/// The system's `timespec`.
#[repr(C)]
pub struct Time {
    seconds: i64,
    nanos: i64,
}

/// Takes the place of the function of this name in the system's library.
///
/// # Safety
///
/// `time` must be valid for writes.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Time) -> c_int {
    // SAFETY: as promised by the caller.
    let result = unsafe { syscall(SYS_CLOCK_GETTIME, clock, time) };
    if result == 0 && clock == CLOCK_MONOTONIC {
        // SAFETY: as promised by the caller.
        let time = unsafe { &mut *time };
        let nanos = time.seconds * NANOS_PER_SECOND + time.nanos - suspended();
        (time.seconds, time.nanos) = (nanos / NANOS_PER_SECOND, nanos % NANOS_PER_SECOND);
    }
    result as c_int
}

/// How long the system has been suspended so far, in nanoseconds.
fn suspended() -> i64 {
    static FILE: OnceLock<Option<File>> = OnceLock::new();
    let file = FILE.get_or_init(|| File::open(std::env::var_os("SUSPENSION_FILE")?).ok());
    let mut bytes = [0; 8];
    let read = file.as_ref().map(|file| file.read_exact_at(&mut bytes, 0));
    match read {
        Some(Ok(())) => i64::from_ne_bytes(bytes),
        _ => 0,
    }
}

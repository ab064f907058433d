//! A log pipe that nobody reads delays no request, and dropped lines are counted.

mod support;

use std::ffi::CString;
use std::fs::OpenOptions;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::json;
use support::call;
use support::platform::Platform;

/// Number of requests whose log lines exceed the 64 KiB of the pipe and the queue of
/// 4,096 lines.
const REQUESTS: u32 = 2_000;

/// Highest latency that counts as not delayed, on a machine that runs other tests too.
const MAX_LATENCY: Duration = Duration::from_secs(1);

fn make_pipe(path: &Path) {
    let path = CString::new(path.as_os_str().as_bytes()).expect("a path without NUL");
    // SAFETY: the path is a valid C string for the whole call.
    let made = unsafe { libc::mkfifo(path.as_ptr(), 0o600) };
    assert_eq!(0, made, "cannot create the pipe");
}

fn dropped_lines(metrics: &str) -> u64 {
    let name = "gentian_log_lines_dropped_total ";
    let mut lines = metrics.lines().filter_map(|line| line.strip_prefix(name));
    lines
        .next()
        .expect("a counter of dropped lines")
        .parse()
        .expect("a number")
}

#[test]
fn an_unread_log_pipe_delays_no_request_and_dropped_lines_are_counted() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let path = folder.path().join("log");
    make_pipe(&path);
    let pipe = OpenOptions::new().read(true).write(true).open(&path);
    let _unread = pipe.expect("both ends of the pipe");
    let platform = Platform::start_with_entry_log(1, 1, Some(&path));
    let too_large =
        json!({ "spec": "1", "best-effort": true, "steps": [{ "count": 1, "cpu": 64_000 }] });
    let too_large = too_large.to_string();
    let mut longest = Duration::ZERO;
    for number in 0..REQUESTS {
        let start = Instant::now();
        let (status, _) = platform.call(0, "POST", &format!("/q/{number:016x}"), &too_large);
        assert_eq!(503, status);
        longest = longest.max(start.elapsed());
    }
    assert!(longest < MAX_LATENCY, "an answer took {longest:?}");
    let (_, metrics) = call("GET", &platform.entry_metrics_url(), &[], "");
    assert!(dropped_lines(&metrics) > 0, "{metrics}");
    // The entry still serves jobs.
    assert_eq!(200, platform.submit(0, "00000000000000bb", 2, 20).0);
}

//! Helpers for tests that run the real binary: processes and HTTP calls.

#![allow(dead_code)]

pub(crate) mod agent_stream;
pub(crate) mod cluster;
mod fake_server;
mod hosts;
pub(crate) mod observations;
pub(crate) mod platform;
pub(crate) mod suspension;
pub(crate) mod system;
pub(crate) mod worker;

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request, StatusCode};

pub(crate) use fake_server::{FakeServer, Listener, NO_ANSWER};

/// Time after which a wait for a process, a condition or an answer fails the test.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns a command that runs the binary with these arguments.
pub(crate) fn gentiancove(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_gentiancove"));
    command.args(args).stdin(Stdio::null());
    command
}

/// Runs the binary with these arguments and waits until it exits.
pub(crate) fn output(args: &[&str]) -> Output {
    gentiancove(args).output().expect("the binary starts")
}

/// Decodes the output of a command, with invalid UTF-8 replaced.
pub(crate) fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// A running process, killed when dropped.
pub(crate) struct Process {
    child: Child,
    /// Lines that the process wrote to its standard output.
    lines: mpsc::Receiver<String>,
    /// Files that must outlive the process; they are deleted when dropped.
    settings: Option<tempfile::NamedTempFile>,
    folder: Option<tempfile::TempDir>,
}

impl Process {
    /// Starts `run` with these settings, in a file that lives as long as the process.
    pub(crate) fn start_with_settings(settings: &impl std::fmt::Display) -> Process {
        Process::start_prepared(settings, |_| {})
    }

    /// Like [`Process::start_with_settings`], with the command changed by `prepare`.
    pub(crate) fn start_prepared(
        settings: &impl std::fmt::Display,
        prepare: impl FnOnce(&mut Command),
    ) -> Process {
        let mut file = tempfile::NamedTempFile::new().expect("a temporary file");
        file.write_all(settings.to_string().as_bytes())
            .expect("settings are written");
        let path = file.path().to_str().expect("a UTF-8 path").to_owned();
        let mut command = gentiancove(&["run", "--settings", &path]);
        prepare(&mut command);
        let mut process = Process::spawn(command);
        process.keep_settings(file);
        process
    }

    /// Starts the binary with these arguments.
    pub(crate) fn start(args: &[&str]) -> Process {
        Process::spawn(gentiancove(args))
    }

    /// Starts a command that the caller has prepared.
    pub(crate) fn spawn(mut command: Command) -> Process {
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let stdout = BufReader::new(child.stdout.take().expect("stdout is piped"));
        let (sender, lines) = mpsc::channel();
        thread::spawn(move || {
            let mut read = stdout.lines().map_while(Result::ok);
            read.all(|line| sender.send(line).is_ok());
        });
        Process {
            child,
            lines,
            settings: None,
            folder: None,
        }
    }

    /// Waits until the process writes the line `listening NAME ADDRESS`; returns the
    /// address.
    pub(crate) fn listen_address(&self, name: &str) -> SocketAddr {
        let prefix = format!("listening {name} ");
        loop {
            let line = self
                .lines
                .recv_timeout(WAIT_TIMEOUT)
                .expect("the listening line arrives in time");
            if let Some(address) = line.strip_prefix(&prefix) {
                return address.parse().expect("an address");
            }
        }
    }

    /// Keeps the settings file until the process is dropped.
    pub(crate) fn keep_settings(&mut self, settings: tempfile::NamedTempFile) {
        self.settings = Some(settings);
    }

    /// Keeps the data folder until the process is dropped.
    pub(crate) fn keep_data_folder(&mut self, folder: tempfile::TempDir) {
        self.folder = Some(folder);
    }

    /// The process's id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that the process has used, of all its threads that live.
    pub(crate) fn processor_time(&self) -> Duration {
        let folder = format!("/proc/{}/task", self.child.id());
        let threads = std::fs::read_dir(&folder).expect("threads of a running process");
        let times = threads.map(|thread| {
            let path = thread.expect("a thread").path().join("schedstat");
            let line = std::fs::read_to_string(path).unwrap_or_default();
            let nanos = line.split_whitespace().next();
            nanos.and_then(|nanos| nanos.parse().ok()).unwrap_or(0)
        });
        Duration::from_nanos(times.sum())
    }

    /// Sends SIGTERM.
    pub(crate) fn terminate(&self) {
        self.signal(libc::SIGTERM);
    }

    /// Sends SIGKILL.
    pub(crate) fn kill(&self) {
        self.signal(libc::SIGKILL);
    }

    /// Sends a signal; after SIGSTOP, waits until the process has stopped.
    pub(crate) fn signal(&self, signal: libc::c_int) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("the pid fits pid_t");
        // SAFETY: kill takes no pointers. Tests send no signal after `wait`, so the pid
        // is still that of the child.
        unsafe { libc::kill(pid, signal) };
        if signal == libc::SIGSTOP {
            self.wait_until_stopped();
        }
    }

    /// Waits until every thread has stopped, since kill(2) returns before that.
    fn wait_until_stopped(&self) {
        let folder = format!("/proc/{}/task", self.child.id());
        let start = Instant::now();
        loop {
            let threads = std::fs::read_dir(&folder).expect("threads of a running process");
            let mut threads = threads.filter_map(|thread| thread.ok().map(|t| t.path()));
            if threads.all(|thread| is_stopped(&thread)) {
                return;
            }
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the process has not stopped after SIGSTOP"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Limits the size of files that the process writes; `None` removes the limit.
    ///
    /// A write beyond the limit fails, which stands in for a full disk, provided that the
    /// process ignores SIGXFSZ.
    pub(crate) fn limit_file_size(&self, bytes: Option<u64>) {
        let pid = libc::pid_t::try_from(self.child.id()).expect("the pid fits pid_t");
        let limit = libc::rlimit {
            rlim_cur: bytes.unwrap_or(libc::RLIM_INFINITY),
            rlim_max: libc::RLIM_INFINITY,
        };
        // SAFETY: `limit` is valid for the call, and a null pointer for the old limit
        // is allowed.
        let done = unsafe { libc::prlimit(pid, libc::RLIMIT_FSIZE, &limit, std::ptr::null_mut()) };
        assert_eq!(done, 0, "cannot set the limit of the file size");
    }

    /// Whether the process has not exited.
    pub(crate) fn is_running(&mut self) -> bool {
        let status = self.child.try_wait().expect("child can be waited for");
        status.is_none()
    }

    /// Waits until the process has exited.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("child can be waited for") {
                return status;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the process has not exited");
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Whether a thread, given by its folder in /proc, is stopped or has exited.
fn is_stopped(thread: &std::path::Path) -> bool {
    let Ok(stat) = std::fs::read_to_string(thread.join("stat")) else {
        return true;
    };
    let state = stat
        .rsplit(") ")
        .next()
        .and_then(|rest| rest.chars().next());
    state == Some('T')
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request and returns status and body; panics without an answer.
pub(crate) fn call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (StatusCode, String) {
    try_call(method, url, headers, body, WAIT_TIMEOUT).expect("an answer arrives in time")
}

/// Sends a request and returns status and body, or an error if no complete answer
/// arrives in time.
pub(crate) fn try_call(
    method: &str,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> std::io::Result<(StatusCode, String)> {
    let mut request = Request::builder().method(method).uri(url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request
        .body(Body::from(body.to_owned()))
        .expect("a valid request");
    let client = oxhttp::Client::new().with_global_timeout(timeout);
    let answer = client.request(request)?;
    let status = answer.status();
    Ok((status, answer.into_body().to_string()?))
}

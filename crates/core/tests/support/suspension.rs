//! Processes on a system that is suspended and resumed.

use std::io::Write;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use super::Process;

/// The suspensions of a process. Meanwhile its monotonic clock stands still, as if its whole
/// system were suspended, and its boot-time clock doesn't.
pub(crate) struct Suspension {
    folder: tempfile::TempDir,
    /// How long the process has been suspended so far.
    total: Duration,
    /// When it was suspended, if it is.
    since: Option<Instant>,
}

impl Suspension {
    /// Builds the library that is preloaded into the process.
    pub(crate) fn new() -> Suspension {
        let suspension = Suspension {
            folder: tempfile::tempdir().expect("a temporary folder"),
            total: Duration::ZERO,
            since: None,
        };
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/preload/suspension.rs");
        let compiler = std::env::var_os("RUSTC").unwrap_or_else(|| "rustc".into());
        let built = Command::new(compiler)
            .args(["--edition=2021", "--crate-type=cdylib", "-o"])
            .arg(suspension.library())
            .arg(source)
            .status();
        assert!(built.expect("the compiler runs").success());
        suspension.write();
        suspension
    }

    /// Makes a process that can be suspended of the one that the command starts.
    pub(crate) fn prepare(&self, command: &mut Command) {
        command.env("LD_PRELOAD", self.library());
        command.env("SUSPENSION_FILE", self.file());
    }

    /// Suspends the process.
    pub(crate) fn suspend(&mut self, process: &Process) {
        process.signal(libc::SIGSTOP);
        self.since = Some(Instant::now());
    }

    /// Resumes the process.
    pub(crate) fn resume(&mut self, process: &Process) {
        let since = self.since.take().expect("the process is suspended");
        self.total += since.elapsed();
        self.write();
        process.signal(libc::SIGCONT);
    }

    fn write(&self) {
        let nanos = i64::try_from(self.total.as_nanos()).expect("a short time");
        let mut file = std::fs::File::create(self.file()).expect("the file is created");
        file.write_all(&nanos.to_ne_bytes())
            .expect("the file is written");
    }

    fn library(&self) -> PathBuf {
        self.folder.path().join("libsuspension.so")
    }

    fn file(&self) -> PathBuf {
        self.folder.path().join("suspended")
    }
}

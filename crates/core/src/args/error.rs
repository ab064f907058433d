//! How a command fails, and the exit code that tells it.

use std::process::ExitCode;

use miette::{Diagnostic, MietteHandlerOpts, Report};

use crate::client::Base;
use crate::{load, local, run, settings, upstream};

/// Why a command failed.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The settings can't be used.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The example upstream can't run.
    #[error(transparent)]
    Upstream(#[from] upstream::Error),
    /// A role can't be started.
    #[error(transparent)]
    Run(#[from] run::Error),
    /// No local system runs.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Local(#[from] local::Error),
    /// An argument can't be used.
    #[error("argument {argument} is {value:?}: {allowed}")]
    #[diagnostic(help("see --help"))]
    Argument {
        argument: &'static str,
        value: String,
        allowed: String,
    },
    /// A file can't be read or written.
    #[error("cannot use {path}: {source}")]
    File {
        path: String,
        source: std::io::Error,
    },
    /// A request was answered with an error.
    #[error("{url} answered {status}: {detail}")]
    Refused {
        url: String,
        status: u16,
        detail: String,
    },
    /// A patch names another version than the one in force.
    #[error("{detail}")]
    #[diagnostic(help("read the version in force with `config get` and decide anew"))]
    Conflict { detail: String },
    /// An answer is not what it should be.
    #[error("{url} gave an answer that can't be read: {detail}")]
    Answer { url: String, detail: String },
    /// No load can be made.
    #[error(transparent)]
    Load(#[from] load::Error),
    /// What was checked does not hold.
    #[error("{0}")]
    Check(String),
    /// No address answered.
    #[error("nobody answered: {}", list(.attempts))]
    Unreachable { attempts: Vec<(Base, String)> },
}

/// A result whose error tells why a command failed.
pub(crate) type Result<T> = std::result::Result<T, Error>;

#[derive(Clone, Copy, Debug)]
#[repr(u8)]
enum Code {
    Failure = 1,
    Usage = 2,
    Conflict = 3,
    Unreachable = 4,
    Check = 5,
}

impl Error {
    /// Writes the error to standard error and returns its exit code.
    pub(super) fn tell(self) -> ExitCode {
        let code = self.code();
        eprintln!("{:?}", Report::new(self));
        ExitCode::from(code as u8)
    }

    fn code(&self) -> Code {
        match self {
            Error::Settings(_) | Error::Argument { .. } => Code::Usage,
            Error::Conflict { .. } => Code::Conflict,
            Error::Unreachable { .. } => Code::Unreachable,
            Error::Load(load::Error::Silent(_)) => Code::Unreachable,
            Error::Check(_) => Code::Check,
            Error::Upstream(_)
            | Error::Run(_)
            | Error::Local(_)
            | Error::Load(load::Error::Start(_))
            | Error::File { .. }
            | Error::Refused { .. }
            | Error::Answer { .. } => Code::Failure,
        }
    }
}

/// Has errors printed without line breaks of their own, so that what they name
/// can be searched for.
pub(super) fn install_handler() {
    // Only a second call can fail.
    let _ = miette::set_hook(Box::new(|_| {
        let options = MietteHandlerOpts::new();
        Box::new(options.wrap_lines(false).build())
    }));
}

fn list(attempts: &[(Base, String)]) -> String {
    let lines = attempts
        .iter()
        .map(|(url, error)| format!("\n  {url}: {error}"));
    lines.collect()
}

//! Errors of commands and their exit codes.

use std::process::ExitCode;

use miette::{Diagnostic, MietteHandlerOpts, Report};

use crate::client::BaseUrl;
use crate::{load, local, run, settings, upstream};

/// Why a command failed.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The settings are invalid or can't be read.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] settings::Error),
    /// The example upstream failed.
    #[error(transparent)]
    Upstream(#[from] upstream::Error),
    /// A role failed to start.
    #[error(transparent)]
    Run(#[from] run::Error),
    /// The local system failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Local(#[from] local::Error),
    /// The value of an argument is invalid.
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
    /// The response has an error status.
    #[error("{url} answered {status}: {detail}")]
    Status {
        url: String,
        status: u16,
        detail: String,
    },
    /// The base version of a patch is not the version in force.
    #[error("{detail}")]
    #[diagnostic(help("read the version in force with `config get` and base a new patch on it"))]
    Conflict { detail: String },
    /// The body of a response can't be parsed.
    #[error("{url} sent a response body that can't be parsed: {detail}")]
    InvalidResponse { url: String, detail: String },
    /// The load can't be generated, or no entry answered it.
    #[error(transparent)]
    Load(#[from] load::Error),
    /// A check failed.
    #[error("{0}")]
    Check(String),
    /// No address answered with anything but status 503.
    #[error("no address answered: {}", format_attempts(.attempts))]
    Unreachable { attempts: Vec<(BaseUrl, String)> },
}

/// The result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Exit codes, as listed in the help text.
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
    pub(super) fn report(self) -> ExitCode {
        let code = self.code();
        eprintln!("{:?}", Report::new(self));
        ExitCode::from(code as u8)
    }

    fn code(&self) -> Code {
        match self {
            Error::Settings(_) | Error::Argument { .. } => Code::Usage,
            Error::Conflict { .. } => Code::Conflict,
            Error::Unreachable { .. } => Code::Unreachable,
            Error::Load(load::Error::NoAnswer(_)) => Code::Unreachable,
            Error::Check(_) => Code::Check,
            Error::Upstream(_)
            | Error::Run(_)
            | Error::Local(_)
            | Error::Load(load::Error::Start(_))
            | Error::File { .. }
            | Error::Status { .. }
            | Error::InvalidResponse { .. } => Code::Failure,
        }
    }
}

/// Turns off line wrapping in printed errors, so that scripts and operators can
/// search them for whole paths and ids.
pub(super) fn install_handler() {
    // Fails only if a hook is installed already, and this is called once.
    let _ = miette::set_hook(Box::new(|_| {
        let options = MietteHandlerOpts::new();
        Box::new(options.wrap_lines(false).build())
    }));
}

fn format_attempts(attempts: &[(BaseUrl, String)]) -> String {
    let lines = attempts
        .iter()
        .map(|(url, error)| format!("\n  {url}: {error}"));
    lines.collect()
}

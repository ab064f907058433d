//! Why settings can't be used.

use std::fmt;
use std::path::PathBuf;

use miette::{Diagnostic, NamedSource, SourceOffset};
use serde_json::Value;

/// Settings that can't be used.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The file can't be read.
    #[error("cannot read the settings file {path:?}: {source}")]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not JSON, or a section is no object.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Syntax(Box<Syntax>),
    /// Values are not allowed.
    #[error("settings {name}: {}", list(.mistakes))]
    Invalid {
        name: String,
        mistakes: Vec<FieldError>,
    },
}

/// A result whose error is unusable settings.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    pub(super) fn syntax(name: &str, text: &str, error: &serde_json::Error) -> Error {
        Error::Syntax(Box::new(Syntax {
            name: name.to_owned(),
            message: error.to_string(),
            text: NamedSource::new(name, text.to_owned()),
            place: SourceOffset::from_location(text, error.line(), error.column()),
        }))
    }
}

/// A place where a file can't be read on.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("settings {name}: {message}")]
pub(crate) struct Syntax {
    name: String,
    message: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    place: SourceOffset,
}

/// One field whose value is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FieldError {
    /// The field, with its section: `entry.http`.
    pub(crate) field: String,
    /// Its value, where it has one.
    pub(crate) value: Option<Value>,
    /// What is allowed.
    pub(crate) allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FieldError { field, allowed, .. } = self;
        match &self.value {
            Some(value) => write!(f, "{field} is {value}; allowed is {allowed}"),
            None => write!(f, "{field} is missing; allowed is {allowed}"),
        }
    }
}

fn list(mistakes: &[FieldError]) -> String {
    let count = match mistakes.len() {
        1 => "1 mistake".to_owned(),
        n => format!("{n} mistakes"),
    };
    let lines = mistakes.iter().map(|mistake| format!("\n  {mistake}"));
    count + &lines.collect::<String>()
}

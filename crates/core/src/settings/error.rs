//! Errors of reading and validating settings.

use std::fmt;
use std::path::PathBuf;

use miette::{Diagnostic, NamedSource, SourceOffset};
use serde_json::Value;

/// Why a settings file was rejected.
#[derive(Debug, Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// The file can't be read.
    #[error("cannot read the settings file {path:?}: {source}")]
    Read {
        path: PathBuf,
        source: std::io::Error,
    },
    /// The file is not valid JSON, or a section is not an object.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Syntax(Box<SyntaxError>),
    /// Fields are missing, unknown or have values that are not allowed.
    #[error("settings {name}: {}", format_errors(.errors))]
    Invalid {
        name: String,
        errors: Vec<FieldError>,
    },
}

/// A result whose error says why settings were rejected.
pub(crate) type Result<T> = std::result::Result<T, Error>;

impl Error {
    pub(super) fn syntax(name: &str, text: &str, error: &serde_json::Error) -> Error {
        Error::Syntax(Box::new(SyntaxError {
            name: name.to_owned(),
            message: error.to_string(),
            text: NamedSource::new(name, text.to_owned()),
            location: SourceOffset::from_location(text, error.line(), error.column()),
        }))
    }
}

/// A syntax error, shown with the part of the file that contains it.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("settings {name}: {message}")]
pub(crate) struct SyntaxError {
    name: String,
    message: String,
    #[source_code]
    text: NamedSource<String>,
    #[label("here")]
    location: SourceOffset,
}

/// A field that is missing, unknown or has a value that is not allowed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct FieldError {
    /// Name of the field with its section, such as `entry.http`.
    pub(crate) field: String,
    /// The rejected value; none if the field is missing.
    pub(crate) value: Option<Value>,
    /// Description of the allowed values.
    pub(crate) allowed: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let FieldError { field, allowed, .. } = self;
        match &self.value {
            Some(value) => write!(f, "{field} is {value}; allowed: {allowed}"),
            None => write!(f, "{field} is missing; allowed: {allowed}"),
        }
    }
}

fn format_errors(errors: &[FieldError]) -> String {
    let count = match errors.len() {
        1 => "1 error".to_owned(),
        n => format!("{n} errors"),
    };
    let lines = errors.iter().map(|error| format!("\n  {error}"));
    count + &lines.collect::<String>()
}

//! Writes to standard output and to files.

use std::fs;
use std::io::{self, Write};
use std::path::Path;

use super::{Error, Result};

/// Writes a text to standard output. It is no error if the reader has closed the
/// pipe, as `head` does.
pub(super) fn print(text: &str) -> Result<()> {
    let mut stdout = io::stdout().lock();
    let written = stdout
        .write_all(text.as_bytes())
        .and_then(|()| stdout.flush());
    match written {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(file_error("standard output")),
    }
}

/// Writes a text and a line break to standard output.
pub(super) fn print_line(text: &str) -> Result<()> {
    print(&format!("{text}\n"))
}

/// Writes a text to a file.
pub(super) fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(file_error(&path.display().to_string()))
}

/// Returns a function that wraps an I/O error on `path` in a command error.
pub(super) fn file_error(path: &str) -> impl FnOnce(io::Error) -> Error {
    let path = path.to_owned();
    move |source| Error::File { path, source }
}

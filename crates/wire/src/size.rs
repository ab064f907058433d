//! Sizes in bytes, written as people write them: `512`, `64KiB`, `2MB`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

const UNITS: [(&str, u64); 7] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

/// A text that is no size.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a size such as 512, 64KiB or 2MB")]
pub struct Error(String);

/// A result whose error is an unreadable size.
pub type Result<T> = std::result::Result<T, Error>;

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Bytes(pub u64);

impl Bytes {
    /// The size as the type that indexes memory.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let whole = |unit: &&(&str, u64)| self.0 >= unit.1 && self.0.is_multiple_of(unit.1);
        match UNITS.iter().find(whole) {
            Some((name, bytes)) => write!(f, "{}{name}", self.0 / bytes),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Bytes> {
        let error = || Error(text.to_owned());
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let unit = &text[digits.len()..];
        let scale = match unit {
            "" => 1,
            _ => UNITS.iter().find(|u| u.0 == unit).ok_or_else(error)?.1,
        };
        let count: u64 = digits.trim_end().parse().map_err(|_| error())?;
        count.checked_mul(scale).map(Bytes).ok_or_else(error)
    }
}

impl TryFrom<String> for Bytes {
    type Error = Error;

    fn try_from(text: String) -> Result<Bytes> {
        text.parse()
    }
}

impl From<Bytes> for String {
    fn from(size: Bytes) -> String {
        size.to_string()
    }
}

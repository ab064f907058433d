//! Sizes in bytes, parsed from and printed as text such as `512`, `64KiB` or `2MB`.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Units from largest to smallest; [`Bytes`] prints the largest one that divides the
/// size evenly.
const UNITS: [(&str, u64); 7] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

/// The error returned when a text is not a valid size.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a size such as 512, 64KiB or 2MB")]
pub struct Error(String);

/// The result of parsing a size.
pub type Result<T> = std::result::Result<T, Error>;

/// A size in bytes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct Bytes(pub u64);

impl Bytes {
    /// The size as a `usize`, saturated at `usize::MAX`.
    pub fn as_usize(self) -> usize {
        usize::try_from(self.0).unwrap_or(usize::MAX)
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let divides = |unit: &&(&str, u64)| self.0 >= unit.1 && self.0.is_multiple_of(unit.1);
        match UNITS.iter().find(divides) {
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
        let multiplier = match unit {
            "" => 1,
            _ => UNITS.iter().find(|u| u.0 == unit).ok_or_else(error)?.1,
        };
        let count: u64 = digits.trim_end().parse().map_err(|_| error())?;
        count.checked_mul(multiplier).map(Bytes).ok_or_else(error)
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

//! Event rates per second.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// The error returned when a text or number is not a valid rate.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{0:?} is not a rate such as 200 or 12.5/s")]
pub struct Error(String);

/// The result of parsing a rate.
pub type Result<T> = std::result::Result<T, Error>;

/// A rate in events per second, which is finite and not negative.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct PerSecond(f64);

impl PerSecond {
    /// Returns the number of events per second.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for PerSecond {
    type Error = Error;

    fn try_from(rate: f64) -> Result<PerSecond> {
        if rate.is_finite() && rate >= 0.0 {
            Ok(PerSecond(rate))
        } else {
            Err(Error(rate.to_string()))
        }
    }
}

impl From<PerSecond> for f64 {
    fn from(rate: PerSecond) -> f64 {
        rate.0
    }
}

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = Error;

    fn from_str(text: &str) -> Result<PerSecond> {
        let error = || Error(text.to_owned());
        let number = text.strip_suffix("/s").unwrap_or(text);
        let rate: f64 = number.parse().map_err(|_| error())?;
        PerSecond::try_from(rate).map_err(|_| error())
    }
}

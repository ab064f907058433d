//! Trade-off between response time and wasted messages, as set for each service.

use std::fmt;
use std::str::FromStr;

/// How far below one the estimated free slots required to send a request may be, at
/// weight 1.
const MAX_SLOT_SHORTFALL: f64 = 0.5;

/// Weight above which idempotent requests are hedged.
const HEDGE_THRESHOLD: f64 = 0.75;

/// Share of requests that may be retried, at weight 0 and at weight 1.
const RETRY_SHARE: (f64, f64) = (0.02, 0.1);

/// Error for a text or number that is not a valid weight.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("weight {0:?} is not a number from 0 to 1")]
pub struct Error(String);

/// A result whose error is an invalid weight.
pub type Result<T> = std::result::Result<T, Error>;

/// Importance of response time relative to wasted messages, from 0 (avoid wasted
/// messages) to 1 (answer as fast as possible).
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ResponseWeight(f64);

impl Default for ResponseWeight {
    fn default() -> ResponseWeight {
        ResponseWeight(0.5)
    }
}

impl ResponseWeight {
    /// The weight as a number.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Estimated number of free slots that an upstream must have to be sent a request:
    /// one at weight 0, since a refusal wastes messages, and less at higher weights,
    /// since waiting costs time.
    pub fn min_free_slots(self) -> f64 {
        1.0 - MAX_SLOT_SHORTFALL * self.0
    }

    /// Share of requests that may be retried.
    pub fn retry_share(self) -> f64 {
        RETRY_SHARE.0 + (RETRY_SHARE.1 - RETRY_SHARE.0) * self.0
    }

    /// Quantile of the run time after which an idempotent request is also sent to a
    /// second upstream, or `None` if requests are not hedged.
    pub fn hedge_quantile(self) -> Option<f64> {
        let above = (self.0 - HEDGE_THRESHOLD) / (1.0 - HEDGE_THRESHOLD);
        (above > 0.0).then_some(0.99 - 0.04 * above)
    }
}

impl TryFrom<f64> for ResponseWeight {
    type Error = Error;

    fn try_from(weight: f64) -> Result<ResponseWeight> {
        if (0.0..=1.0).contains(&weight) {
            Ok(ResponseWeight(weight))
        } else {
            Err(Error(weight.to_string()))
        }
    }
}

impl fmt::Display for ResponseWeight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for ResponseWeight {
    type Err = Error;

    fn from_str(text: &str) -> Result<ResponseWeight> {
        let error = || Error(text.to_owned());
        let weight: f64 = text.parse().map_err(|_| error())?;
        ResponseWeight::try_from(weight).map_err(|_| error())
    }
}

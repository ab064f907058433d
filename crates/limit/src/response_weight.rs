//! What a service weighs more: response time or wasted messages.

use std::fmt;
use std::str::FromStr;

/// How much less than one free slot is enough to send on at weight 1.
const EAGERNESS: f64 = 0.5;

/// Weight from which idempotent requests are hedged.
const HEDGING: f64 = 0.75;

/// Share of requests that may be sent again, at weight 0 and at weight 1.
const BUDGET: (f64, f64) = (0.02, 0.1);

/// A text or number that is no weight.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("weight {0:?} is not a number from 0 to 1")]
pub struct Error(String);

/// A result whose error is an unreadable weight.
pub type Result<T> = std::result::Result<T, Error>;

/// From 0, where a wasted message costs most, to 1, where response time does.
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

    /// Slots that must be believed free at an upstream for a request to be sent
    /// there: one where a refusal costs most, less where a wait does.
    pub fn min_free_slots(self) -> f64 {
        1.0 - EAGERNESS * self.0
    }

    /// Share of requests that may be sent again.
    pub fn retry_share(self) -> f64 {
        BUDGET.0 + (BUDGET.1 - BUDGET.0) * self.0
    }

    /// Quantile of the run time after which an idempotent request is sent to a
    /// second upstream, if it is at all.
    pub fn hedge_quantile(self) -> Option<f64> {
        let above = (self.0 - HEDGING) / (1.0 - HEDGING);
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

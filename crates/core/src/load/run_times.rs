//! Run times of tasks: mostly short ones, and a few long ones.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;

/// A text that is no span of durations.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a span of durations from 1ms to 60s such as 50ms..1s")]
pub(crate) struct Error(String);

const LEAST: Duration = Duration::from_millis(1);
const MOST: Duration = Duration::from_secs(60);

/// A span of durations, both ends included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Span {
    least: Duration,
    most: Duration,
}

impl Span {
    /// Draws a duration whose logarithm is uniform, to the millisecond.
    fn draw(self, rng: &mut impl Rng) -> Duration {
        let (low, high) = (self.least.as_secs_f64(), self.most.as_secs_f64());
        let drawn = low * (high / low).powf(rng.random::<f64>());
        Duration::from_millis((drawn * 1e3).round() as u64)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Span, Error> {
        let error = || Error(text.to_owned());
        let (least, most) = text.split_once("..").unwrap_or((text, text));
        let read = |text| humantime::parse_duration(text).map_err(|_| error());
        let (least, most) = (read(least)?, read(most)?);
        if LEAST <= least && least <= most && most <= MOST {
            Ok(Span { least, most })
        } else {
            Err(error())
        }
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let least = humantime::format_duration(self.least);
        write!(f, "{least}..{}", humantime::format_duration(self.most))
    }
}

/// Run times of tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Mixture {
    /// Run times of most tasks.
    pub(crate) short: Span,
    /// Run times of the others.
    pub(crate) long: Span,
    /// Fraction of the others, 0 to 1.
    pub(crate) long_share: f64,
}

impl Mixture {
    /// Draws the run time of one task.
    pub(super) fn draw(&self, rng: &mut impl Rng) -> Duration {
        let long = rng.random::<f64>() < self.long_share;
        let span = if long { self.long } else { self.short };
        span.draw(rng)
    }
}

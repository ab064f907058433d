//! Distribution of the run times of tasks: mostly short, some long.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;

/// The text is not a valid range of durations.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{0:?} is not a range of durations from 1ms to 60s such as 50ms..1s")]
pub(crate) struct Error(String);

const MIN: Duration = Duration::from_millis(1);
const MAX: Duration = Duration::from_secs(60);

/// A range of durations, both bounds included.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct DurationRange {
    min: Duration,
    max: Duration,
}

impl DurationRange {
    /// Draws from a log-uniform distribution, rounded to the millisecond.
    fn draw(self, rng: &mut impl Rng) -> Duration {
        let (low, high) = (self.min.as_secs_f64(), self.max.as_secs_f64());
        let drawn = low * (high / low).powf(rng.random::<f64>());
        Duration::from_millis((drawn * 1e3).round() as u64)
    }
}

impl FromStr for DurationRange {
    type Err = Error;

    fn from_str(text: &str) -> Result<DurationRange, Error> {
        let error = || Error(text.to_owned());
        let (min, max) = text.split_once("..").unwrap_or((text, text));
        let read = |text| humantime::parse_duration(text).map_err(|_| error());
        let (min, max) = (read(min)?, read(max)?);
        if MIN <= min && min <= max && max <= MAX {
            Ok(DurationRange { min, max })
        } else {
            Err(error())
        }
    }
}

impl fmt::Display for DurationRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let min = humantime::format_duration(self.min);
        write!(f, "{min}..{}", humantime::format_duration(self.max))
    }
}

/// Distribution of the run times of tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunTimes {
    /// Range of the short run times.
    pub(crate) short: DurationRange,
    /// Range of the long run times.
    pub(crate) long: DurationRange,
    /// Fraction of tasks with a long run time, 0 to 1.
    pub(crate) long_share: f64,
}

impl RunTimes {
    /// Draws the run time of one task.
    pub(super) fn draw(&self, rng: &mut impl Rng) -> Duration {
        let long = rng.random::<f64>() < self.long_share;
        let range = if long { self.long } else { self.short };
        range.draw(rng)
    }
}

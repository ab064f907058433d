//! Counts of good and bad answers over the last three days.
//!
//! No clock is read here: times are passed in, as durations since the process
//! started.

mod ring;

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use ring::Ring;

/// Pairs of service and team that are counted apart; further ones are not
/// counted, so that callers can't fill the memory with names.
pub(crate) const MAX_SERIES: usize = 2048;

const MINUTE: Duration = Duration::from_secs(60);
const TEN_MINUTES: Duration = Duration::from_secs(600);
const MINUTES_KEPT: usize = 61;
const TENS_KEPT: usize = 433;

/// How long back answers are counted.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, EnumIter, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub(crate) enum Window {
    /// Five minutes.
    #[serde(rename = "5m")]
    #[strum(serialize = "5m")]
    FiveMinutes,
    /// One hour.
    #[serde(rename = "1h")]
    #[strum(serialize = "1h")]
    Hour,
    /// Six hours.
    #[serde(rename = "6h")]
    #[strum(serialize = "6h")]
    SixHours,
    /// Three days.
    #[serde(rename = "3d")]
    #[strum(serialize = "3d")]
    ThreeDays,
}

impl Window {
    /// Its length.
    pub(crate) fn length(self) -> Duration {
        match self {
            Window::FiveMinutes => 5 * MINUTE,
            Window::Hour => 60 * MINUTE,
            Window::SixHours => 360 * MINUTE,
            Window::ThreeDays => 4320 * MINUTE,
        }
    }
}

/// Answers of one kind over some time.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Counts {
    /// All answers.
    pub(crate) total: u64,
    /// Those that were not `done`.
    pub(crate) unavailable: u64,
    /// Those that were `done`, but later than the objective allows.
    pub(crate) slow: u64,
}

impl Counts {
    /// The sum of both.
    pub(crate) fn plus(self, other: Counts) -> Counts {
        Counts {
            total: self.total + other.total,
            unavailable: self.unavailable + other.unavailable,
            slow: self.slow + other.slow,
        }
    }
}

/// How an answer counts towards the objectives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerClass {
    /// `done` in time.
    Good,
    /// `done`, but later than the objective allows.
    Slow,
    /// Anything else.
    Unavailable,
}

impl From<AnswerClass> for Counts {
    fn from(class: AnswerClass) -> Counts {
        Counts {
            total: 1,
            unavailable: u64::from(class == AnswerClass::Unavailable),
            slow: u64::from(class == AnswerClass::Slow),
        }
    }
}

/// Counts of one service and team.
#[derive(Clone, Debug)]
pub(crate) struct SeriesCounts {
    minutes: Ring,
    tens: Ring,
}

impl Default for SeriesCounts {
    fn default() -> SeriesCounts {
        SeriesCounts {
            minutes: Ring::new(MINUTE, MINUTES_KEPT),
            tens: Ring::new(TEN_MINUTES, TENS_KEPT),
        }
    }
}

impl SeriesCounts {
    /// Counts one answer.
    pub(crate) fn add(&mut self, now: Duration, class: AnswerClass) {
        self.minutes.add(now, class.into());
        self.tens.add(now, class.into());
    }

    /// Counts of the window that ends now. It starts at the edge of a bucket,
    /// so it is longer than its name by less than one: a minute up to an hour,
    /// ten minutes beyond.
    pub(crate) fn sum(&self, now: Duration, window: Window) -> Counts {
        match window {
            Window::FiveMinutes | Window::Hour => self.minutes.sum(now, window.length()),
            Window::SixHours | Window::ThreeDays => self.tens.sum(now, window.length()),
        }
    }
}

/// Counts of all services and teams.
#[derive(Clone, Debug, Default)]
pub(crate) struct AnswerCounts {
    series: HashMap<(id::Service, id::Team), SeriesCounts>,
}

impl AnswerCounts {
    /// Counts one answer.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        service: &id::Service,
        team: &id::Team,
        class: AnswerClass,
    ) {
        let pair = (service.clone(), team.clone());
        let full = self.series.len() >= MAX_SERIES;
        if !full || self.series.contains_key(&pair) {
            self.series.entry(pair).or_default().add(now, class);
        }
    }

    /// All series, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Service, &id::Team, &SeriesCounts)> {
        let series = self.series.iter();
        series.map(|((service, team), counts)| (service, team, counts))
    }
}

//! Counts of good and bad answers in sliding windows of up to three days.
//!
//! This module reads no clock: callers pass the time since the process started.

mod ring;

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter};

use ring::Ring;

/// Maximum number of pairs of service and team. Further pairs are not counted, so
/// that callers can't exhaust memory by sending new names.
pub(crate) const MAX_SERIES: usize = 2048;

const MINUTE: Duration = Duration::from_secs(60);
const TEN_MINUTES: Duration = Duration::from_secs(600);
/// Buckets of a minute for windows of up to an hour, and one for the partly covered
/// first minute.
const MINUTE_BUCKETS: usize = 61;
/// Buckets of ten minutes for windows of up to three days, and one for the partly
/// covered first ten minutes.
const TEN_MINUTE_BUCKETS: usize = 433;

/// A sliding window that ends now.
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
    /// Length of the window.
    pub(crate) fn length(self) -> Duration {
        match self {
            Window::FiveMinutes => 5 * MINUTE,
            Window::Hour => 60 * MINUTE,
            Window::SixHours => 360 * MINUTE,
            Window::ThreeDays => 4320 * MINUTE,
        }
    }
}

/// Numbers of answers in some period.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct Counts {
    /// All answers.
    pub(crate) total: u64,
    /// Answers that were not `done`.
    pub(crate) unavailable: u64,
    /// Answers that were `done` but slower than the latency limit.
    pub(crate) slow: u64,
}

impl Counts {
    /// Adds both counts.
    pub(crate) fn plus(self, other: Counts) -> Counts {
        Counts {
            total: self.total + other.total,
            unavailable: self.unavailable + other.unavailable,
            slow: self.slow + other.slow,
        }
    }
}

/// How an answer counts towards the service-level objectives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum AnswerClass {
    /// `done` within the latency limit.
    Good,
    /// `done`, but slower than the latency limit.
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
    ten_minutes: Ring,
}

impl Default for SeriesCounts {
    fn default() -> SeriesCounts {
        SeriesCounts {
            minutes: Ring::new(MINUTE, MINUTE_BUCKETS),
            ten_minutes: Ring::new(TEN_MINUTES, TEN_MINUTE_BUCKETS),
        }
    }
}

impl SeriesCounts {
    /// Counts one answer.
    pub(crate) fn add(&mut self, now: Duration, class: AnswerClass) {
        self.minutes.add(now, class.into());
        self.ten_minutes.add(now, class.into());
    }

    /// Counts of the window that ends at `now`. The start is rounded down to the start
    /// of a bucket, so the period is longer than the window by less than a bucket: a
    /// minute for windows of up to an hour, ten minutes for longer ones.
    pub(crate) fn sum(&self, now: Duration, window: Window) -> Counts {
        match window {
            Window::FiveMinutes | Window::Hour => self.minutes.sum(now, window.length()),
            Window::SixHours | Window::ThreeDays => self.ten_minutes.sum(now, window.length()),
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

    /// All series, in arbitrary order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Service, &id::Team, &SeriesCounts)> {
        let series = self.series.iter();
        series.map(|((service, team), counts)| (service, team, counts))
    }
}

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
pub(crate) const MAX_PAIRS: usize = 2048;

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
pub(crate) enum Verdict {
    /// `done` in time.
    Good,
    /// `done`, but later than the objective allows.
    Slow,
    /// Anything else.
    Unavailable,
}

impl From<Verdict> for Counts {
    fn from(verdict: Verdict) -> Counts {
        Counts {
            total: 1,
            unavailable: u64::from(verdict == Verdict::Unavailable),
            slow: u64::from(verdict == Verdict::Slow),
        }
    }
}

/// Counts of one service and team.
#[derive(Clone, Debug)]
pub(crate) struct Track {
    minutes: Ring,
    tens: Ring,
}

impl Default for Track {
    fn default() -> Track {
        Track {
            minutes: Ring::new(MINUTE, MINUTES_KEPT),
            tens: Ring::new(TEN_MINUTES, TENS_KEPT),
        }
    }
}

impl Track {
    /// Counts one answer.
    pub(crate) fn add(&mut self, now: Duration, verdict: Verdict) {
        self.minutes.add(now, verdict.into());
        self.tens.add(now, verdict.into());
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
pub(crate) struct Book {
    tracks: HashMap<(id::Service, id::Team), Track>,
}

impl Book {
    /// Counts one answer.
    pub(crate) fn add(
        &mut self,
        now: Duration,
        service: &id::Service,
        team: &id::Team,
        verdict: Verdict,
    ) {
        let pair = (service.clone(), team.clone());
        let full = self.tracks.len() >= MAX_PAIRS;
        if !full || self.tracks.contains_key(&pair) {
            self.tracks.entry(pair).or_default().add(now, verdict);
        }
    }

    /// All tracks, in no order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&id::Service, &id::Team, &Track)> {
        let tracks = self.tracks.iter();
        tracks.map(|((service, team), track)| (service, team, track))
    }
}

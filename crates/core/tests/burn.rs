//! Counts of answers over time windows, compared with a plain list of all answers.

use std::time::Duration;

use gentian_wire::id;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::IntoEnumIterator;
use test_case::test_case;

#[allow(dead_code, unreachable_pub)]
#[path = "../src/report/counts/mod.rs"]
mod counts;

use counts::{AnswerClass, AnswerCounts, Counts, SeriesCounts, Window, MAX_SERIES};

const MINUTE_S: u64 = 60;

/// Reference implementation: every answer with its time in seconds.
#[derive(Default)]
struct AnswerList(Vec<(u64, AnswerClass)>);

impl AnswerList {
    /// Counts from the start of the bucket that contains the start of the window, as
    /// `SeriesCounts` counts whole buckets only.
    fn sum(&self, now: u64, window: Window) -> Counts {
        let bucket = match window {
            Window::FiveMinutes | Window::Hour => MINUTE_S,
            Window::SixHours | Window::ThreeDays => 10 * MINUTE_S,
        };
        let start = now.saturating_sub(window.length().as_secs());
        let start = start - start % bucket;
        let inside = self.0.iter().filter(|(at, _)| *at >= start);
        inside
            .map(|(_, class)| Counts::from(*class))
            .fold(Counts::default(), Counts::plus)
    }
}

#[test_case(1, 1; "many answers a minute")]
#[test_case(2, 300; "an answer in some minutes")]
#[test_case(3, 4000; "an answer an hour")]
#[test_case(4, 200_000; "gaps of days")]
fn series_counts_agree_with_a_plain_list(seed: u64, gap_s: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut series = SeriesCounts::default();
    let mut answers = AnswerList::default();
    let mut now = 0;
    for _ in 0..3000 {
        now += rng.random_range(0..=gap_s);
        let class = match rng.random_range(0..3) {
            0 => AnswerClass::Good,
            1 => AnswerClass::Slow,
            _ => AnswerClass::Unavailable,
        };
        series.add(Duration::from_secs(now), class);
        answers.0.push((now, class));
        let later = now + rng.random_range(0..=gap_s);
        for window in Window::iter() {
            let counted = series.sum(Duration::from_secs(later), window);
            assert_eq!(answers.sum(later, window), counted, "{window} at {later}");
        }
    }
}

#[test]
fn pairs_of_service_and_team_beyond_the_limit_are_not_counted() {
    let mut counts = AnswerCounts::default();
    let service: id::Service = "dashboard".parse().expect("a valid name");
    for number in 0..=MAX_SERIES {
        let team = format!("team-{number}").parse().expect("a valid name");
        counts.add(Duration::ZERO, &service, &team, AnswerClass::Good);
    }
    assert_eq!(MAX_SERIES, counts.iter().count());
    let first = "team-0".parse().expect("a valid name");
    counts.add(Duration::ZERO, &service, &first, AnswerClass::Slow);
    let found = counts.iter().find(|(_, team, _)| **team == first);
    let counts = found
        .expect("a series of the team")
        .2
        .sum(Duration::ZERO, Window::Hour);
    assert_eq!((2, 1), (counts.total, counts.slow));
}

//! Counts over windows against a plain list of all answers.

use std::time::Duration;

use gentian_wire::id;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::IntoEnumIterator;
use test_case::test_case;

#[allow(dead_code, unreachable_pub)]
#[path = "../src/report/burn/mod.rs"]
mod burn;

use burn::{Book, Counts, Track, Verdict, Window, MAX_PAIRS};

const MINUTE_S: u64 = 60;

/// Every answer with its time in seconds.
#[derive(Default)]
struct Naive(Vec<(u64, Verdict)>);

impl Naive {
    /// Counts from the start of the bucket that holds the window's start.
    fn sum(&self, now: u64, window: Window) -> Counts {
        let bucket = match window {
            Window::FiveMinutes | Window::Hour => MINUTE_S,
            Window::SixHours | Window::ThreeDays => 10 * MINUTE_S,
        };
        let start = now.saturating_sub(window.length().as_secs());
        let start = start - start % bucket;
        let inside = self.0.iter().filter(|(at, _)| *at >= start);
        inside
            .map(|(_, verdict)| Counts::from(*verdict))
            .fold(Counts::default(), Counts::plus)
    }
}

#[test_case(1, 1; "many answers a minute")]
#[test_case(2, 300; "an answer in some minutes")]
#[test_case(3, 4000; "an answer an hour")]
#[test_case(4, 200_000; "gaps of days")]
fn track_counts_like_a_list(seed: u64, gap_s: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut track = Track::default();
    let mut naive = Naive::default();
    let mut now = 0;
    for _ in 0..3000 {
        now += rng.random_range(0..=gap_s);
        let verdict = match rng.random_range(0..3) {
            0 => Verdict::Good,
            1 => Verdict::Slow,
            _ => Verdict::Unavailable,
        };
        track.add(Duration::from_secs(now), verdict);
        naive.0.push((now, verdict));
        let later = now + rng.random_range(0..=gap_s);
        for window in Window::iter() {
            let counted = track.sum(Duration::from_secs(later), window);
            assert_eq!(naive.sum(later, window), counted, "{window} at {later}");
        }
    }
}

#[test]
fn pairs_beyond_the_limit_are_not_counted() {
    let mut book = Book::default();
    let service: id::Service = "dashboard".parse().expect("name");
    for number in 0..=MAX_PAIRS {
        let team = format!("team-{number}").parse().expect("name");
        book.add(Duration::ZERO, &service, &team, Verdict::Good);
    }
    assert_eq!(MAX_PAIRS, book.iter().count());
    let first = "team-0".parse().expect("name");
    book.add(Duration::ZERO, &service, &first, Verdict::Slow);
    let found = book.iter().find(|(_, team, _)| **team == first);
    let counts = found.expect("team").2.sum(Duration::ZERO, Window::Hour);
    assert_eq!((2, 1), (counts.total, counts.slow));
}

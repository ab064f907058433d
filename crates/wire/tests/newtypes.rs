//! Reading and printing of ids, sizes and rates.

use std::time::Duration;

use gentian_wire::id::{Job, Service};
use gentian_wire::outcome::Outcome;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;
use proptest::prelude::*;
use test_case::test_case;

#[test_case("512", 512)]
#[test_case("64KiB", 65_536)]
#[test_case("2MB", 2_000_000)]
#[test_case("1GiB", 1 << 30)]
fn size_reads(text: &str, bytes: u64) {
    assert_eq!(text.parse(), Ok(Bytes(bytes)));
}

#[test_case("" ; "empty")]
#[test_case("12 parsecs" ; "unknown unit")]
#[test_case("99999999999GiB" ; "overflow")]
#[test_case("-1" ; "negative")]
fn size_refuses(text: &str) {
    assert!(text.parse::<Bytes>().is_err());
}

#[test_case("NaN")]
#[test_case("-1")]
#[test_case("fast")]
fn rate_refuses(text: &str) {
    assert!(text.parse::<PerSecond>().is_err());
}

#[test_case("" ; "empty")]
#[test_case("a b" ; "space")]
#[test_case("é" ; "not ascii")]
fn name_refuses(text: &str) {
    assert!(text.parse::<Service>().is_err());
}

#[test]
fn job_key_of_another_version_is_refused() {
    assert!("8a6e0804-2bd0-4672-b79d-d97027f9071a"
        .parse::<Job>()
        .is_err());
}

#[test]
fn only_what_did_not_run_is_retried_where_twice_would_harm() {
    let retried: Vec<Outcome> = [
        Outcome::Done,
        Outcome::Failed,
        Outcome::NotRun,
        Outcome::Unknown,
    ]
    .into_iter()
    .filter(|outcome| outcome.may_retry(false))
    .collect();
    assert_eq!(retried, [Outcome::NotRun]);
}

proptest! {
    #[test]
    fn size_prints_as_it_reads(bytes: u64) {
        prop_assert_eq!(Bytes(bytes).to_string().parse(), Ok(Bytes(bytes)));
    }

    #[test]
    fn job_key_holds_its_creation_time(millis in 0u64..1 << 48, random: [u8; 10]) {
        let job = Job::new(Duration::from_millis(millis), random);
        prop_assert_eq!(job.created(), Duration::from_millis(millis));
        prop_assert_eq!(job.to_string().parse(), Ok(job));
    }
}

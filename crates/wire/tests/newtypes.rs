//! Parsing and printing of ids, sizes and rates, and which outcomes may be retried.

use std::time::Duration;

use gentian_wire::address;
use gentian_wire::id::{Job, Service};
use gentian_wire::outcome::Outcome;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;
use proptest::prelude::*;
use test_case::test_case;

#[test_case("10.0.0.9:8080", true; "address and port")]
#[test_case("[::1]:8080", true; "address of six groups")]
#[test_case("10.0.0.9:0", false; "port 0")]
#[test_case("10.0.0.9:65536", false; "port out of range")]
#[test_case("[fe80::1%7]:80", false; "address with a scope")]
#[test_case("host:80", false; "name")]
fn only_an_address_that_can_be_called_is_valid(text: &str, valid: bool) {
    assert_eq!(address::parse(text).is_some(), valid);
}

#[test_case("512", 512)]
#[test_case("64KiB", 65_536)]
#[test_case("2MB", 2_000_000)]
#[test_case("1GiB", 1 << 30)]
fn size_is_parsed(text: &str, bytes: u64) {
    assert_eq!(text.parse(), Ok(Bytes(bytes)));
}

#[test_case("" ; "empty")]
#[test_case("12 parsecs" ; "unknown unit")]
#[test_case("99999999999GiB" ; "overflow")]
#[test_case("-1" ; "negative")]
fn invalid_size_is_rejected(text: &str) {
    assert!(text.parse::<Bytes>().is_err());
}

#[test_case("NaN")]
#[test_case("-1")]
#[test_case("fast")]
fn invalid_rate_is_rejected(text: &str) {
    assert!(text.parse::<PerSecond>().is_err());
}

#[test_case("" ; "empty")]
#[test_case("a b" ; "space")]
#[test_case("é" ; "not ascii")]
fn invalid_name_is_rejected(text: &str) {
    assert!(text.parse::<Service>().is_err());
}

#[test]
fn job_key_of_another_uuid_version_is_rejected() {
    assert!("8a6e0804-2bd0-4672-b79d-d97027f9071a"
        .parse::<Job>()
        .is_err());
}

#[test]
fn a_task_that_is_not_idempotent_is_retried_only_if_it_did_not_run() {
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
    fn printed_size_parses_to_the_same_size(bytes: u64) {
        prop_assert_eq!(Bytes(bytes).to_string().parse(), Ok(Bytes(bytes)));
    }

    #[test]
    fn job_key_contains_its_creation_time(millis in 0u64..1 << 48, random: [u8; 10]) {
        let job = Job::new(Duration::from_millis(millis), random);
        prop_assert_eq!(job.created(), Duration::from_millis(millis));
        prop_assert_eq!(job.to_string().parse(), Ok(job));
    }
}

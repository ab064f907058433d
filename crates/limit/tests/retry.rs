//! Tests of retries, the retry budget and the response weight.

use std::time::Duration;

use gentian_limit::response_weight::ResponseWeight;
use gentian_limit::retry::{Attempt, Budget};
use gentian_wire::outcome::Outcome;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

fn refused() -> Attempt {
    Attempt {
        outcome: Outcome::NotRun,
        idempotent: false,
        previous_attempts: 0,
        time_left: Duration::from_secs(1),
        expected_run_time: Duration::from_millis(300),
    }
}

#[test_case(Outcome::NotRun, false, true ; "not run")]
#[test_case(Outcome::Unknown, true, true ; "unknown and idempotent")]
#[test_case(Outcome::Unknown, false, false ; "unknown and not idempotent")]
#[test_case(Outcome::Failed, true, false ; "failed")]
#[test_case(Outcome::Done, true, false ; "done")]
fn only_safe_retries_are_allowed(outcome: Outcome, idempotent: bool, retried: bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let attempt = Attempt {
        outcome,
        idempotent,
        ..refused()
    };
    let backoff = attempt.retry_backoff(&mut Budget::new(0.1), &mut rng);
    assert_eq!(backoff.is_some(), retried);
}

#[test]
fn no_retry_when_too_little_time_is_left() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(0.1);
    let attempt = Attempt {
        time_left: Duration::from_millis(299),
        ..refused()
    };
    assert_eq!(attempt.retry_backoff(&mut budget, &mut rng), None);
}

#[test]
fn retries_stay_a_share_of_the_requests() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(0.1);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(refused().retry_backoff(&mut budget, &mut rng).is_some());
    }
    assert!((990..=1021).contains(&retries), "{retries}");
}

#[test]
fn unused_budget_is_capped() {
    let mut budget = Budget::new(0.1);
    (0..1_000_000).for_each(|_| budget.deposit());
    let saved = (0..1000).filter(|_| budget.try_withdraw()).count();
    assert_eq!(saved, 20);
}

#[test]
fn backoffs_grow_and_are_jittered() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut budget = Budget::new(1.0);
    let mut backoff = |previous_attempts| {
        budget.deposit();
        let attempt = Attempt {
            previous_attempts,
            time_left: Duration::from_secs(9),
            ..refused()
        };
        attempt
            .retry_backoff(&mut budget, &mut rng)
            .expect("in the budget")
    };
    assert_eq!(backoff(0), Duration::ZERO);
    assert_ne!(backoff(3), backoff(3));
    for earlier in 1..100 {
        let max_backoff =
            Duration::from_millis(2 << earlier.min(16)).min(Duration::from_millis(250));
        let backoff = backoff(earlier);
        assert!(
            (max_backoff / 2..=max_backoff).contains(&backoff),
            "{backoff:?} after {earlier}"
        );
    }
}

#[test]
fn higher_weight_spends_messages_to_save_time() {
    let weight = |number| ResponseWeight::try_from(number).expect("from 0 to 1");
    let (low, high) = (weight(0.0), weight(1.0));
    assert!(low.min_free_slots() > high.min_free_slots());
    assert!(low.retry_share() < high.retry_share());
    assert_eq!(low.hedge_quantile(), None);
    assert_eq!(ResponseWeight::default().hedge_quantile(), None);
    assert!(high
        .hedge_quantile()
        .is_some_and(|quantile| quantile >= 0.95));
}

#[test_case("1.1" ; "above the range")]
#[test_case("-0.1" ; "negative")]
#[test_case("NaN" ; "not a number")]
fn weights_outside_0_to_1_are_rejected(text: &str) {
    assert!(text.parse::<ResponseWeight>().is_err());
}

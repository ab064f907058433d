//! Shared by the tests: a seeded runner and short ways to name things.

#![allow(dead_code)]

use std::time::Duration;

use gentian_member::member::Member;
use gentian_wire::id::Incarnation;
use proptest::strategy::Strategy;
use proptest::test_runner::{
    Config, RngAlgorithm, TestCaseError, TestCaseResult, TestError, TestRng, TestRunner,
};

/// Runs a property on the same cases in every run.
pub(crate) fn check<S: Strategy>(cases: u32, cause: S, test: impl Fn(S::Value) -> TestCaseResult) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result: Result<(), TestError<S::Value>> =
        TestRunner::new_with_rng(config, rng).run(&cause, test);
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Fails a case where a condition does not hold.
pub(crate) fn ensure(holds: bool, what: impl FnOnce() -> String) -> TestCaseResult {
    if holds {
        Ok(())
    } else {
        Err(TestCaseError::fail(what()))
    }
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a legal name")
}

/// The agent with the given number, which announces `slots` upstream slots.
pub(crate) fn member(number: u8, incarnation: u64, slots: u32) -> Member {
    let upstream = gentian_member::member::Upstream {
        service: name("dashboard"),
        slots,
        connections: 64,
    };
    Member {
        node: name(&format!("agent-{number}")),
        incarnation: Incarnation(incarnation),
        address: ([127, 0, 0, 1], 7_000 + u16::from(number)).into(),
        data_center: name("beauce"),
        rack: name("rack-1"),
        region: name("quebec"),
        upstreams: vec![upstream],
    }
}

//! Test helpers: a deterministic property runner and constructors.

#![allow(dead_code)]

use std::time::Duration;

use gentian_member::member::Member;
use gentian_wire::id::Incarnation;
use proptest::strategy::Strategy;
use proptest::test_runner::{
    Config, RngAlgorithm, TestCaseError, TestCaseResult, TestError, TestRng, TestRunner,
};

/// Checks a property on generated cases, which are the same in every run.
pub(crate) fn check<S: Strategy>(
    cases: u32,
    strategy: S,
    test: impl Fn(S::Value) -> TestCaseResult,
) {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let result: Result<(), TestError<S::Value>> =
        TestRunner::new_with_rng(config, rng).run(&strategy, test);
    if let Err(error) = result {
        panic!("{error}");
    }
}

/// Fails the current case with a message unless a condition holds.
pub(crate) fn ensure(holds: bool, message: impl FnOnce() -> String) -> TestCaseResult {
    if holds {
        Ok(())
    } else {
        Err(TestCaseError::fail(message()))
    }
}

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub(crate) fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("a valid name")
}

/// Returns the agent with the given number, whose upstream has `slots` slots.
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

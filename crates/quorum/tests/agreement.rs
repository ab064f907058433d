//! Random schedules of faults, checked against the reference model.

mod common;

use common::{ops::Op, Simulation};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn op() -> impl Strategy<Value = Op> {
    let instance = 0..7usize;
    prop_oneof![
        6 => (1..700u64).prop_map(Op::Run),
        6 => instance.clone().prop_map(Op::Propose),
        2 => (instance.clone(), 1..1500u64).prop_map(|(at, ms)| Op::Crash(at, ms)),
        2 => (instance.clone(), 1..3000u64).prop_map(|(at, ms)| Op::Freeze(at, ms)),
        1 => (instance.clone(), 1..5000u64).prop_map(|(at, ms)| Op::JumpClock(at, ms)),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(mask, one_way)| Op::Partition(mask, one_way)),
        2 => Just(Op::HealNetwork),
        1 => instance.clone().prop_map(Op::Compact),
        1 => instance.clone().prop_map(Op::LoseDisk),
        1 => Just(Op::Add),
        1 => instance.prop_map(Op::Remove),
    ]
}

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

fn run(voters: usize, cases: u32) {
    let input = (any::<u64>(), 0..3u8, vec(op(), 1..40));
    let outcome = runner(cases, voters as u8).run(&input, |(seed, loss, ops)| {
        let mut simulation = Simulation::initialized(seed, voters);
        simulation.run(2500);
        simulation.loss = f64::from(loss) / 20.0;
        for op in &ops {
            simulation.apply_op(op);
        }
        simulation.assert_agreement();
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

macro_rules! agreement_tests {
    ($($name:ident: $voters:literal voters, $cases:literal cases;)*) => {
        $(#[test]
        fn $name() {
            run($voters, $cases);
        })*
    };
}

agreement_tests! {
    one_voter: 1 voters, 2000 cases;
    two_voters: 2 voters, 2000 cases;
    three_voters: 3 voters, 2000 cases;
    five_voters: 5 voters, 2000 cases;
    seven_voters: 7 voters, 2000 cases;
}

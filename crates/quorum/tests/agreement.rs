//! Random schedules of faults against the plain model.

mod common;

use common::{ops::Op, World};
use proptest::{
    collection::vec,
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn op() -> impl Strategy<Value = Op> {
    let at = 0..7usize;
    prop_oneof![
        6 => (1..700u64).prop_map(Op::Run),
        6 => at.clone().prop_map(Op::Propose),
        2 => (at.clone(), 1..1500u64).prop_map(|(at, ms)| Op::Crash(at, ms)),
        2 => (at.clone(), 1..3000u64).prop_map(|(at, ms)| Op::Freeze(at, ms)),
        1 => (at.clone(), 1..5000u64).prop_map(|(at, ms)| Op::Jump(at, ms)),
        3 => (any::<u8>(), any::<bool>()).prop_map(|(mask, one_way)| Op::Cut(mask, one_way)),
        2 => Just(Op::Heal),
        1 => at.clone().prop_map(Op::Compact),
        1 => at.clone().prop_map(Op::LoseDisk),
        1 => Just(Op::Add),
        1 => at.prop_map(Op::Remove),
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
        let mut world = World::new(seed, voters);
        world.run(2500);
        world.loss = f64::from(loss) / 20.0;
        for op in &ops {
            world.run_op(op);
        }
        world.settle();
        Ok(())
    });
    if let Err(error) = outcome {
        panic!("{error}");
    }
}

macro_rules! agreement {
    ($($name:ident: $voters:literal voters, $cases:literal cases;)*) => {
        $(#[test]
        fn $name() {
            run($voters, $cases);
        })*
    };
}

agreement! {
    one_voter: 1 voters, 2000 cases;
    two_voters: 2 voters, 2000 cases;
    three_voters: 3 voters, 2000 cases;
    five_voters: 5 voters, 2000 cases;
    seven_voters: 7 voters, 2000 cases;
}

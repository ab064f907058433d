//! Members that get little processor time: each stands still again and again.

mod common;

use common::{DriverFault, Simulation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time in which a member runs between two times for which it stands still.
const RUNS_MS: u64 = 30;
/// Time for which a member stands still, longer than a gap that may go unnoticed.
const STANDS_STILL_MS: std::ops::Range<u64> = 150..350;
/// Time within which a leader is elected: some twenty turns of each member.
const ELECTION_MS: u64 = 8_000;

/// Runs for `ms` while each instance stands still most of the time, at times of its own;
/// returns whether the condition held at any time.
fn run_starved(
    simulation: &mut Simulation,
    ms: u64,
    rng: &mut Pcg64Mcg,
    condition: impl Fn(&Simulation) -> bool,
) -> bool {
    let mut next: Vec<u64> = simulation.instances().iter().map(|_| 0).collect();
    for at in (0..ms).step_by(5) {
        for (id, next) in simulation.instances().into_iter().zip(&mut next) {
            if at >= *next {
                let still = rng.random_range(STANDS_STILL_MS);
                simulation.freeze(id, still);
                *next = at + still + RUNS_MS;
            }
        }
        simulation.run(5);
        if condition(simulation) {
            return true;
        }
    }
    false
}

fn elect_while_starved(voters: usize) {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::initialized(seed, voters);
        let elected = run_starved(&mut simulation, ELECTION_MS, &mut rng, |simulation| {
            simulation.leader().is_some()
        });
        assert!(elected, "seed {seed}: no leader within {ELECTION_MS} ms");
        simulation.assert_agreement();
    }
}

/// Members that stand still again and again used to begin to wait anew each time, so that none
/// asked for votes and none gave any.
macro_rules! starved_tests {
    ($($name:ident: $voters:literal voters;)*) => {
        $(#[test]
        fn $name() {
            elect_while_starved($voters);
        })*
    };
}

starved_tests! {
    a_starved_sole_voter_leads: 1 voters;
    three_starved_voters_elect_a_leader: 3 voters;
    five_starved_voters_elect_a_leader: 5 voters;
}

/// However often members stand still, no two hold a lease.
#[test]
fn starved_members_that_are_cut_off_hold_no_two_leases() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::with_leader(seed, 3, DriverFault::None);
        for _ in 0..10 {
            let cut_off = simulation.leader().into_iter().collect::<Vec<_>>();
            simulation.cut_off(&cut_off);
            run_starved(&mut simulation, 1_500, &mut rng, |_| false);
        }
        simulation.assert_agreement();
    }
}

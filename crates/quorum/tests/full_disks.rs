//! Disks that are full for a few seconds each, one after another.

mod common;

use common::{DriverFault, Simulation};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Time within which a cluster commits again once all its disks have room: the store is opened
/// after 2 s at the latest, and a leader is elected.
const RECOVERY_MS: u64 = 6_000;
const SEEDS: u64 = 20;

/// What else happens while the disks are full in turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Beside {
    Nothing,
    LeaderCrashes,
    DiskIsLost,
    Compaction,
    MembersChange,
}

/// Runs for `ms`, with a proposal each 100 ms.
fn run_with_proposals(simulation: &mut Simulation, ms: u64) {
    for _ in 0..ms / 100 {
        simulation.propose(0);
        simulation.run(100);
    }
}

fn disturb(simulation: &mut Simulation, beside: Beside, rng: &mut Pcg64Mcg) {
    let instances = simulation.instances();
    let any = instances[rng.random_range(0..instances.len())];
    match beside {
        Beside::Nothing => {}
        Beside::LeaderCrashes => {
            if let Some(leader) = simulation.leader() {
                simulation.crash(leader, rng.random_range(50..1_500));
            }
        }
        Beside::DiskIsLost => simulation.lose_disk(any),
        Beside::Compaction => {
            for at in 0..instances.len() {
                simulation.apply_op(&common::ops::Op::Compact(at));
            }
        }
        Beside::MembersChange => drop(simulation.add()),
    }
}

fn fill_disks_in_turn(voters: usize, beside: Beside, fault: DriverFault) {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut simulation = Simulation::with_leader(seed, voters, fault);
        // The leader's disk is the first one for every second seed.
        let mut turn = simulation.instances();
        let first = simulation.leader().filter(|_| seed % 2 == 0);
        turn.sort_by_key(|id| Some(*id) != first);
        for id in turn {
            if !simulation.instances().contains(&id) {
                continue;
            }
            let full_ms = rng.random_range(1_000..4_000);
            simulation.fill_disk(id, full_ms);
            let before = rng.random_range(0..full_ms);
            run_with_proposals(&mut simulation, before);
            disturb(&mut simulation, beside, &mut rng);
            run_with_proposals(&mut simulation, full_ms - before + 100);
        }
        let committed = simulation.committed();
        run_with_proposals(&mut simulation, RECOVERY_MS);
        assert!(
            simulation.committed() > committed,
            "seed {seed}: nothing is committed within {RECOVERY_MS} ms"
        );
        simulation.assert_agreement();
    }
}

macro_rules! full_disk_tests {
    ($($name:ident: $voters:literal voters, $beside:ident;)*) => {
        $(#[test]
        fn $name() {
            fill_disks_in_turn($voters, Beside::$beside, DriverFault::None);
        })*
    };
}

full_disk_tests! {
    a_sole_voter_commits_again_after_its_disk_was_full: 1 voters, Nothing;
    three_commit_again_after_each_disk_was_full: 3 voters, Nothing;
    five_commit_again_after_each_disk_was_full: 5 voters, Nothing;
    three_commit_again_though_leaders_crashed_meanwhile: 3 voters, LeaderCrashes;
    five_commit_again_though_leaders_crashed_meanwhile: 5 voters, LeaderCrashes;
    three_commit_again_though_a_disk_was_lost_meanwhile: 3 voters, DiskIsLost;
    five_commit_again_though_a_disk_was_lost_meanwhile: 5 voters, DiskIsLost;
    three_commit_again_though_the_log_was_compacted_meanwhile: 3 voters, Compaction;
    three_commit_again_though_members_changed_meanwhile: 3 voters, MembersChange;
    five_commit_again_though_members_changed_meanwhile: 5 voters, MembersChange;
}

#[test]
#[should_panic(expected = "nothing is committed")]
fn a_store_that_stays_closed_is_detected() {
    fill_disks_in_turn(3, Beside::Nothing, DriverFault::StaysHalted);
}

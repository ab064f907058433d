//! Named schedules, each with a naive variant that the checks must find.

mod common;

use common::{Fault, World};

/// Commits one entry on all of three members and crashes them before their disks are slow to sync.
///
/// Whether a sync is under way at that moment depends on the seed, so there are several.
fn crash_everywhere(fault: Fault) {
    (1..=10).for_each(|seed| crash_once(seed, fault));
}

fn crash_once(seed: u64, fault: Fault) {
    let mut world = World::started(seed, 3, fault);
    let committed = world.committed();
    world.propose(0);
    world.run(40);
    assert!(
        world.committed() > committed,
        "the entry isn't committed yet"
    );
    world.crash_all(50);
    world.run(4000);
    world.settle();
}

#[test]
fn an_entry_is_synced_before_it_is_committed() {
    crash_everywhere(Fault::None);
}

#[test]
#[should_panic(expected = "lost")]
fn an_early_sync_is_found() {
    crash_everywhere(Fault::EarlySync);
}

/// Commits an entry on two of three members; one of them loses its disk while the other is cut off.
fn lose_one_of_two_holders(fault: Fault) {
    let mut world = World::started(2, 3, fault);
    let leader = world.leader().unwrap();
    let [holder, outsider] = world.followers();
    world.cut(&[outsider]);
    world.propose(0);
    world.run(100);
    world.cut(&[leader]);
    world.lose(holder);
    world.run(6000);
    world.settle();
}

#[test]
fn a_lost_disk_has_no_vote() {
    lose_one_of_two_holders(Fault::None);
}

#[test]
#[should_panic(expected = "lost")]
fn a_reused_id_is_found() {
    lose_one_of_two_holders(Fault::SameId);
}

#[test]
fn a_second_disk_is_lost_right_after_the_repair() {
    let mut world = World::started(3, 3, Fault::None);
    for _ in 0..5 {
        world.propose(0);
        world.run(200);
        let [first, second] = world.followers();
        world.lose(first);
        world.run_until(20_000, World::is_repaired);
        world.lose(second);
        world.run_until(20_000, World::is_repaired);
    }
    world.settle();
}

#[test]
fn an_empty_folder_founds_no_cluster() {
    let mut world = World::empty(4, 3);
    world.run(20_000);
    assert_eq!(world.leader(), None);
    assert_eq!(world.committed(), 0);
}

#[test]
fn a_frozen_leader_loses_its_lease_before_another_leads() {
    let mut world = World::started(5, 3, Fault::None);
    let old = world.leader().unwrap();
    world.freeze(old, 10_000);
    world.run_until(5_000, |world| world.leader().is_some_and(|new| new != old));
    world.propose(1);
    world.run(15_000);
    world.settle();
}

#[test]
fn a_member_that_was_cut_off_does_not_unseat_the_leader() {
    let mut world = World::started(6, 3, Fault::None);
    let leader = world.leader();
    let [_, outsider] = world.followers();
    let term = world.term();
    world.cut(&[outsider]);
    world.run(20_000);
    world.cut(&[]);
    world.run(5_000);
    assert_eq!((world.leader(), world.term()), (leader, term));
}

/// An entry of an earlier term reaches a majority, whose members then elect a leader without it.
#[test]
fn an_entry_of_an_earlier_term_is_not_committed_by_counting() {
    let mut world = World::started(10, 5, Fault::None);
    let first = world.leader().unwrap();
    let [second, third, fourth, fifth] = world.followers();
    world.cut(&[first, second]);
    world.propose(0);
    world.run(60);
    world.crash(first, 10_000);
    world.cut(&[first, second]);
    let rest = [third, fourth, fifth];
    world.run_until(8_000, |world| rest.iter().any(|id| world.leads(*id)));
    let rival = *rest.iter().find(|id| world.leads(**id)).unwrap();
    world.cut_at_once(&[rival]);
    world.run(40);
    world.crash(rival, 20_000);
    world.only_earlier_terms = true;
    world.run(10_000);
    world.crash(first, 60_000);
    world.crash(second, 60_000);
    world.cut(&[]);
    world.run(30_000);
    world.only_earlier_terms = false;
    world.run(60_000);
    world.settle();
}

/// Two leaders, one after the other, remove one another from sets whose majorities don't meet.
#[test]
fn a_new_leader_changes_no_members_before_it_has_committed() {
    for seed in 0..20 {
        let mut world = World::started(seed, 4, Fault::None);
        let first = world.leader().unwrap();
        let [a, b, c] = world.followers();
        world.cut_at_once(&[first]);
        assert!(world.remove_at(first, a));
        world.run_until(9_000, |world| [a, b, c].iter().any(|id| world.leads(*id)));
        let second = *[a, b, c].iter().find(|id| world.leads(**id)).unwrap();
        let third = if second == b { c } else { b };
        world.cut_at_once(&[first, third]);
        world.remove_at(second, first);
        world.run(3_000);
        world.propose(0);
        world.run(9_000);
        world.propose(0);
        world.run(1_000);
        world.settle();
    }
}

#[test]
fn a_learner_that_is_behind_has_no_vote() {
    let mut world = World::started(8, 3, Fault::None);
    let [follower, _] = world.followers();
    let learner = world.add().unwrap();
    world.cut(&[learner]);
    world.run(2_000);
    world.crash(follower, 60_000);
    world.run(500);
    let committed = world.committed();
    world.propose(0);
    world.run(500);
    assert!(
        world.committed() > committed,
        "the learner's absence counts"
    );
}

/// A follower answers the leader, restarts at once and is asked for its vote.
#[test]
fn a_restarted_member_keeps_to_the_leader_it_has_forgotten() {
    for seed in 0..60 {
        let mut world = World::started(seed, 3, Fault::None);
        let leader = world.leader().unwrap();
        let [restarted, outsider] = world.followers();
        world.cut(&[outsider]);
        world.run(3_000);
        world.crash(restarted, 5);
        world.run(1);
        world.cut(&[leader]);
        world.run(3_000);
        world.settle();
    }
}

#[test]
fn a_leader_that_is_cut_off_steps_down() {
    let mut world = World::started(9, 3, Fault::None);
    let leader = world.leader().unwrap();
    world.cut(&[leader]);
    world.run(1_500);
    assert!(!world.leads(leader));
}

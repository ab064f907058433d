//! Which change of the members the automatic repair chooses.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_quorum::id::{Command, Member};
use gentian_quorum::members::{Change, Members, Peer};
use gentian_quorum::repair::{MembershipRepair, SILENCE_TIMEOUT};

const NOW: Duration = Duration::from_secs(100);

fn id(number: u64) -> Member {
    Member::new(number).expect("not zero")
}

fn address(number: u64) -> String {
    format!("10.0.0.{number}:7000")
}

fn members(numbers: &[u64]) -> Members {
    let peers = numbers.iter().map(|n| Peer::voter(id(*n), address(*n)));
    Members::initial(peers.collect()).expect("different members")
}

fn heard(numbers: &[u64]) -> BTreeMap<Member, Duration> {
    numbers.iter().map(|n| (id(*n), NOW)).collect()
}

/// The repair of a leader that has led for a long time.
fn long_term_leader(tolerated: usize) -> MembershipRepair {
    let mut repair = MembershipRepair::new(tolerated);
    repair.started_leading(Duration::ZERO);
    repair
}

#[test]
fn a_complete_cluster_is_not_changed() {
    let mut repair = long_term_leader(1);
    repair.join_requested(id(9), address(9), NOW);
    assert_eq!(
        None,
        repair.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW)
    );
}

#[test]
fn a_cluster_grows_until_it_tolerates_enough_losses() {
    let mut repair = long_term_leader(2);
    repair.join_requested(id(9), address(9), NOW);
    let next = repair.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW);
    let (id, address) = (id(9), address(9));
    assert_eq!(Some(Change::Add { id, address }), next);
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_by_the_instance_at_its_address() {
    let mut repair = long_term_leader(1);
    repair.join_requested(id(9), address(2), NOW);
    let next = repair.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW);
    let change = Change::Replace {
        old: id(2),
        id: id(9),
        address: address(2),
    };
    assert_eq!(Some(change), next);
}

#[test]
fn a_silent_member_is_replaced_if_another_instance_asks_to_join() {
    let mut repair = long_term_leader(1);
    let members = members(&[1, 2, 3]);
    assert_eq!(None, repair.next_change(&members, id(1), &heard(&[2]), NOW));
    repair.join_requested(id(9), address(9), NOW);
    let change = Change::Replace {
        old: id(3),
        id: id(9),
        address: address(9),
    };
    assert_eq!(
        Some(change),
        repair.next_change(&members, id(1), &heard(&[2]), NOW)
    );
}

#[test]
fn a_new_leader_waits_before_it_replaces_silent_members() {
    let mut repair = long_term_leader(1);
    repair.started_leading(NOW);
    repair.join_requested(id(9), address(9), NOW);
    let members = members(&[1, 2, 3]);
    assert_eq!(
        None,
        repair.next_change(&members, id(1), &BTreeMap::new(), NOW + SILENCE_TIMEOUT / 2)
    );
}

/// Voters 1 to 3, and a learner 8 that is to become one.
fn with_learner() -> Members {
    let add = Change::Add {
        id: id(8),
        address: address(8),
    };
    let command = Command::new(1).expect("not zero");
    let members = members(&[1, 2, 3]).with_change(command, &add);
    members.expect("a new member")
}

#[test]
fn only_one_change_is_made_at_a_time() {
    let mut repair = long_term_leader(2);
    repair.join_requested(id(8), address(8), NOW);
    repair.join_requested(id(9), address(9), NOW);
    let members = with_learner();
    assert_eq!(
        None,
        repair.next_change(&members, id(1), &heard(&[2, 3, 8]), NOW)
    );
}

#[test]
fn a_silent_learner_is_removed() {
    let repair = long_term_leader(2);
    let members = with_learner();
    let next = repair.next_change(&members, id(1), &heard(&[2, 3]), NOW);
    assert_eq!(Some(Change::Remove { id: id(8) }), next);
}

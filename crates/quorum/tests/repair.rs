//! Which change heals a cluster that nobody operates.

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

/// A healer of a leader that has led for long.
fn healer(tolerated: usize) -> MembershipRepair {
    let mut healer = MembershipRepair::new(tolerated);
    healer.started_leading(Duration::ZERO);
    healer
}

#[test]
fn a_whole_cluster_stays_as_it_is() {
    let mut healer = healer(1);
    healer.join_requested(id(9), address(9), NOW);
    assert_eq!(
        None,
        healer.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW)
    );
}

#[test]
fn a_cluster_grows_until_it_bears_enough_losses() {
    let mut healer = healer(2);
    healer.join_requested(id(9), address(9), NOW);
    let due = healer.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW);
    let (id, address) = (id(9), address(9));
    assert_eq!(Some(Change::Add { id, address }), due);
}

#[test]
fn a_member_that_lost_its_disk_is_replaced_by_itself() {
    let mut healer = healer(1);
    healer.join_requested(id(9), address(2), NOW);
    let due = healer.next_change(&members(&[1, 2, 3]), id(1), &heard(&[2, 3]), NOW);
    let change = Change::Replace {
        old: id(2),
        id: id(9),
        address: address(2),
    };
    assert_eq!(Some(change), due);
}

#[test]
fn a_silent_member_is_replaced_where_another_instance_asks() {
    let mut healer = healer(1);
    let members = members(&[1, 2, 3]);
    assert_eq!(None, healer.next_change(&members, id(1), &heard(&[2]), NOW));
    healer.join_requested(id(9), address(9), NOW);
    let change = Change::Replace {
        old: id(3),
        id: id(9),
        address: address(9),
    };
    assert_eq!(
        Some(change),
        healer.next_change(&members, id(1), &heard(&[2]), NOW)
    );
}

#[test]
fn a_new_leader_gives_everyone_time_to_be_heard() {
    let mut healer = healer(1);
    healer.started_leading(NOW);
    healer.join_requested(id(9), address(9), NOW);
    let members = members(&[1, 2, 3]);
    assert_eq!(
        None,
        healer.next_change(&members, id(1), &BTreeMap::new(), NOW + SILENCE_TIMEOUT / 2)
    );
}

/// Three voters and an eighth that is to become one.
fn adding() -> Members {
    let add = Change::Add {
        id: id(8),
        address: address(8),
    };
    let command = Command::new(1).expect("not zero");
    let members = members(&[1, 2, 3]).with_change(command, &add);
    members.expect("a new member")
}

#[test]
fn one_change_goes_at_a_time() {
    let mut healer = healer(2);
    healer.join_requested(id(8), address(8), NOW);
    healer.join_requested(id(9), address(9), NOW);
    let members = adding();
    assert_eq!(
        None,
        healer.next_change(&members, id(1), &heard(&[2, 3, 8]), NOW)
    );
}

#[test]
fn a_learner_that_is_gone_does_not_block_the_next() {
    let healer = healer(2);
    let members = adding();
    let due = healer.next_change(&members, id(1), &heard(&[2, 3]), NOW);
    assert_eq!(Some(Change::Remove { id: id(8) }), due);
}

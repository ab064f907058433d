//! Reading of the list of agents that control sends to entries.

mod common;

use common::member;
use gentian_member::member::{read_list, Error};
use gentian_wire::control;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn message(number: u8) -> control::Member {
    control::Member::from(&member(number, 1, 8))
}

/// Asserts that a changed entry is left out of a list, and the others are not.
fn assert_left_out(change: fn(&mut control::Member)) {
    let mut odd = message(2);
    change(&mut odd);
    let (members, errors) = read_list(&[message(1), odd, message(3)]);
    assert_eq!(vec![member(1, 1, 8), member(3, 1, 8)], members);
    assert_eq!(1, errors.len(), "{errors:?}");
}

fn node(member: &mut control::Member) -> &mut control::Node {
    member.node.as_mut().expect("a node")
}

macro_rules! odd_agents {
    ($($name:ident: $change:expr;)*) => {
        mod an_odd_agent_is_left_out_alone {
            use super::*;
            $(#[test]
            fn $name() {
                assert_left_out($change);
            })*
        }
    };
}

odd_agents! {
    no_node: |member| member.node = None;
    empty_name: |member| node(member).name.clear();
    name_with_a_nul: |member| node(member).name.push('\0');
    huge_name: |member| node(member).name = "x".repeat(2 << 20);
    no_address: |member| node(member).address.clear();
    port_out_of_range: |member| node(member).address = "10.0.0.1:65536".to_owned();
    port_0: |member| node(member).address = "10.0.0.1:0".to_owned();
    address_with_a_scope: |member| node(member).address = "[fe80::1%7]:80".to_owned();
    invalid_data_center: |member| node(member).data_center = "a b".to_owned();
    invalid_service_of_an_upstream: |member| member.upstreams[0].service = "a/b".to_owned();
}

#[test]
fn numbers_at_their_limits_are_read() {
    let mut odd = message(2);
    node(&mut odd).incarnation = u64::MAX;
    (odd.upstreams[0].slots, odd.upstreams[0].connections) = (u32::MAX, u32::MAX);
    let (_, errors) = read_list(&[odd]);
    assert_eq!(Vec::<Error>::new(), errors);
}

/// Whatever bytes stand in the place of an entry, reading it causes no panic, and its
/// neighbours are read.
#[test]
fn damaged_agents_leave_their_neighbours_readable() {
    let mut rng = Pcg64Mcg::seed_from_u64(35);
    let valid = prost::Message::encode_to_vec(&message(2));
    for _ in 0..20_000 {
        let mut bytes = valid.clone();
        for _ in 0..rng.random_range(1..6) {
            let at = rng.random_range(0..bytes.len());
            bytes[at] = rng.random();
        }
        let Ok(odd) = <control::Member as prost::Message>::decode(&*bytes) else {
            continue;
        };
        let (members, _) = read_list(&[message(1), odd, message(3)]);
        assert!(members.contains(&member(1, 1, 8)) && members.contains(&member(3, 1, 8)));
    }
}

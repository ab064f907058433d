//! When a leader holds a lease.

use std::time::Duration;

use gentian_quorum::id::Member;
use gentian_quorum::members::Peer;
use gentian_quorum::replica::{Role, Settings};
use gentian_quorum::store::StoredState;
use gentian_quorum::{Action, Replica};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Syncs all writes at `now`.
fn sync(replica: &mut Replica<Pcg64Mcg>, now: Duration) {
    for action in replica.take_actions() {
        if let Action::Write(write) = action {
            replica.synced(now, write.number);
        }
    }
}

/// Guards against a leader that answers from a state machine that has yet to apply what other
/// leaders acknowledged: reads would go back to an older version.
#[test]
fn a_leader_has_no_lease_before_its_state_machine_has_applied_its_first_entry() {
    let id = Member::new(1).expect("not zero");
    let mut now = Duration::from_secs(100);
    let state = StoredState::empty(id);
    let rng = Pcg64Mcg::seed_from_u64(1);
    let mut replica = Replica::new(Settings::default(), state, rng, now);
    let peers = vec![Peer::voter(id, id.to_string())];
    replica.init(now, peers).expect("a new cluster");
    for _ in 0..20 {
        sync(&mut replica, now);
        now += Duration::from_millis(50);
        replica.tick(now);
    }
    assert_eq!(replica.role(), Role::Leader);
    let first = replica.applied_index();
    assert!(first > 0);
    assert!(replica.lease_until(first).is_some_and(|until| until > now));
    assert_eq!(replica.lease_until(first - 1), None);
}

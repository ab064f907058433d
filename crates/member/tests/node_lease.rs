//! Model-based test of a node's lease when messages are lost, delayed, reordered
//! or duplicated, and the node restarts or freezes.

mod common;

use std::time::Duration;

use common::{check, ensure, ms};
use gentian_member::node_lease::{Grant, Lease};
use gentian_wire::id::{Version, View};
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, during which the node may be frozen.
    Pass(u64),
    /// A new version (`true`) or a new view (`false`) is accepted.
    Accept(bool),
    /// A renewal, with the delay of the request and of each copy of the reply.
    Renew(u64, Vec<u64>),
    Restart,
}

fn step() -> impl Strategy<Value = Step> {
    let delay = || prop_oneof![3 => 0u64..50, 1 => 0u64..6_000];
    prop_oneof![
        4 => (0u64..1_500).prop_map(Step::Pass),
        1 => (0u64..20_000).prop_map(Step::Pass),
        3 => any::<bool>().prop_map(Step::Accept),
        6 => (delay(), proptest::collection::vec(delay(), 0..3))
            .prop_map(|(request, replies)| Step::Renew(request, replies)),
        1 => Just(Step::Restart),
    ]
}

/// What was accepted at which time, and the messages in transit.
#[derive(Default)]
struct World {
    now: u64,
    accepted: Vec<(u64, Version, View)>,
    /// Arrival and sending time of each request, and the delays of its replies.
    requests: Vec<(u64, u64, Vec<u64>)>,
    /// Arrival time and content of each reply.
    replies: Vec<(u64, Grant)>,
}

impl World {
    fn latest(&self, at: u64) -> (Version, View) {
        let not_later = |entry: &&(u64, Version, View)| entry.0 <= at;
        let last = self.accepted.iter().rev().find(not_later);
        last.map_or((Version(0), View(0)), |(_, version, view)| {
            (*version, *view)
        })
    }

    /// Answers the requests that have arrived, with what was in force at their
    /// arrival.
    fn answer_requests(&mut self) {
        let now = self.now;
        let arrived = self.requests.extract_if(.., |r| r.0 <= now);
        let arrived: Vec<_> = arrived.collect();
        for (at, sent, delays) in arrived {
            let (version, view) = self.latest(at);
            let grant = Grant {
                sent: ms(sent),
                lease: LEASE,
                version,
                view,
            };
            self.replies
                .extend(delays.iter().map(|delay| (at + delay, grant)));
        }
    }

    fn deliver_replies(&mut self, lease: &mut Lease) {
        let now = self.now;
        self.replies.sort_by_key(|reply| reply.0);
        for (_, grant) in self.replies.extract_if(.., |reply| reply.0 <= now) {
            let _ = lease.accept(grant);
        }
    }
}

#[test]
fn what_is_in_force_never_reverts_and_is_at_most_one_lease_old() {
    let steps = proptest::collection::vec(step(), 1..80);
    check(2_000, steps, |steps| {
        let mut world = World::default();
        let mut lease = Lease::default();
        let mut highest = (Version(0), View(0));
        for step in steps {
            match step {
                Step::Pass(millis) => world.now += millis,
                Step::Accept(is_version) => {
                    let (Version(version), View(view)) = world.latest(world.now);
                    let (version, view) = if is_version {
                        (version + 1, view)
                    } else {
                        (version, view + 1)
                    };
                    let next = (world.now, Version(version), View(view));
                    world.accepted.push(next);
                }
                Step::Renew(delay, replies) => {
                    let request = (world.now + delay, world.now, replies);
                    world.requests.push(request);
                }
                Step::Restart => {
                    lease = Lease::default();
                    world.replies.clear();
                    world.requests.clear();
                    ensure(lease.in_force(ms(world.now)).is_none(), || {
                        "in force after a restart".to_owned()
                    })?;
                }
            }
            world.answer_requests();
            let Some(held) = lease.in_force(ms(world.now)) else {
                world.deliver_replies(&mut lease);
                continue;
            };
            let required = world
                .now
                .checked_sub(4_000)
                .map_or((Version(0), View(0)), |at| world.latest(at));
            ensure(held.0 >= required.0 && held.1 >= required.1, || {
                format!("{held:?} in force, {required:?} accepted a lease ago")
            })?;
            ensure(held.0 >= highest.0 && held.1 >= highest.1, || {
                format!("{held:?} after {highest:?}")
            })?;
            highest = held;
            world.deliver_replies(&mut lease);
        }
        Ok(())
    });
}

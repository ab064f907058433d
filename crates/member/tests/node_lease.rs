//! A node's lease under loss, delay, reordering, duplication, restart and freeze.

mod common;

use std::time::Duration;

use common::{check, ensure, ms};
use gentian_member::node_lease::{Grant, Lease};
use gentian_wire::id::{Version, View};
use proptest::prelude::*;

const LEASE: Duration = Duration::from_secs(4);

#[derive(Clone, Debug)]
enum Step {
    /// Time passes, also for a frozen node.
    Pass(u64),
    /// A version, or else a view, is accepted.
    Accept(bool),
    /// A renewal with the delays of the request and of each copy of the reply.
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

/// What was accepted when, and what is on its way to the node.
#[derive(Default)]
struct World {
    now: u64,
    accepted: Vec<(u64, Version, View)>,
    requests: Vec<(u64, u64, Vec<u64>)>,
    replies: Vec<(u64, Grant)>,
}

impl World {
    fn latest(&self, at: u64) -> (Version, View) {
        let before = |entry: &&(u64, Version, View)| entry.0 <= at;
        let last = self.accepted.iter().rev().find(before);
        last.map_or((Version(0), View(0)), |(_, version, view)| {
            (*version, *view)
        })
    }

    /// The leader reads what is in force when a request arrives.
    fn answer(&mut self) {
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

    fn deliver(&mut self, hold: &mut Lease) {
        let now = self.now;
        self.replies.sort_by_key(|reply| reply.0);
        for (_, grant) in self.replies.extract_if(.., |reply| reply.0 <= now) {
            let _ = hold.accept(grant);
        }
    }
}

#[test]
fn in_force_never_reverts_and_ends_a_lease_after_something_newer() {
    let steps = proptest::collection::vec(step(), 1..80);
    check(2_000, steps, |steps| {
        let mut world = World::default();
        let mut hold = Lease::default();
        let mut highest = (Version(0), View(0));
        for step in steps {
            match step {
                Step::Pass(millis) => world.now += millis,
                Step::Accept(configuration) => {
                    let (Version(version), View(view)) = world.latest(world.now);
                    let (version, view) = if configuration {
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
                    hold = Lease::default();
                    world.replies.clear();
                    world.requests.clear();
                    ensure(hold.in_force(ms(world.now)).is_none(), || {
                        "in force after a restart".to_owned()
                    })?;
                }
            }
            world.answer();
            let Some(held) = hold.in_force(ms(world.now)) else {
                world.deliver(&mut hold);
                continue;
            };
            let due = world
                .now
                .checked_sub(4_000)
                .map_or((Version(0), View(0)), |at| world.latest(at));
            ensure(held.0 >= due.0 && held.1 >= due.1, || {
                format!("{held:?} in force, {due:?} accepted a lease ago")
            })?;
            ensure(held.0 >= highest.0 && held.1 >= highest.1, || {
                format!("{held:?} after {highest:?}")
            })?;
            highest = held;
            world.deliver(&mut hold);
        }
        Ok(())
    });
}

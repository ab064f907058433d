//! What the choice of upstreams and the entries' queues make of a load.
//!
//! Embeds the view, the choice, the ejection, the queue and the retry budget in
//! entries under virtual time, and prints the response ratio, the wasted messages
//! and the goodput for several loads, policies and faults. `room` is the number of
//! tasks that may wait at an agent:
//!
//!     cargo run --release -p gentian --example load

mod world;

use std::time::Duration;

use gentian::route::choice::{Choice, Known, Random, TwoRandom};

use world::{Fault, Plan, Result, World};

const SEEDS: u64 = 5;

fn main() {
    println!("load  case                    p50    p99    p99.9   wasted  goodput refused failed");
    for load in [0.5, 0.7, 0.9, 1.2] {
        policies(plan(load));
    }
    for fault in [Fault::Fails, Fault::Slow, Fault::Refuses] {
        for room in [0, 1] {
            let name = format!("room {room}, {fault:?}");
            show(
                &name,
                Plan {
                    fault,
                    room,
                    ..plan(0.7)
                },
                Known,
            );
        }
    }
}

/// Under overload a shorter deadline, so that the queue is full for most of the
/// run, and no task that alone takes longer.
fn plan(load: f64) -> Plan {
    let usual = Plan {
        load,
        ..Plan::default()
    };
    match load > 1.0 {
        false => usual,
        true => Plan {
            deadline: Duration::from_secs(2),
            long: 0.0,
            ..usual
        },
    }
}

fn policies(plan: Plan) {
    show("one entry knows all", Plan { entries: 1, ..plan }, Known);
    for room in [0, 1, 2] {
        show(&format!("room {room}, known"), Plan { room, ..plan }, Known);
    }
    show("room 1, two random", Plan { room: 1, ..plan }, TwoRandom);
    show("room 1, random", Plan { room: 1, ..plan }, Random);
}

fn show(name: &str, plan: Plan, policy: impl Choice + Copy) {
    let mut all = Result::default();
    for seed in 1..=SEEDS {
        all.add(World::run(Plan { seed, ..plan }, policy));
    }
    let offered = all.offered as f64;
    println!(
        "{:4}  {name:20} {:7.3} {:7.3} {:7.3}  {:.4}  {:.3}  {:.4}  {:.4}",
        plan.load,
        all.ratio(0.5),
        all.ratio(0.99),
        all.ratio(0.999),
        all.wasted_per_good(),
        all.goodput(&plan),
        all.refused as f64 / offered,
        all.failed as f64 / offered,
    );
}

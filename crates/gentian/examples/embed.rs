//! Embeds the entry's view, upstream selection and request queue and an agent's
//! gate in a program: it dispatches six requests to two upstreams with two slots
//! each.
//!
//!     cargo run -p gentian --example embed

use std::time::Duration;

use gentian::claim::gate::{ByteSize, Gate};
use gentian::claim::key_window::KeyWindow;
use gentian::limit::queue::{Entry, Flow, Queue};
use gentian::route::policy::{MostFreeSlots, Policy};
use gentian::route::view::{Load, LoadView, Member};
use gentian::wire::agent;
use gentian::wire::id::{Incarnation, Job};
use gentian::wire::outcome::Outcome;
use gentian::wire::size::Bytes;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const START: Duration = Duration::from_secs(1_800_000_000);
const RUN: Duration = Duration::from_millis(100);
const UPSTREAMS: [&str; 2] = ["stall-1", "stall-2"];

#[derive(Clone)]
struct Answer;

impl ByteSize for Answer {
    fn byte_size(&self) -> Bytes {
        Bytes(1)
    }
}

fn main() {
    let name = "beauce".parse().expect("a valid name");
    let mut view = LoadView::new(&"entry-1".parse().expect("a valid name"), name);
    let mut now = Duration::ZERO;
    for upstream in UPSTREAMS {
        view.upsert(member(upstream), now);
    }
    let mut gate = Gate::<Answer>::new(KeyWindow::new(START - RUN * 1000), Bytes(1 << 20));
    gate.advance(START);
    let mut queue = Queue::new(100);
    for number in 0..6 {
        let pushed = queue.push(request(number), now);
        assert!(pushed.is_ok(), "the queue has room");
    }
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    while !queue.is_empty() {
        let mut placed = Vec::new();
        loop {
            let mut chosen = None;
            let popped = queue.pop(now, |_| {
                chosen = MostFreeSlots.choose(&mut view, &[], now, &mut rng);
                chosen.is_some()
            });
            let (Some(entry), Some(index)) = (popped, chosen) else {
                break;
            };
            view.record_start(index, now);
            placed.push((entry.item, index));
        }
        println!("at {now:?}: {} started, {} wait", placed.len(), queue.len());
        for (job, index) in placed {
            let task = job.task(0);
            assert!(gate.start_single(task, Default::default()).is_ok());
            assert!(gate.start_single(task, Default::default()).is_err());
            gate.finish_single(task, Outcome::Done);
            view.record_end(index, Some(Load::new(Incarnation(1), &idle())), now + RUN);
        }
        now += RUN;
    }
}

fn member(name: &str) -> Member {
    Member {
        node: name.parse().expect("a valid name"),
        incarnation: Incarnation(1),
        data_center: "beauce".parse().expect("a valid name"),
        slots: 2,
        connections: 64,
        leaving: false,
        allowed: true,
    }
}

fn request(number: u8) -> Entry<Job> {
    Entry {
        team: "barn".parse().expect("a valid name"),
        flow: Flow::Single,
        deadline: Duration::from_secs(2),
        expected_run_time: RUN,
        item: Job::new(START, [number; 10]),
    }
}

fn idle() -> agent::Load {
    agent::Load {
        slots: 2,
        ..agent::Load::default()
    }
}

//! Time of one decision for several numbers of upstreams: choosing an upstream,
//! recording the start of a request, and recording the end of another with its load.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion};
use gentian_route::policy::{MostFreeSlots, Policy, PowerOfTwoChoices, Random};
use gentian_route::view::{Index, Load, LoadView, Member};
use gentian_wire::id::{Incarnation, Node};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SLOTS: u32 = 8;

/// An entry whose view is at about 70 % load, a third of it the entry's own.
struct Entry {
    view: LoadView,
    running: Vec<Index>,
    now: Duration,
    step: Duration,
    rng: Pcg64Mcg,
}

impl Entry {
    fn new(upstreams: u32) -> Entry {
        let mut view = LoadView::new(&name("entry", 0), "dc-0".parse().expect("a valid name"));
        for at in 0..upstreams {
            view.upsert(member(at), Duration::ZERO);
        }
        // A third of 70 % of the slots, at a mean run time of 0.3 s.
        let per_second = f64::from(upstreams * SLOTS) * 0.7 / 0.3 / 3.0;
        let mut entry = Entry {
            view,
            running: Vec::new(),
            now: Duration::ZERO,
            step: Duration::from_secs_f64(1.0 / per_second),
            rng: Pcg64Mcg::seed_from_u64(1),
        };
        for _ in 0..upstreams * 2 {
            entry.start(&MostFreeSlots);
        }
        entry
    }

    fn start(&mut self, policy: &impl Policy) {
        let chosen = policy.choose(&mut self.view, &[], self.now, &mut self.rng);
        if let Some(index) = black_box(chosen) {
            self.view.record_start(index, self.now);
            self.running.push(index);
        }
    }

    fn end(&mut self) {
        let position = self.rng.random_range(0..self.running.len());
        let index = self.running.swap_remove(position);
        let load = Load {
            incarnation: Incarnation(1),
            slots: SLOTS,
            busy: self.rng.random_range(2..7),
            waiting: 0,
            leaving: false,
        };
        self.view.record_end(index, Some(load), self.now);
    }

    fn decide(&mut self, policy: &impl Policy) {
        self.now += self.step;
        self.start(policy);
        self.end();
    }
}

fn member(at: u32) -> Member {
    Member {
        node: name("agent", at),
        incarnation: Incarnation(1),
        data_center: format!("dc-{}", at % 3).parse().expect("a valid name"),
        slots: SLOTS,
        connections: 64,
        allowed: true,
        leaving: false,
    }
}

fn name(kind: &str, at: u32) -> Node {
    format!("{kind}-{at}").parse().expect("a valid name")
}

fn bench_policy(criterion: &mut Criterion, name: &str, policy: &impl Policy) {
    let mut group = criterion.benchmark_group(name);
    for upstreams in [10, 100, 1000, 2100] {
        let mut entry = Entry::new(upstreams);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |bencher| {
            bencher.iter(|| entry.decide(policy));
        });
    }
}

fn bench_choice(criterion: &mut Criterion) {
    bench_policy(criterion, "known", &MostFreeSlots);
    bench_policy(criterion, "random", &Random);
    bench_policy(criterion, "two-random", &PowerOfTwoChoices);
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_choice(&mut criterion);
    criterion.final_summary();
}

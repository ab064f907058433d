//! The view and the choice against a plain model that recomputes everything.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_route::policy::{MostFreeSlots, Policy, PowerOfTwoChoices, Random};
use gentian_route::view::{Index, Load, LoadView, Member, Standing};
use gentian_wire::id::{DataCenter, Incarnation, Node};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const SETTLE: Duration = Duration::from_millis(300);
const CONNECTIONS: u32 = 5;

#[derive(Clone, Debug)]
enum Event {
    Put {
        at: u8,
        slots: u32,
        allowed: bool,
    },
    Restart {
        at: u8,
    },
    Leave {
        at: u8,
    },
    Remove {
        at: u8,
    },
    Stand {
        at: u8,
        standing: u8,
    },
    Choose,
    End {
        nth: u8,
        load: Option<(u32, u32, bool)>,
    },
    Pass {
        millis: u64,
    },
}

fn event(upstreams: u8) -> impl Strategy<Value = Event> {
    let at = 0..upstreams;
    let load = proptest::option::weighted(0.8, (0u32..10, 0u32..3, proptest::bool::weighted(0.03)));
    prop_oneof![
        3 => (at.clone(), 1u32..9, proptest::bool::weighted(0.9))
            .prop_map(|(at, slots, allowed)| Event::Put { at, slots, allowed }),
        1 => at.clone().prop_map(|at| Event::Restart { at }),
        1 => at.clone().prop_map(|at| Event::Leave { at }),
        1 => at.clone().prop_map(|at| Event::Remove { at }),
        1 => (at, 0u8..4).prop_map(|(at, standing)| Event::Stand { at, standing }),
        20 => Just(Event::Choose),
        12 => (any::<u8>(), load).prop_map(|(nth, load)| Event::End { nth, load }),
        6 => (0u64..400).prop_map(|millis| Event::Pass { millis }),
    ]
}

#[derive(Clone, Debug)]
struct Plain {
    member: Member,
    standing: Standing,
    in_flight: u32,
    present: bool,
    told: Option<(u32, Duration)>,
    usual: f64,
}

impl Plain {
    fn limit(&self) -> u32 {
        match self.standing {
            Standing::Normal => self.member.slots.min(self.member.connections),
            Standing::Trial => 1,
            Standing::Ejected => 0,
        }
    }

    fn open(&self) -> bool {
        let eligible = self.present && self.member.allowed && !self.member.leaving;
        eligible && self.in_flight < self.limit()
    }

    fn share(&self) -> Option<f64> {
        self.told
            .map(|(others, _)| f64::from(others) / f64::from(self.member.slots))
    }

    /// The likely and the cautious number of free slots.
    fn free(&self, mean: f64, now: Duration) -> (f64, f64) {
        let slots = f64::from(self.member.slots);
        let known = self.told.map_or(0.0, |(_, at)| {
            let age = (now - at).as_secs_f64() / SETTLE.as_secs_f64();
            (-age).exp()
        });
        let usual = match self.told {
            Some(_) => mean + (self.usual - mean) * known.powf(0.125),
            None => mean,
        };
        let others = usual + (self.share().unwrap_or(usual) - usual) * known;
        let likely = slots - f64::from(self.in_flight) - others * slots;
        let cautious = likely - (usual * slots * (1.0 - known * known)).sqrt();
        let old = self.told.is_none_or(|(_, at)| now - at >= 2 * SETTLE);
        if self.in_flight == 0 && old {
            (likely.max(1.0), cautious)
        } else {
            (likely, cautious)
        }
    }

    /// Smaller is better; nothing where no slot is believed free.
    fn score(&self, mean: f64, now: Duration) -> Option<(u8, i32)> {
        let (likely, cautious) = self.free(mean, now);
        let (likely, cautious) = (likely + 1e-6, cautious + 1e-6);
        let near = self.member.data_center == data_center(0);
        let tier = match (near, cautious >= 1.0) {
            (true, true) => 0,
            (false, true) => 1,
            (true, false) => 2,
            (false, false) => 3,
        };
        (self.open() && likely >= 1.0).then_some((tier, -(cautious * 2.0).floor() as i32))
    }
}

struct Pair {
    view: LoadView,
    plain: BTreeMap<u8, Plain>,
    running: Vec<(u8, Index)>,
    now: Duration,
    rng: Pcg64Mcg,
}

impl Pair {
    fn new() -> Pair {
        let mut view = LoadView::new(&node(99), data_center(0));
        view.set_decay_time(SETTLE);
        Pair {
            view,
            plain: BTreeMap::new(),
            running: Vec::new(),
            now: Duration::from_secs(1),
            rng: Pcg64Mcg::seed_from_u64(7),
        }
    }

    fn put(&mut self, member: Member, at: u8) {
        self.view.upsert(member.clone(), self.now);
        let known = self.plain.entry(at).or_insert_with(|| Plain {
            member: member.clone(),
            standing: Standing::Normal,
            in_flight: 0,
            present: true,
            told: None,
            usual: 0.0,
        });
        let restarted = member.incarnation > known.member.incarnation;
        let leaving = member.leaving || (known.member.leaving && !restarted);
        if restarted {
            known.told = None;
            known.standing = Standing::Normal;
        }
        known.member = Member { leaving, ..member };
        known.present = true;
    }

    fn apply(&mut self, event: Event, policy: &impl Policy, exact: bool) {
        match event {
            Event::Put { at, slots, allowed } => {
                let run = self.plain.get(&at).map_or(1, |p| p.member.incarnation.0);
                self.put(member(at, run, slots, allowed), at);
            }
            Event::Restart { at } => {
                let run = self
                    .plain
                    .get(&at)
                    .map_or(1, |p| p.member.incarnation.0 + 1);
                self.put(member(at, run, 8, true), at);
            }
            Event::Leave { at } => {
                if let Some(known) = self.plain.get(&at).filter(|known| known.present) {
                    let member = Member {
                        leaving: true,
                        ..known.member.clone()
                    };
                    self.put(member, at);
                }
            }
            Event::Remove { at } => self.remove(at),
            Event::Stand { at, standing } => self.stand(at, standing),
            Event::Choose => self.choose(policy, exact),
            Event::End { nth, load } => self.end(nth, load),
            Event::Pass { millis } => self.now += Duration::from_millis(millis),
        }
    }

    fn remove(&mut self, at: u8) {
        self.view.remove(&node(at), self.now);
        let Some(known) = self.plain.get_mut(&at) else {
            return;
        };
        known.present = false;
        known.told = None;
        if known.in_flight == 0 {
            self.plain.remove(&at);
        }
    }

    fn stand(&mut self, at: u8, standing: u8) {
        let standing = match standing {
            0 => Standing::Ejected,
            1 => Standing::Trial,
            _ => Standing::Normal,
        };
        if let Some(index) = self.view.index_of(&node(at)) {
            self.view.set_standing(index, standing, self.now);
        }
        if let Some(known) = self.plain.get_mut(&at) {
            known.standing = standing;
        }
    }

    fn choose(&mut self, policy: &impl Policy, exact: bool) {
        let chosen = policy.choose(&mut self.view, &[], self.now, &mut self.rng);
        let shares: Vec<f64> = self.plain.values().filter_map(Plain::share).collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        let score = |known: &Plain| known.score(mean, self.now);
        let best = self.plain.values().filter_map(score).min();
        let at = chosen.map(|index| number(self.view.get(index).expect("chosen").node()));
        if exact {
            assert_eq!(at.and_then(|at| score(&self.plain[&at])), best);
        }
        if let (Some(at), Some(index)) = (at, chosen) {
            let known = self.plain.get_mut(&at).expect("known");
            assert!(known.open(), "{known:?} was chosen");
            known.in_flight += 1;
            self.view.record_start(index, self.now);
            self.running.push((at, index));
        }
    }

    fn end(&mut self, nth: u8, load: Option<(u32, u32, bool)>) {
        if self.running.is_empty() {
            return;
        }
        let (at, index) = self
            .running
            .swap_remove(usize::from(nth) % self.running.len());
        let known = self.plain.get_mut(&at).expect("counted until it ends");
        known.in_flight -= 1;
        let load = load.map(|(busy, waiting, leaving)| Load {
            incarnation: known.member.incarnation,
            slots: known.member.slots,
            busy,
            waiting,
            leaving,
        });
        if let Some(load) = load.filter(|_| known.present) {
            let others = (load.busy + load.waiting).saturating_sub(known.in_flight);
            let share = f64::from(others) / f64::from(known.member.slots);
            let weight = if known.told.is_some() { 0.2 } else { 1.0 };
            known.usual += (share - known.usual) * weight;
            known.told = Some((others, self.now));
            known.member.leaving |= load.leaving;
        }
        if !known.present && known.in_flight == 0 {
            self.plain.remove(&at);
        }
        self.view.record_end(index, load, self.now);
    }

    fn check(&self) {
        let counted: u32 = self.view.iter().map(|(_, up)| up.in_flight()).sum();
        let present = self.plain.values().filter(|known| known.present);
        assert_eq!(counted, present.map(|known| known.in_flight).sum::<u32>());
        for (_, upstream) in self.view.iter() {
            let known = &self.plain[&number(upstream.node())];
            assert_eq!(upstream.is_open(), known.open());
            assert_eq!(upstream.in_flight(), known.in_flight);
        }
    }
}

fn member(at: u8, run: u64, slots: u32, allowed: bool) -> Member {
    Member {
        node: node(at),
        incarnation: Incarnation(run),
        data_center: data_center(at % 2),
        slots,
        connections: CONNECTIONS,
        allowed,
        leaving: false,
    }
}

fn node(at: u8) -> Node {
    format!("agent-{at}").parse().expect("a name")
}

fn number(node: &Node) -> u8 {
    node.as_str()["agent-".len()..].parse().expect("a number")
}

fn data_center(at: u8) -> DataCenter {
    format!("dc-{at}").parse().expect("a name")
}

fn run(upstreams: u8, policy: &impl Policy, exact: bool) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let events = proptest::collection::vec(event(upstreams), 1..200);
    TestRunner::new_with_rng(config, rng)
        .run(&events, |events| {
            let mut pair = Pair::new();
            for event in events {
                pair.apply(event, policy, exact);
                pair.check();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn known_chooses_as_the_model_does() {
    run(4, &MostFreeSlots, true);
}

#[test_case(&MostFreeSlots ; "known")]
#[test_case(&Random ; "random")]
#[test_case(&PowerOfTwoChoices ; "two random")]
fn only_open_upstreams_are_chosen(policy: &impl Policy) {
    run(40, policy, false);
}

#[test]
fn a_removed_upstream_keeps_its_count_when_it_returns() {
    let mut view = LoadView::new(&node(99), data_center(0));
    let now = Duration::from_secs(1);
    let index = view.upsert(member(1, 1, 8, true), now);
    view.record_start(index, now);
    view.remove(&node(1), now);
    let back = view.upsert(member(1, 1, 8, true), now);
    assert_eq!(view.get(back).map(|up| up.in_flight()), Some(1));
}

#[test]
fn entries_prefer_equal_upstreams_in_different_orders() {
    let now = Duration::from_secs(1);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut first = |entry: u8| {
        let mut view = LoadView::new(&node(entry), data_center(0));
        for at in 0..20 {
            view.upsert(member(at * 2, 1, 8, true), now);
        }
        let index = MostFreeSlots.choose(&mut view, &[], now, &mut rng);
        index.and_then(|index| view.get(index).map(|up| up.node().clone()))
    };
    let chosen: std::collections::BTreeSet<_> = (100..110).map(&mut first).collect();
    assert!(chosen.len() > 5, "{chosen:?}");
}

#[test]
fn an_upstream_that_refused_is_avoided() {
    let now = Duration::from_secs(1);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut view = LoadView::new(&node(99), data_center(0));
    let index = view.upsert(member(0, 1, 8, true), now);
    assert_eq!(
        MostFreeSlots.choose(&mut view, &[], now, &mut rng),
        Some(index)
    );
    assert_eq!(
        MostFreeSlots.choose(&mut view, &[index], now, &mut rng),
        None
    );
}

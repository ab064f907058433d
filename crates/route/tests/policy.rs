//! Tests of the load view and the policies, against a simple model that recomputes
//! everything for each choice.

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

const DECAY_TIME: Duration = Duration::from_millis(300);
const CONNECTIONS: u32 = 5;

#[derive(Clone, Debug)]
enum Event {
    Upsert {
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
    SetStanding {
        at: u8,
        standing: u8,
    },
    Choose,
    End {
        nth: u8,
        /// Busy and waiting tasks, and whether the upstream is leaving.
        load: Option<(u32, u32, bool)>,
    },
    Advance {
        millis: u64,
    },
}

fn event(upstreams: u8) -> impl Strategy<Value = Event> {
    let at = 0..upstreams;
    let load = proptest::option::weighted(0.8, (0u32..10, 0u32..3, proptest::bool::weighted(0.03)));
    prop_oneof![
        3 => (at.clone(), 1u32..9, proptest::bool::weighted(0.9))
            .prop_map(|(at, slots, allowed)| Event::Upsert { at, slots, allowed }),
        1 => at.clone().prop_map(|at| Event::Restart { at }),
        1 => at.clone().prop_map(|at| Event::Leave { at }),
        1 => at.clone().prop_map(|at| Event::Remove { at }),
        1 => (at, 0u8..4).prop_map(|(at, standing)| Event::SetStanding { at, standing }),
        20 => Just(Event::Choose),
        12 => (any::<u8>(), load).prop_map(|(nth, load)| Event::End { nth, load }),
        6 => (0u64..400).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// Reference model of one upstream.
#[derive(Clone, Debug)]
struct Model {
    member: Member,
    standing: Standing,
    in_flight: u32,
    present: bool,
    /// Other entries' tasks at the last report, and its time.
    reported: Option<(u32, Duration)>,
    /// Moving average of the share of slots that other entries used.
    average_share: f64,
}

impl Model {
    fn limit(&self) -> u32 {
        match self.standing {
            Standing::Normal => self.member.slots.min(self.member.connections),
            Standing::Trial => 1,
            Standing::Ejected => 0,
        }
    }

    fn is_open(&self) -> bool {
        let eligible = self.present && self.member.allowed && !self.member.leaving;
        eligible && self.in_flight < self.limit()
    }

    fn reported_share(&self) -> Option<f64> {
        self.reported
            .map(|(others, _)| f64::from(others) / f64::from(self.member.slots))
    }

    /// The expected and the cautious number of free slots.
    fn free_slots(&self, mean: f64, now: Duration) -> (f64, f64) {
        let slots = f64::from(self.member.slots);
        let validity = self.reported.map_or(0.0, |(_, at)| {
            let age = (now - at).as_secs_f64() / DECAY_TIME.as_secs_f64();
            (-age).exp()
        });
        let average = match self.reported {
            Some(_) => mean + (self.average_share - mean) * validity.powf(0.125),
            None => mean,
        };
        let others = average + (self.reported_share().unwrap_or(average) - average) * validity;
        let expected = slots - f64::from(self.in_flight) - others * slots;
        let cautious = expected - (average * slots * (1.0 - validity * validity)).sqrt();
        let old = self
            .reported
            .is_none_or(|(_, at)| now - at >= 2 * DECAY_TIME);
        if self.in_flight == 0 && old {
            (expected.max(1.0), cautious)
        } else {
            (expected, cautious)
        }
    }

    /// Smaller is better; `None` if no slot is estimated to be free.
    fn score(&self, mean: f64, now: Duration) -> Option<(u8, i32)> {
        let (expected, cautious) = self.free_slots(mean, now);
        let (expected, cautious) = (expected + 1e-6, cautious + 1e-6);
        let near = self.member.data_center == data_center(0);
        let tier = match (near, cautious >= 1.0) {
            (true, true) => 0,
            (false, true) => 1,
            (true, false) => 2,
            (false, false) => 3,
        };
        (self.is_open() && expected >= 1.0).then_some((tier, -(cautious * 2.0).floor() as i32))
    }
}

/// Applies the same events to the view and to the model, and compares. With `exact`, each
/// choice must also be among the best by the model, or none if the model has none.
struct Harness {
    view: LoadView,
    models: BTreeMap<u8, Model>,
    running: Vec<(u8, Index)>,
    now: Duration,
    rng: Pcg64Mcg,
}

impl Harness {
    fn new() -> Harness {
        let mut view = LoadView::new(&node(99), data_center(0));
        view.set_decay_time(DECAY_TIME);
        Harness {
            view,
            models: BTreeMap::new(),
            running: Vec::new(),
            now: Duration::from_secs(1),
            rng: Pcg64Mcg::seed_from_u64(7),
        }
    }

    fn upsert(&mut self, member: Member, at: u8) {
        self.view.upsert(member.clone(), self.now);
        let model = self.models.entry(at).or_insert_with(|| Model {
            member: member.clone(),
            standing: Standing::Normal,
            in_flight: 0,
            present: true,
            reported: None,
            average_share: 0.0,
        });
        let restarted = member.incarnation > model.member.incarnation;
        let leaving = member.leaving || (model.member.leaving && !restarted);
        if restarted {
            model.reported = None;
            model.standing = Standing::Normal;
        }
        model.member = Member { leaving, ..member };
        model.present = true;
    }

    fn apply(&mut self, event: Event, policy: &impl Policy, exact: bool) {
        match event {
            Event::Upsert { at, slots, allowed } => {
                let incarnation = self
                    .models
                    .get(&at)
                    .map_or(1, |model| model.member.incarnation.0);
                self.upsert(member(at, incarnation, slots, allowed), at);
            }
            Event::Restart { at } => {
                let incarnation = self
                    .models
                    .get(&at)
                    .map_or(1, |model| model.member.incarnation.0 + 1);
                self.upsert(member(at, incarnation, 8, true), at);
            }
            Event::Leave { at } => {
                if let Some(model) = self.models.get(&at).filter(|model| model.present) {
                    let member = Member {
                        leaving: true,
                        ..model.member.clone()
                    };
                    self.upsert(member, at);
                }
            }
            Event::Remove { at } => self.remove(at),
            Event::SetStanding { at, standing } => self.set_standing(at, standing),
            Event::Choose => self.choose(policy, exact),
            Event::End { nth, load } => self.end(nth, load),
            Event::Advance { millis } => self.now += Duration::from_millis(millis),
        }
    }

    fn remove(&mut self, at: u8) {
        self.view.remove(&node(at), self.now);
        let Some(model) = self.models.get_mut(&at) else {
            return;
        };
        model.present = false;
        model.reported = None;
        if model.in_flight == 0 {
            self.models.remove(&at);
        }
    }

    fn set_standing(&mut self, at: u8, standing: u8) {
        let standing = match standing {
            0 => Standing::Ejected,
            1 => Standing::Trial,
            _ => Standing::Normal,
        };
        if let Some(index) = self.view.index_of(&node(at)) {
            self.view.set_standing(index, standing, self.now);
        }
        if let Some(model) = self.models.get_mut(&at) {
            model.standing = standing;
        }
    }

    fn choose(&mut self, policy: &impl Policy, exact: bool) {
        let chosen = policy.choose(&mut self.view, &[], self.now, &mut self.rng);
        let shares: Vec<f64> = self
            .models
            .values()
            .filter_map(Model::reported_share)
            .collect();
        let mean = shares.iter().sum::<f64>() / shares.len().max(1) as f64;
        let score = |model: &Model| model.score(mean, self.now);
        let best = self.models.values().filter_map(score).min();
        let at = chosen.map(|index| number(self.view.get(index).expect("chosen").node()));
        if exact {
            assert_eq!(at.and_then(|at| score(&self.models[&at])), best);
        }
        if let (Some(at), Some(index)) = (at, chosen) {
            let model = self.models.get_mut(&at).expect("in the model");
            assert!(model.is_open(), "{model:?} was chosen");
            model.in_flight += 1;
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
        let model = self
            .models
            .get_mut(&at)
            .expect("in the model until its last request ends");
        model.in_flight -= 1;
        let load = load.map(|(busy, waiting, leaving)| Load {
            incarnation: model.member.incarnation,
            slots: model.member.slots,
            busy,
            waiting,
            leaving,
        });
        if let Some(load) = load.filter(|_| model.present) {
            let others = (load.busy + load.waiting).saturating_sub(model.in_flight);
            let share = f64::from(others) / f64::from(model.member.slots);
            let weight = if model.reported.is_some() { 0.2 } else { 1.0 };
            model.average_share += (share - model.average_share) * weight;
            model.reported = Some((others, self.now));
            model.member.leaving |= load.leaving;
        }
        if !model.present && model.in_flight == 0 {
            self.models.remove(&at);
        }
        self.view.record_end(index, load, self.now);
    }

    fn check(&self) {
        let counted: u32 = self
            .view
            .iter()
            .map(|(_, upstream)| upstream.in_flight())
            .sum();
        let present = self.models.values().filter(|model| model.present);
        assert_eq!(counted, present.map(|model| model.in_flight).sum::<u32>());
        for (_, upstream) in self.view.iter() {
            let model = &self.models[&number(upstream.node())];
            assert_eq!(upstream.is_open(), model.is_open());
            assert_eq!(upstream.in_flight(), model.in_flight);
        }
    }
}

fn member(at: u8, incarnation: u64, slots: u32, allowed: bool) -> Member {
    Member {
        node: node(at),
        incarnation: Incarnation(incarnation),
        data_center: data_center(at % 2),
        slots,
        connections: CONNECTIONS,
        allowed,
        leaving: false,
    }
}

fn node(at: u8) -> Node {
    format!("agent-{at}").parse().expect("a valid name")
}

fn number(node: &Node) -> u8 {
    node.as_str()["agent-".len()..].parse().expect("a number")
}

fn data_center(at: u8) -> DataCenter {
    format!("dc-{at}").parse().expect("a valid name")
}

fn run_random_events(upstreams: u8, policy: &impl Policy, exact: bool) {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let events = proptest::collection::vec(event(upstreams), 1..200);
    TestRunner::new_with_rng(config, rng)
        .run(&events, |events| {
            let mut harness = Harness::new();
            for event in events {
                harness.apply(event, policy, exact);
                harness.check();
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn most_free_slots_matches_the_model() {
    run_random_events(4, &MostFreeSlots, true);
}

#[test_case(&MostFreeSlots ; "most free slots")]
#[test_case(&Random ; "random")]
#[test_case(&PowerOfTwoChoices ; "power of two choices")]
fn only_open_upstreams_are_chosen(policy: &impl Policy) {
    run_random_events(40, policy, false);
}

#[test]
fn a_removed_upstream_that_returns_keeps_its_requests_in_flight() {
    let mut view = LoadView::new(&node(99), data_center(0));
    let now = Duration::from_secs(1);
    let index = view.upsert(member(1, 1, 8, true), now);
    view.record_start(index, now);
    view.remove(&node(1), now);
    let returned = view.upsert(member(1, 1, 8, true), now);
    assert_eq!(
        view.get(returned).map(|upstream| upstream.in_flight()),
        Some(1)
    );
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
        index.and_then(|index| view.get(index).map(|upstream| upstream.node().clone()))
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

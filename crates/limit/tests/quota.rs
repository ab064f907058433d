//! Tests of team quotas against a simple reference model.

use std::time::Duration;

use gentian_limit::quota::{Cause, Loan, LoanRequest, TeamQuotas};
use gentian_wire::id::Team;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Event {
    Lend { team: u8, amount: u32, millis: u64 },
    Acquire { team: u8 },
    Release { team: u8 },
    SetTeams { first: bool, second: bool },
    RequestLoan { team: u8, waiting: u32 },
    Advance { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0u8..3, 0u32..6, 0u64..3000)
            .prop_map(|(team, amount, millis)| Event::Lend { team, amount, millis }),
        8 => (0u8..3).prop_map(|team| Event::Acquire { team }),
        6 => (0u8..3).prop_map(|team| Event::Release { team }),
        1 => any::<(bool, bool)>().prop_map(|(first, second)| Event::SetTeams { first, second }),
        2 => (0u8..3, 0u32..9).prop_map(|(team, waiting)| Event::RequestLoan { team, waiting }),
        2 => (0u64..1500).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// Reference model of one team.
#[derive(Clone, Copy, Default)]
struct Model {
    limited: bool,
    amount: u32,
    until: Duration,
    in_use: u32,
}

/// Applies the same events to the code under test and to the model, and compares.
struct Harness {
    quotas: TeamQuotas,
    models: [Model; 3],
    now: Duration,
}

impl Harness {
    fn new() -> Harness {
        let mut harness = Harness {
            quotas: TeamQuotas::default(),
            models: [Model::default(); 3],
            now: Duration::from_secs(1),
        };
        harness.set_teams(true, true);
        harness
    }

    fn set_teams(&mut self, first: bool, second: bool) {
        let limited = [first, second, false];
        let teams: Vec<Team> = (0..3)
            .filter(|at| limited[usize::from(*at)])
            .map(team)
            .collect();
        self.quotas.set_teams(&teams);
        for (model, limited) in self.models.iter_mut().zip(limited) {
            model.limited = limited;
            if !limited && model.in_use == 0 {
                *model = Model::default();
            }
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Lend {
                team: at,
                amount,
                millis,
            } => self.lend(at, amount, millis),
            Event::Acquire { team: at } => self.acquire(at),
            Event::Release { team: at } => self.release(at),
            Event::SetTeams { first, second } => self.set_teams(first, second),
            Event::RequestLoan { team: at, waiting } => {
                let model = self.models[usize::from(at)];
                if let Some(request) = self.quotas.loan_request(&team(at), waiting, now) {
                    let lent = if now < model.until { model.amount } else { 0 };
                    assert_eq!(request.held, lent.max(model.in_use));
                    assert!(request.wanted >= model.in_use + waiting);
                }
            }
            Event::Advance { millis } => self.now += Duration::from_millis(millis),
        }
    }

    fn lend(&mut self, at: u8, amount: u32, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        self.quotas.lend(&team(at), Loan { amount, until });
        let model = &mut self.models[usize::from(at)];
        if model.limited || model.in_use > 0 {
            model.amount = amount;
            model.until = until;
        }
    }

    fn acquire(&mut self, at: u8) {
        let model = &mut self.models[usize::from(at)];
        let allowed = self.now < model.until && model.in_use < model.amount;
        let acquired = self.quotas.acquire(&team(at), self.now);
        assert_eq!(acquired.is_ok(), !model.limited || allowed, "{acquired:?}");
        if acquired.is_ok() {
            model.in_use += 1;
            assert!(!model.limited || model.in_use <= model.amount);
        }
        assert_eq!(self.quotas.in_use(&team(at)), model.in_use);
    }

    fn release(&mut self, at: u8) {
        let model = &mut self.models[usize::from(at)];
        if model.in_use > 0 {
            model.in_use -= 1;
            self.quotas.release(&team(at));
        }
        if model.in_use == 0 && !model.limited {
            *model = Model::default();
        }
    }
}

fn team(at: u8) -> Team {
    format!("team-{at}").parse().expect("a valid name")
}

#[test]
fn quotas_match_the_model() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::collection::vec(event(), 1..200), |events| {
            let mut harness = Harness::new();
            events.into_iter().for_each(|event| harness.apply(event));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_loan_expires() {
    let mut quotas = TeamQuotas::default();
    let (team, until) = (team(0), Duration::from_secs(4));
    quotas.set_teams(std::slice::from_ref(&team));
    assert_eq!(quotas.acquire(&team, Duration::ZERO), Err(Cause::Expired));
    quotas.lend(&team, Loan { amount: 2, until });
    assert_eq!(quotas.acquire(&team, Duration::ZERO), Ok(()));
    assert_eq!(quotas.acquire(&team, until), Err(Cause::Expired));
    let asked = quotas
        .loan_request(&team, 0, until)
        .map(|request| request.held);
    assert_eq!(asked, Some(1));
}

#[test]
fn past_demand_decays() {
    let mut quotas = TeamQuotas::default();
    let team = team(0);
    quotas.set_teams(std::slice::from_ref(&team));
    let first = quotas.loan_request(&team, 80, Duration::ZERO);
    assert_eq!(
        first,
        Some(LoanRequest {
            held: 0,
            wanted: 100
        })
    );
    let mut wanted = |_| {
        quotas
            .loan_request(&team, 0, Duration::ZERO)
            .map_or(0, |request| request.wanted)
    };
    let later: Vec<u32> = (0..20).map(&mut wanted).collect();
    assert!(later.is_sorted_by(|a, b| a >= b), "{later:?}");
    assert!(later[19] <= 1, "{later:?}");
}

//! Loans against a plain count.

use std::time::Duration;

use gentian_limit::quota::{Cause, Loan, LoanRequest, TeamQuotas};
use gentian_wire::id::Team;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[derive(Clone, Debug)]
enum Event {
    Lend { team: u8, amount: u32, millis: u64 },
    Take { team: u8 },
    PutBack { team: u8 },
    Limit { first: bool, second: bool },
    Ask { team: u8, waiting: u32 },
    Pass { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0u8..3, 0u32..6, 0u64..3000)
            .prop_map(|(team, amount, millis)| Event::Lend { team, amount, millis }),
        8 => (0u8..3).prop_map(|team| Event::Take { team }),
        6 => (0u8..3).prop_map(|team| Event::PutBack { team }),
        1 => any::<(bool, bool)>().prop_map(|(first, second)| Event::Limit { first, second }),
        2 => (0u8..3, 0u32..9).prop_map(|(team, waiting)| Event::Ask { team, waiting }),
        2 => (0u64..1500).prop_map(|millis| Event::Pass { millis }),
    ]
}

/// Limited or not, amount and end of the loan, and what is in use.
#[derive(Clone, Copy, Default)]
struct Plain {
    limited: bool,
    amount: u32,
    until: Duration,
    in_use: u32,
}

struct Pair {
    quotas: TeamQuotas,
    plain: [Plain; 3],
    now: Duration,
}

impl Pair {
    fn new() -> Pair {
        let mut pair = Pair {
            quotas: TeamQuotas::default(),
            plain: [Plain::default(); 3],
            now: Duration::from_secs(1),
        };
        pair.limit(true, true);
        pair
    }

    fn limit(&mut self, first: bool, second: bool) {
        let limited = [first, second, false];
        let teams: Vec<Team> = (0..3)
            .filter(|at| limited[usize::from(*at)])
            .map(team)
            .collect();
        self.quotas.set_teams(&teams);
        for (known, limited) in self.plain.iter_mut().zip(limited) {
            known.limited = limited;
            if !limited && known.in_use == 0 {
                *known = Plain::default();
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
            Event::Take { team: at } => self.take(at),
            Event::PutBack { team: at } => self.put_back(at),
            Event::Limit { first, second } => self.limit(first, second),
            Event::Ask { team: at, waiting } => {
                let known = self.plain[usize::from(at)];
                if let Some(ask) = self.quotas.loan_request(&team(at), waiting, now) {
                    let lent = if now < known.until { known.amount } else { 0 };
                    assert_eq!(ask.held, lent.max(known.in_use));
                    assert!(ask.wanted >= known.in_use + waiting);
                }
            }
            Event::Pass { millis } => self.now += Duration::from_millis(millis),
        }
    }

    fn lend(&mut self, at: u8, amount: u32, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        self.quotas.lend(&team(at), Loan { amount, until });
        let known = &mut self.plain[usize::from(at)];
        if known.limited || known.in_use > 0 {
            known.amount = amount;
            known.until = until;
        }
    }

    fn take(&mut self, at: u8) {
        let known = &mut self.plain[usize::from(at)];
        let allowed = self.now < known.until && known.in_use < known.amount;
        let taken = self.quotas.acquire(&team(at), self.now);
        assert_eq!(taken.is_ok(), !known.limited || allowed, "{taken:?}");
        if taken.is_ok() {
            known.in_use += 1;
            assert!(!known.limited || known.in_use <= known.amount);
        }
        assert_eq!(self.quotas.in_use(&team(at)), known.in_use);
    }

    fn put_back(&mut self, at: u8) {
        let known = &mut self.plain[usize::from(at)];
        if known.in_use > 0 {
            known.in_use -= 1;
            self.quotas.release(&team(at));
        }
        if known.in_use == 0 && !known.limited {
            *known = Plain::default();
        }
    }
}

fn team(at: u8) -> Team {
    format!("team-{at}").parse().expect("a name")
}

#[test]
fn the_ledger_behaves_as_the_count_does() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::collection::vec(event(), 1..200), |events| {
            let mut pair = Pair::new();
            events.into_iter().for_each(|event| pair.apply(event));
            Ok(())
        })
        .unwrap();
}

#[test]
fn a_loan_ends_by_itself() {
    let mut quotas = TeamQuotas::default();
    let (team, until) = (team(0), Duration::from_secs(4));
    quotas.set_teams(std::slice::from_ref(&team));
    assert_eq!(quotas.acquire(&team, Duration::ZERO), Err(Cause::Expired));
    quotas.lend(&team, Loan { amount: 2, until });
    assert_eq!(quotas.acquire(&team, Duration::ZERO), Ok(()));
    assert_eq!(quotas.acquire(&team, until), Err(Cause::Expired));
    let asked = quotas.loan_request(&team, 0, until).map(|ask| ask.held);
    assert_eq!(asked, Some(1));
}

#[test]
fn a_demand_that_is_over_fades() {
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
            .map_or(0, |ask| ask.wanted)
    };
    let later: Vec<u32> = (0..20).map(&mut wanted).collect();
    assert!(later.is_sorted_by(|a, b| a >= b), "{later:?}");
    assert!(later[19] <= 1, "{later:?}");
}

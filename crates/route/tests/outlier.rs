//! Tests that outlier detection ejects bad upstreams, and no others.

use std::collections::HashMap;
use std::time::Duration;

use gentian_route::outlier::{Detector, Observation, Settings};
use gentian_route::view::Standing;
use gentian_wire::id::{Incarnation, Node};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use test_case::test_case;

const EXPECTED: Duration = Duration::from_millis(300);

fn node(at: u32) -> Node {
    format!("agent-{at}").parse().expect("a valid name")
}

fn good(run: Duration) -> Observation {
    let expected = Some(EXPECTED);
    Observation::Good { run, expected }
}

/// A detector with its upstreams' standings and a simulated clock.
struct Harness {
    detector: Detector,
    standings: HashMap<Node, Standing>,
    now: Duration,
    rng: Pcg64Mcg,
}

impl Harness {
    fn new(upstreams: u32) -> Harness {
        let mut detector = Detector::new(Settings::default());
        (0..upstreams).for_each(|at| detector.track(&node(at), Incarnation(1)));
        let standings = (0..upstreams).map(|at| (node(at), Standing::Normal));
        Harness {
            detector,
            standings: standings.collect(),
            now: Duration::from_secs(1),
            rng: Pcg64Mcg::seed_from_u64(11),
        }
    }

    fn observe(&mut self, at: u32, observation: Observation) -> Option<Standing> {
        let changed = self
            .detector
            .observe(&node(at), observation, self.now, &mut self.rng);
        if let Some(standing) = changed {
            self.standings.insert(node(at), standing);
        }
        assert!(self.detector.out_of_rotation() <= self.detector.max_out_of_rotation());
        changed
    }

    /// Observes one request to each upstream that is not ejected.
    fn round(
        &mut self,
        upstreams: u32,
        mut observe: impl FnMut(u32, &mut Pcg64Mcg) -> Observation,
    ) {
        for at in 0..upstreams {
            if self.standings[&node(at)] == Standing::Ejected {
                continue;
            }
            let observation = observe(at, &mut self.rng);
            self.observe(at, observation);
        }
        self.now += Duration::from_millis(300);
    }

    fn fail_until_ejected(&mut self, at: u32) {
        for _ in 0..3 {
            self.observe(at, Observation::Bad);
        }
        assert_eq!(self.standings[&node(at)], Standing::Ejected);
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        while let Some(node) = self.detector.readmit(self.now) {
            assert_eq!(
                self.standings.insert(node, Standing::Trial),
                Some(Standing::Ejected)
            );
        }
    }

    fn ejected(&self) -> Vec<u32> {
        let out = |at: &u32| self.standings[&node(*at)] == Standing::Ejected;
        (0..self.standings.len() as u32).filter(out).collect()
    }
}

/// Mostly 50 ms to 1 s; one in twenty takes several seconds.
fn typical_run_time(rng: &mut Pcg64Mcg) -> Duration {
    let millis = if rng.random_ratio(1, 20) {
        rng.random_range(2000..6000)
    } else {
        rng.random_range(50..1000)
    };
    Duration::from_millis(millis)
}

#[test_case(|_| Observation::Bad, 3 ; "fails every task")]
#[test_case(|_| Observation::Refused, 3 ; "refuses every task")]
#[test_case(|rng| good(typical_run_time(rng) * 10), 20 ; "runs ten times slower")]
#[test_case(|_| Observation::Overdue { elapsed: EXPECTED * 10, expected: EXPECTED }, 12 ; "finishes nothing")]
fn one_bad_upstream_is_ejected(bad: fn(&mut Pcg64Mcg) -> Observation, rounds: u32) {
    let mut harness = Harness::new(10);
    (0..50).for_each(|_| harness.round(10, |_, rng| good(typical_run_time(rng))));
    for _ in 0..rounds {
        harness.round(10, |at, rng| {
            if at == 4 {
                bad(rng)
            } else {
                good(typical_run_time(rng))
            }
        });
    }
    assert_eq!(harness.ejected(), [4]);
}

#[test_case(|_| Observation::Bad ; "all fail")]
#[test_case(|rng| if rng.random_ratio(1, 3) { Observation::Bad } else { good(typical_run_time(rng)) } ; "a third of the requests fail")]
#[test_case(|rng| good(typical_run_time(rng) * 10) ; "all run ten times slower")]
#[test_case(|rng| good(typical_run_time(rng)) ; "all are healthy")]
fn similar_upstreams_are_not_ejected(observe: fn(&mut Pcg64Mcg) -> Observation) {
    let mut harness = Harness::new(10);
    for _ in 0..2000 {
        harness.round(10, |_, rng| observe(rng));
        assert_eq!(harness.ejected(), []);
    }
}

#[test]
fn only_a_bounded_share_is_ejected() {
    let mut harness = Harness::new(10);
    for _ in 0..40 {
        harness.round(10, |at, rng| {
            if at < 5 {
                Observation::Bad
            } else {
                good(typical_run_time(rng))
            }
        });
    }
    assert_eq!(harness.ejected().len(), 3);
}

#[test]
fn the_only_upstream_is_never_ejected() {
    let mut harness = Harness::new(1);
    (0..100).for_each(|_| harness.round(1, |_, _| Observation::Bad));
    assert_eq!(harness.ejected(), []);
}

#[test]
fn an_ejected_upstream_returns_after_a_trial() {
    let mut harness = Harness::new(10);
    harness.fail_until_ejected(4);
    harness.advance(Duration::from_millis(1900));
    assert_eq!(harness.standings[&node(4)], Standing::Ejected);
    harness.advance(Duration::from_millis(1000));
    assert_eq!(harness.standings[&node(4)], Standing::Trial);
    assert_eq!(harness.observe(4, good(EXPECTED)), None);
    assert_eq!(harness.observe(4, good(EXPECTED)), None);
    assert_eq!(harness.observe(4, good(EXPECTED)), Some(Standing::Normal));
    assert_eq!(harness.detector.out_of_rotation(), 0);
}

#[test]
fn each_failed_trial_doubles_the_ejection_time() {
    let mut harness = Harness::new(10);
    harness.fail_until_ejected(4);
    for seconds in [2, 4, 8, 16, 32, 64, 120, 120] {
        harness.advance(Duration::from_secs(seconds) - Duration::from_millis(1));
        assert_eq!(
            harness.standings[&node(4)],
            Standing::Ejected,
            "{seconds} s"
        );
        harness.advance(Duration::from_secs(seconds) * 3 / 10 + Duration::from_millis(1));
        assert_eq!(harness.standings[&node(4)], Standing::Trial, "{seconds} s");
        assert_eq!(
            harness.observe(4, Observation::Bad),
            Some(Standing::Ejected)
        );
    }
}

#[test]
fn a_restarted_upstream_is_no_longer_ejected() {
    let mut harness = Harness::new(10);
    harness.fail_until_ejected(4);
    harness.detector.track(&node(4), Incarnation(1));
    assert_eq!(harness.detector.out_of_rotation(), 1);
    harness.detector.track(&node(4), Incarnation(2));
    assert_eq!(harness.detector.out_of_rotation(), 0);
}

#[test]
fn standings_change_in_order_and_within_the_limit() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let event = (0u32..6, 0u8..6, 0u64..1500);
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::collection::vec(event, 1..400), |events| {
            let mut harness = Harness::new(6);
            for (at, kind, millis) in events {
                let before = harness.standings[&node(at)];
                let changed = match kind {
                    0 => harness.observe(at, good(EXPECTED)),
                    1 => harness.observe(at, good(EXPECTED * 10)),
                    _ => harness.observe(at, Observation::Bad),
                };
                match changed {
                    Some(Standing::Ejected) => assert_ne!(before, Standing::Ejected),
                    Some(Standing::Normal) => assert_eq!(before, Standing::Trial),
                    Some(Standing::Trial) => panic!("a trial only starts when an ejection expires"),
                    None => {}
                }
                harness.advance(Duration::from_millis(millis));
                let out = harness
                    .standings
                    .values()
                    .filter(|s| **s != Standing::Normal);
                assert_eq!(out.count(), harness.detector.out_of_rotation());
            }
            Ok(())
        })
        .unwrap();
}

//! Ejection of bad upstreams, and of no others.

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
    format!("agent-{at}").parse().expect("a name")
}

fn good(run: Duration) -> Observation {
    let expected = Some(EXPECTED);
    Observation::Good { run, expected }
}

struct Bench {
    detector: Detector,
    standings: HashMap<Node, Standing>,
    now: Duration,
    rng: Pcg64Mcg,
}

impl Bench {
    fn new(upstreams: u32) -> Bench {
        let mut detector = Detector::new(Settings::default());
        (0..upstreams).for_each(|at| detector.track(&node(at), Incarnation(1)));
        let standings = (0..upstreams).map(|at| (node(at), Standing::Normal));
        Bench {
            detector,
            standings: standings.collect(),
            now: Duration::from_secs(1),
            rng: Pcg64Mcg::seed_from_u64(11),
        }
    }

    fn observe(&mut self, at: u32, ending: Observation) -> Option<Standing> {
        let changed = self
            .detector
            .observe(&node(at), ending, self.now, &mut self.rng);
        if let Some(standing) = changed {
            self.standings.insert(node(at), standing);
        }
        assert!(self.detector.out_of_rotation() <= self.detector.max_out_of_rotation());
        changed
    }

    /// One request to each of the upstreams that is not ejected.
    fn round(&mut self, upstreams: u32, mut ending: impl FnMut(u32, &mut Pcg64Mcg) -> Observation) {
        for at in 0..upstreams {
            if self.standings[&node(at)] == Standing::Ejected {
                continue;
            }
            let ending = ending(at, &mut self.rng);
            self.observe(at, ending);
        }
        self.now += Duration::from_millis(300);
    }

    fn fail(&mut self, at: u32) {
        for _ in 0..3 {
            self.observe(at, Observation::Bad);
        }
        assert_eq!(self.standings[&node(at)], Standing::Ejected);
    }

    fn wait(&mut self, wait: Duration) {
        self.now += wait;
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

/// Mostly 50 ms to 1 s, one in twenty of several seconds.
fn usual(rng: &mut Pcg64Mcg) -> Duration {
    let millis = if rng.random_ratio(1, 20) {
        rng.random_range(2000..6000)
    } else {
        rng.random_range(50..1000)
    };
    Duration::from_millis(millis)
}

#[test_case(|_| Observation::Bad, 3 ; "fails every task")]
#[test_case(|_| Observation::Refused, 3 ; "refuses every task")]
#[test_case(|rng| good(usual(rng) * 10), 20 ; "runs ten times slower")]
#[test_case(|_| Observation::Overdue { elapsed: EXPECTED * 10, expected: EXPECTED }, 12 ; "ends nothing")]
fn one_bad_upstream_is_ejected(bad: fn(&mut Pcg64Mcg) -> Observation, rounds: u32) {
    let mut bench = Bench::new(10);
    (0..50).for_each(|_| bench.round(10, |_, rng| good(usual(rng))));
    for _ in 0..rounds {
        bench.round(
            10,
            |at, rng| if at == 4 { bad(rng) } else { good(usual(rng)) },
        );
    }
    assert_eq!(bench.ejected(), [4]);
}

#[test_case(|_| Observation::Bad ; "all fail")]
#[test_case(|rng| if rng.random_ratio(1, 3) { Observation::Bad } else { good(usual(rng)) } ; "a third fails")]
#[test_case(|rng| good(usual(rng) * 10) ; "all run ten times slower")]
#[test_case(|rng| good(usual(rng)) ; "all are well")]
fn upstreams_alike_are_left_alone(ending: fn(&mut Pcg64Mcg) -> Observation) {
    let mut bench = Bench::new(10);
    for _ in 0..2000 {
        bench.round(10, |_, rng| ending(rng));
        assert_eq!(bench.ejected(), []);
    }
}

#[test]
fn only_a_part_is_ejected() {
    let mut bench = Bench::new(10);
    for _ in 0..40 {
        bench.round(10, |at, rng| {
            if at < 5 {
                Observation::Bad
            } else {
                good(usual(rng))
            }
        });
    }
    assert_eq!(bench.ejected().len(), 3);
}

#[test]
fn an_only_upstream_is_never_ejected() {
    let mut bench = Bench::new(1);
    (0..100).for_each(|_| bench.round(1, |_, _| Observation::Bad));
    assert_eq!(bench.ejected(), []);
}

#[test]
fn the_way_back_is_a_trial() {
    let mut bench = Bench::new(10);
    bench.fail(4);
    bench.wait(Duration::from_millis(1900));
    assert_eq!(bench.standings[&node(4)], Standing::Ejected);
    bench.wait(Duration::from_millis(1000));
    assert_eq!(bench.standings[&node(4)], Standing::Trial);
    assert_eq!(bench.observe(4, good(EXPECTED)), None);
    assert_eq!(bench.observe(4, good(EXPECTED)), None);
    assert_eq!(bench.observe(4, good(EXPECTED)), Some(Standing::Normal));
    assert_eq!(bench.detector.out_of_rotation(), 0);
}

#[test]
fn each_failed_trial_doubles_the_time_out() {
    let mut bench = Bench::new(10);
    bench.fail(4);
    for doubled in [2, 4, 8, 16, 32, 64, 120, 120] {
        bench.wait(Duration::from_secs(doubled) - Duration::from_millis(1));
        assert_eq!(bench.standings[&node(4)], Standing::Ejected, "{doubled} s");
        bench.wait(Duration::from_secs(doubled) * 3 / 10 + Duration::from_millis(1));
        assert_eq!(bench.standings[&node(4)], Standing::Trial, "{doubled} s");
        assert_eq!(bench.observe(4, Observation::Bad), Some(Standing::Ejected));
    }
}

#[test]
fn a_restarted_upstream_starts_clean() {
    let mut bench = Bench::new(10);
    bench.fail(4);
    bench.detector.track(&node(4), Incarnation(1));
    assert_eq!(bench.detector.out_of_rotation(), 1);
    bench.detector.track(&node(4), Incarnation(2));
    assert_eq!(bench.detector.out_of_rotation(), 0);
}

#[test]
fn standings_follow_their_order_and_bound() {
    let config = Config {
        cases: 200,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let event = (0u32..6, 0u8..6, 0u64..1500);
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::collection::vec(event, 1..400), |events| {
            let mut bench = Bench::new(6);
            for (at, kind, millis) in events {
                let before = bench.standings[&node(at)];
                let changed = match kind {
                    0 => bench.observe(at, good(EXPECTED)),
                    1 => bench.observe(at, good(EXPECTED * 10)),
                    _ => bench.observe(at, Observation::Bad),
                };
                match changed {
                    Some(Standing::Ejected) => assert_ne!(before, Standing::Ejected),
                    Some(Standing::Normal) => assert_eq!(before, Standing::Trial),
                    Some(Standing::Trial) => panic!("only time brings a trial"),
                    None => {}
                }
                bench.wait(Duration::from_millis(millis));
                let out = bench.standings.values().filter(|s| **s != Standing::Normal);
                assert_eq!(out.count(), bench.detector.out_of_rotation());
            }
            Ok(())
        })
        .unwrap();
}

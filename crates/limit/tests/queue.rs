//! Tests of the queue, among them a comparison with a simple model that searches a
//! list.

use std::collections::HashMap;
use std::time::Duration;

use gentian_limit::queue::{Cause, Entry, Flow, Queue, Ticket};
use gentian_wire::id::{Job, Team};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use test_case::test_case;

const CAPACITY: usize = 40;

#[derive(Clone, Debug)]
enum Event {
    Push {
        team: u8,
        flow: u8,
        time_left: u64,
        run_time: u64,
    },
    Pop {
        /// No waiting request fits.
        none_fits: bool,
    },
    Cancel {
        nth: u8,
    },
    Shed,
    Advance {
        millis: u64,
    },
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        10 => (0u8..4, 0u8..3, 0u64..3000, 1u64..500)
            .prop_map(|(team, flow, time_left, run_time)| {
                Event::Push { team, flow, time_left, run_time }
            }),
        6 => proptest::bool::weighted(0.1).prop_map(|none_fits| Event::Pop { none_fits }),
        3 => any::<u8>().prop_map(|nth| Event::Cancel { nth }),
        2 => Just(Event::Shed),
        2 => (0u64..300).prop_map(|millis| Event::Advance { millis }),
    ]
}

/// Reference model: waiting requests in order of arrival, and the fair queueing tags.
#[derive(Default)]
struct Model {
    waiting: Vec<Entry<u32>>,
    team_tags: HashMap<Team, u64>,
    flow_tags: HashMap<(Team, Flow), u64>,
    virtual_time: u64,
    team_virtual_times: HashMap<Team, u64>,
}

impl Model {
    fn push(&mut self, entry: Entry<u32>) {
        let (team, flow) = (entry.team.clone(), entry.flow);
        if !self.waiting.iter().any(|other| other.team == team) {
            let tag = self.team_tags.entry(team.clone()).or_default();
            *tag = self.virtual_time.max(*tag);
        }
        let same = |other: &Entry<u32>| other.team == team && other.flow == flow;
        if !self.waiting.iter().any(same) {
            let virtual_time = self.team_virtual_times.get(&team).copied().unwrap_or(0);
            let tag = self.flow_tags.entry((team, flow)).or_default();
            *tag = virtual_time.max(*tag);
        }
        self.waiting.push(entry);
    }

    fn pop(&mut self, now: Duration, fits: impl Fn(&Entry<u32>) -> bool) -> Option<Entry<u32>> {
        let order = |entry: &Entry<u32>| {
            let flow = (entry.team.clone(), entry.flow);
            let tags = (self.team_tags[&entry.team], self.flow_tags[&flow]);
            (tags.0, entry.team.clone(), tags.1, entry.flow)
        };
        let ready = |entry: &&Entry<u32>| entry.latest_start() >= now && fits(entry);
        let item = self
            .waiting
            .iter()
            .filter(ready)
            .min_by_key(|entry| order(entry))?
            .item;
        let entry = self.remove(item)?;
        let cost = entry.expected_run_time.as_micros() as u64 * 1024;
        let weight = if entry.flow == Flow::Single { 4 } else { 1 };
        let tag = self.team_tags.entry(entry.team.clone()).or_default();
        self.virtual_time = self.virtual_time.max(*tag);
        *tag += cost / u64::from(team_weight(&entry.team));
        let tag = self
            .flow_tags
            .entry((entry.team.clone(), entry.flow))
            .or_default();
        let virtual_time = self
            .team_virtual_times
            .entry(entry.team.clone())
            .or_default();
        *virtual_time = (*virtual_time).max(*tag);
        *tag += cost / weight;
        Some(entry)
    }

    fn remove(&mut self, item: u32) -> Option<Entry<u32>> {
        let at = self.waiting.iter().position(|entry| entry.item == item)?;
        Some(self.waiting.remove(at))
    }
}

/// Applies the same events to the queue and to the model, and compares.
struct Harness {
    queue: Queue<u32>,
    model: Model,
    tickets: Vec<(Ticket, u32)>,
    now: Duration,
    /// Number of requests pushed so far; also the item of the latest.
    pushed: u32,
}

impl Harness {
    fn new() -> Harness {
        let mut queue = Queue::new(CAPACITY);
        (0..4).for_each(|at| queue.set_weight(&team(at), team_weight(&team(at))));
        Harness {
            queue,
            model: Model::default(),
            tickets: Vec::new(),
            now: Duration::from_secs(1),
            pushed: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Push {
                team: at,
                flow,
                time_left,
                run_time,
            } => self.push(at, flow, time_left, run_time),
            Event::Pop { none_fits } => self.pop(none_fits),
            Event::Cancel { nth } => self.cancel(nth),
            Event::Shed => self.shed(),
            Event::Advance { millis } => self.now += Duration::from_millis(millis),
        }
        assert_eq!(self.queue.len(), self.model.waiting.len());
        for at in 0..4 {
            let waiting = self.model.waiting.iter();
            let count = waiting.filter(|entry| entry.team == team(at)).count();
            assert_eq!(self.queue.team_len(&team(at)), count);
        }
    }

    fn push(&mut self, at: u8, flow: u8, time_left: u64, run_time: u64) {
        self.pushed += 1;
        let time_left = Duration::from_millis(time_left);
        let entry = entry(
            at,
            flow,
            self.now + time_left,
            Duration::from_millis(run_time),
            self.pushed,
        );
        match self.queue.push(entry.clone(), self.now) {
            Ok(admission) => {
                if let Some(evicted) = admission.evicted {
                    assert_eq!(evicted.flow, Flow::Single);
                    assert_ne!(evicted.team, entry.team);
                    self.model
                        .remove(evicted.item)
                        .expect("the model holds the request");
                }
                self.tickets.push((admission.ticket, entry.item));
                self.model.push(entry);
            }
            Err(refusal) if refusal.cause == Cause::Full => {
                assert_eq!(self.model.waiting.len(), CAPACITY);
            }
            Err(refusal) => assert!(refusal.entry.latest_start() < self.now + refusal.wait),
        }
        assert!(self.queue.len() <= CAPACITY);
    }

    fn pop(&mut self, none_fits: bool) {
        // Items start at 1, so no request has item 0.
        let fits = |entry: &Entry<u32>| !none_fits || entry.item == 0;
        let popped = self.queue.pop(self.now, fits).map(|entry| entry.item);
        let expected = self.model.pop(self.now, fits).map(|entry| entry.item);
        assert_eq!(popped, expected);
    }

    fn cancel(&mut self, nth: u8) {
        if self.tickets.is_empty() {
            return;
        }
        let (ticket, item) = self.tickets[usize::from(nth) % self.tickets.len()];
        let cancelled = self.queue.cancel(ticket).map(|entry| entry.item);
        assert_eq!(cancelled, self.model.remove(item).map(|entry| entry.item));
    }

    fn shed(&mut self) {
        while let Some(entry) = self.queue.shed(self.now) {
            assert!(entry.latest_start() < self.now);
            self.model
                .remove(entry.item)
                .expect("the model holds the request");
        }
        let late = |entry: &Entry<u32>| entry.latest_start() < self.now;
        assert!(!self.model.waiting.iter().any(late));
    }
}

fn team(at: u8) -> Team {
    format!("team-{at}").parse().expect("a valid name")
}

fn team_weight(team: &Team) -> u32 {
    if team.as_str().ends_with('0') {
        4
    } else {
        1
    }
}

fn flow(at: u8) -> Flow {
    match at {
        0 => Flow::Single,
        at => Flow::Job(Job::new(Duration::from_secs(1), [at; 10])),
    }
}

fn entry(at: u8, flow_at: u8, deadline: Duration, run: Duration, item: u32) -> Entry<u32> {
    Entry {
        team: team(at),
        flow: flow(flow_at),
        deadline,
        expected_run_time: run,
        item,
    }
}

#[test]
fn queue_matches_the_model() {
    let config = Config {
        cases: 500,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, rng)
        .run(&proptest::collection::vec(event(), 1..300), |events| {
            let mut harness = Harness::new();
            events.into_iter().for_each(|event| harness.apply(event));
            Ok(())
        })
        .unwrap();
}

/// Two flows that always have waiting requests are served run time in proportion to
/// their weights, up to one request of each.
#[test_case((0, 0), (1, 0), 4 ; "teams by weight")]
#[test_case((1, 0), (1, 1), 4 ; "single requests and a job")]
#[test_case((1, 1), (1, 2), 1 ; "two jobs of a team")]
fn served_run_time_is_proportional_to_weight(first: (u8, u8), second: (u8, u8), ratio: u64) {
    let mut queue = Queue::new(10_000);
    queue.set_weight(&team(0), 4);
    let run = |item: u32| Duration::from_millis(u64::from(50 + (item * 7919) % 950));
    for item in 0..2000 {
        let (at, flow) = if item < 1000 { first } else { second };
        let entry = entry(at, flow, Duration::from_secs(9000), run(item), item);
        queue
            .push(entry, Duration::ZERO)
            .expect("the queue has room");
    }
    let mut served = [0u64; 2];
    for _ in 0..900 {
        let entry = queue.pop(Duration::ZERO, |_| true).expect("occupied");
        served[usize::from(entry.item >= 1000)] += entry.expected_run_time.as_millis() as u64;
        let difference = served[0].abs_diff(served[1] * ratio);
        assert!(difference <= 1000 * (ratio + 1), "{served:?}");
    }
}

#[test]
fn a_single_request_does_not_wait_for_a_job_of_830_tasks() {
    let mut queue = Queue::new(10_000);
    let (deadline, run) = (Duration::from_secs(60), Duration::from_millis(300));
    for item in 0..830 {
        let task = entry(0, 1, deadline, run, item);
        queue
            .push(task, Duration::ZERO)
            .expect("the queue has room");
    }
    (0..100).for_each(|_| drop(queue.pop(Duration::ZERO, |_| true)));
    let single = entry(0, 0, deadline, run, 9999);
    queue
        .push(single, Duration::ZERO)
        .expect("the queue has room");
    let popped = queue.pop(Duration::ZERO, |_| true);
    assert_eq!(popped.map(|entry| entry.item), Some(9999));
}

#[test]
fn a_request_that_would_be_late_is_refused_on_arrival() {
    let mut queue = Queue::new(10_000);
    queue.drain_rate().set_estimate(100.0);
    let run = Duration::from_millis(300);
    for item in 0..100 {
        let waiting = entry(0, 0, Duration::from_secs(60), run, item);
        queue
            .push(waiting, Duration::ZERO)
            .expect("the queue has room");
    }
    let late = entry(0, 0, Duration::from_millis(1200), run, 100);
    let refusal = queue
        .push(late, Duration::ZERO)
        .expect_err("the request would wait a second");
    assert_eq!(refusal.cause, Cause::Late);
    assert_eq!(refusal.wait, Duration::from_secs(1));
    let other_team = entry(1, 0, Duration::from_millis(1200), run, 101);
    assert!(queue.push(other_team, Duration::ZERO).is_ok());
}

#[test]
fn cancelling_all_requests_empties_the_queue() {
    let mut queue = Queue::new(20_000);
    let push = |queue: &mut Queue<u32>, item| {
        let deadline = Duration::from_secs(60);
        let waiting = entry((item % 4) as u8, 1, deadline, Duration::ZERO, item);
        queue
            .push(waiting, Duration::ZERO)
            .expect("the queue has room")
            .ticket
    };
    let tickets: Vec<Ticket> = (0..10_000).map(|item| push(&mut queue, item)).collect();
    for ticket in &tickets {
        assert!(queue.cancel(*ticket).is_some());
        assert!(queue.cancel(*ticket).is_none());
    }
    assert!(queue.is_empty());
    assert!(queue.pop(Duration::ZERO, |_| true).is_none());
    push(&mut queue, 1);
    assert!(tickets.iter().all(|ticket| queue.cancel(*ticket).is_none()));
    assert_eq!(queue.len(), 1);
}

#[test]
fn requests_of_a_flooding_team_are_evicted_for_another() {
    let mut queue = Queue::new(100);
    let waiting = |at, item| entry(at, 0, Duration::from_secs(60), Duration::ZERO, item);
    for item in 0..100 {
        queue
            .push(waiting(1, item), Duration::ZERO)
            .expect("the queue has room");
    }
    for item in 100..150 {
        let admission = queue
            .push(waiting(2, item), Duration::ZERO)
            .expect("within its share");
        assert_eq!(admission.evicted.map(|entry| entry.item), Some(199 - item));
    }
    let refusal = queue
        .push(waiting(2, 150), Duration::ZERO)
        .expect_err("full");
    assert_eq!(refusal.cause, Cause::Full);
}

#[test]
fn a_team_beyond_its_share_evicts_no_request_of_another() {
    let mut queue = Queue::new(99);
    let waiting = |at, item| entry(at, 0, Duration::from_secs(60), Duration::ZERO, item);
    for item in 0..99 {
        let at = [1, 1, 1, 2, 2, 2, 1, 1, 3][item as usize % 9];
        queue
            .push(waiting(at, item), Duration::ZERO)
            .expect("the queue has room");
    }
    let refusal = queue
        .push(waiting(2, 99), Duration::ZERO)
        .expect_err("full");
    assert_eq!(refusal.cause, Cause::Full);
    assert!(queue.push(waiting(3, 100), Duration::ZERO).is_ok());
}

//! Random tests of an upstream whose capacity shrinks and grows while it is in use, against
//! a model that knows what really runs there. The upstream doesn't guard its capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_claim::run::{
    Fate, Isolation, ListedEnd, ListedRun, Owner, Refusal, Requirement, Run, Runs, Start,
    StartAnswer, MAX_LEASE,
};
use gentian_wire::id::Incarnation;
use gentian_wire::need::Need;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

const STEPS: u32 = 4_000;
const STEP: Duration = Duration::from_millis(5);

fn cpu(cpu: u32) -> Need {
    Need {
        cpu,
        ..Need::default()
    }
}

/// What really happens at the upstream.
#[derive(Default)]
struct Upstream {
    running: BTreeMap<Run, Need>,
    /// Starts that were sent and have not been carried out yet, with the end of the lease in
    /// them, after which they are refused.
    late: Vec<(Run, Need, Duration)>,
    /// When everything that runs here lapses.
    lease_until: Duration,
    stopped: Vec<Run>,
    ended: Vec<ListedEnd>,
    ends: u64,
}

impl Upstream {
    fn used(&self) -> u32 {
        self.running.values().map(|need| need.cpu).sum()
    }

    fn start(&mut self, run: Run, need: Need) {
        if !self.stopped.contains(&run) {
            self.running.insert(run, need);
        }
    }

    fn end(&mut self, run: &Run, fate: Fate) {
        if self.running.remove(run).is_some() {
            self.ends += 1;
            let (number, run) = (self.ends, run.clone());
            self.ended.push(ListedEnd { number, run, fate });
        }
    }
}

struct Model {
    runs: Runs,
    upstream: Upstream,
    /// Capacity as it is, and as the agent was told last.
    capacity: u32,
    told: u32,
    owner: Owner,
    now: Duration,
    rng: Pcg64,
    last_run: u64,
    /// Share of the answers to starts and stops that are lost.
    lost: f64,
}

impl Model {
    fn new(seed: u64, lost: f64) -> Model {
        let mut model = Model {
            runs: Runs::default(),
            upstream: Upstream::default(),
            capacity: 32_000,
            told: 32_000,
            owner: Owner {
                entry: "entry".parse().expect("a valid name"),
                incarnation: Incarnation(1),
            },
            now: Duration::ZERO,
            rng: Pcg64::seed_from_u64(seed),
            last_run: 0,
            lost,
        };
        model.runs.set_upstream(cpu(model.told), true);
        model.poll();
        model
    }

    fn step(&mut self) {
        self.now += STEP;
        if self.now > self.upstream.lease_until {
            let lapsed: Vec<Run> = self.upstream.running.keys().cloned().collect();
            lapsed
                .iter()
                .for_each(|run| self.upstream.end(run, Fate::Lost));
        }
        self.runs
            .renew_lease(&self.owner, self.now + MAX_LEASE, self.now);
        match self.rng.random_range(0..10) {
            0 => self.capacity = self.rng.random_range(1..=16) * 4_000,
            1 => self.hear(),
            2..=5 => self.order(),
            6 => self.carry_out_late(),
            7 => self.end_one(),
            _ => self.poll(),
        }
        for run in self.runs.take_due_stops(self.now) {
            self.upstream.stopped.push(run.clone());
            self.upstream.end(&run, Fate::Stopped);
            if !self.rng.random_bool(self.lost) {
                self.runs.stop_answered(&run);
            }
        }
    }

    /// Sends the lease that the upstream may be granted now; returns its end.
    fn grant(&mut self) -> Duration {
        let Some(until) = self.runs.upstream_lease(self.now) else {
            return Duration::ZERO;
        };
        let grant = self.runs.begin_grant(until, self.now);
        self.runs.end_grant(grant, true);
        self.upstream.lease_until = self.upstream.lease_until.max(until);
        until
    }

    /// The agent hears of the upstream's present capacity.
    fn hear(&mut self) {
        self.told = self.capacity;
        self.runs.set_upstream(cpu(self.told), true);
    }

    /// An entry orders a run; an admitted one must fit beside all that may run.
    fn order(&mut self) {
        self.last_run += 1;
        let run = Run {
            task: format!("t{}", self.last_run).into(),
            number: 1,
        };
        let need = cpu(self.rng.random_range(1..=8) * 1_000);
        let start = Start {
            need,
            job: "j".into(),
            queue: "q".into(),
            isolation: Isolation::Shared,
            requirement: Requirement::default(),
        };
        let before = self.runs.used().cpu;
        if let Err(refusal) = self.runs.admit(&self.owner, &run, start, self.now) {
            assert_eq!(Refusal::Full, refusal);
            assert!(
                before + need.cpu > self.told,
                "refused though there was room"
            );
            return;
        }
        self.runs.start_sent(&run, self.now);
        let until = self.grant();
        let really = self.upstream.used() + need.cpu;
        let may_come = self.upstream.late.iter();
        let may_come = may_come.filter(|(.., until)| *until >= self.now);
        let on_their_way = may_come.map(|(_, need, _)| need.cpu);
        let most = really + on_their_way.sum::<u32>();
        assert!(most <= self.told, "{most} of {} in use", self.told);
        if self.rng.random_bool(self.lost) {
            self.upstream.late.push((run.clone(), need, until));
            self.runs
                .apply_start_answer(&run, StartAnswer::Unknown, self.now);
        } else {
            self.upstream.start(run.clone(), need);
            self.runs
                .apply_start_answer(&run, StartAnswer::Running, self.now);
        }
    }

    fn carry_out_late(&mut self) {
        if let Some((run, need, until)) = self.upstream.late.pop() {
            if until >= self.now {
                self.upstream.start(run, need);
            }
        }
    }

    fn end_one(&mut self) {
        let run = self.upstream.running.keys().next().cloned();
        if let Some(run) = run {
            self.upstream.end(&run, Fate::Done);
        }
    }

    fn poll(&mut self) {
        self.grant();
        let poll = self.runs.begin_poll();
        let listed = self.upstream.running.keys().map(|run| ListedRun {
            run: run.clone(),
            percent: 10,
        });
        let listed: Vec<ListedRun> = listed.collect();
        let ended = self.upstream.ended.clone();
        self.runs.apply_poll(poll, &listed, &ended, self.now);
        let seen = self.runs.last_seen_end();
        self.upstream.ended.retain(|end| end.number > seen);
        let running = self.upstream.running.len();
        assert!(
            self.runs.len() >= running,
            "{running} runs, not all of them counted"
        );
        let stopped = &self.upstream.stopped;
        self.upstream
            .late
            .retain(|(run, ..)| !stopped.contains(run));
    }
}

/// No start brings the upstream over the capacity that the agent was told last, and what is
/// being stopped counts until its end is listed.
#[test_case(0.0; "all answers arrive")]
#[test_case(0.2; "answers are lost")]
fn no_start_exceeds_a_capacity_that_shrinks_and_grows(lost: f64) {
    for seed in 0..40 {
        let mut model = Model::new(seed, lost);
        (0..STEPS).for_each(|_| model.step());
        assert!(model.last_run > 1_000);
    }
}

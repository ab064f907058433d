//! One scheduler, its upstreams, and the events between them in virtual time.

mod crashes;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use gentian::claim::crash::{Crash, History, StartRates, Verdict};
use gentian::claim::run::{
    Fate, Isolation, ListedEnd, ListedRun, Owner, Requirement, Run, Runs, Start, StartAnswer,
    MAX_LEASE,
};
use gentian::route::bulkhead::{Bulkhead, Pool};
use gentian::route::placement::{PlacementRequest, Placer, UpstreamReport};
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Constraints;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use super::load::{
    name, objective, Outcome, Policy, BAD_JOBS, CAPACITY, COUNTED, CRASH_TIME, DEADLINE, LENGTH,
    QUEUES, RELEASE_CHECK, TASK, UPSTREAMS,
};

struct Job {
    queue: usize,
    is_bad: bool,
    arrived_at: Duration,
    /// Number of each task's last run.
    runs: Vec<u64>,
    waiting: VecDeque<usize>,
    unfinished: usize,
    started: bool,
}

struct Upstream {
    runs: Runs,
    rates: StartRates,
    /// What runs there.
    running: Vec<ListedRun>,
    is_up: bool,
    born: u64,
    last_end: u64,
}

enum Event {
    Submit {
        queue: usize,
    },
    Expire {
        job: u64,
        deadline: bool,
    },
    Done {
        upstream: usize,
        born: u64,
        job: u64,
        run: Run,
    },
    Crash {
        upstream: usize,
        born: u64,
    },
    Told {
        crash: Box<Crash>,
    },
    Lost {
        job: u64,
        run: Run,
    },
    Restart {
        upstream: usize,
    },
    CheckRelease,
}

pub(crate) struct Cluster {
    policy: Policy,
    bad_share: f64,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    last_event: u64,
    service: Service,
    owner: Owner,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    placer: Placer,
    history: History,
    bulkhead: Bulkhead,
    jobs: BTreeMap<u64, Job>,
    last_job: u64,
    outcome: Outcome,
    rng: Pcg64,
}

impl Cluster {
    pub(crate) fn new(policy: Policy, bad_share: f64, seed: u64) -> Cluster {
        let node = |name: String| -> Node { name.parse().expect("a valid name") };
        let entry = node("entry".to_owned());
        let upstreams = (0..UPSTREAMS).map(|_| Upstream {
            runs: Runs::default(),
            rates: StartRates::default(),
            running: Vec::new(),
            is_up: false,
            born: 0,
            last_end: 0,
        });
        let mut cluster = Cluster {
            policy,
            bad_share,
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_event: 0,
            service: "desk".parse().expect("a valid name"),
            owner: Owner {
                entry: entry.clone(),
                incarnation: Incarnation(1),
            },
            nodes: (0..UPSTREAMS)
                .map(|i| node(format!("agent-{i:02}")))
                .collect(),
            upstreams: upstreams.collect(),
            placer: Placer::new(&entry),
            history: History::default(),
            bulkhead: Bulkhead::default(),
            jobs: BTreeMap::new(),
            last_job: 0,
            outcome: Outcome::default(),
            rng: Pcg64::seed_from_u64(seed),
        };
        (0..UPSTREAMS).for_each(|upstream| cluster.restart(upstream));
        (0..QUEUES.len()).for_each(|queue| cluster.schedule_submit(queue));
        cluster.schedule(RELEASE_CHECK, Event::CheckRelease);
        cluster
    }

    pub(crate) fn run(mut self) -> Outcome {
        while let Some(first) = self.events.first_entry() {
            if first.key().0 > LENGTH {
                break;
            }
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.outcome
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.last_event += 1;
        self.events
            .insert((self.now + delay, self.last_event), event);
    }

    fn schedule_submit(&mut self, queue: usize) {
        let uniform = self.rng.random::<f64>().max(f64::MIN_POSITIVE);
        let gap = Duration::from_secs_f64(-uniform.ln() / QUEUES[queue].jobs_per_s);
        self.schedule(gap, Event::Submit { queue });
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Submit { queue } => self.submit(queue),
            Event::Expire { job, deadline } => {
                let started = self.jobs.get(&job).is_some_and(|job| job.started);
                if deadline || !started {
                    self.finish(job, false);
                }
            }
            Event::Done {
                upstream,
                born,
                job,
                run,
            } => self.done(upstream, born, job, &run),
            Event::Crash { upstream, born } => self.crash(upstream, born),
            Event::Told { crash } => self.told(*crash),
            Event::Lost { job, run } => self.lost(job, &run),
            Event::Restart { upstream } => self.restart(upstream),
            Event::CheckRelease => {
                let pool = Pool::Only(self.bulkhead.reserved());
                let any = Constraints::default();
                let is_tested = self.placer.serves(&self.service, &any, pool);
                self.bulkhead.release(is_tested, self.now);
                self.schedule(RELEASE_CHECK, Event::CheckRelease);
            }
        }
        self.place();
    }

    fn submit(&mut self, queue: usize) {
        self.schedule_submit(queue);
        self.last_job += 1;
        let may_be_bad = queue == 0 && BAD_JOBS.contains(&self.now);
        let is_bad = may_be_bad && self.rng.random_bool(self.bad_share);
        let tasks = QUEUES[queue].tasks;
        let job = Job {
            queue,
            is_bad,
            arrived_at: self.now,
            runs: vec![0; tasks],
            waiting: (0..tasks).collect(),
            unfinished: tasks,
            started: false,
        };
        let is_counted = !is_bad && COUNTED.contains(&self.now);
        self.outcome.sound[queue].1 += u32::from(is_counted);
        self.jobs.insert(self.last_job, job);
        let wait = objective(queue).max_wait();
        let job = self.last_job;
        self.schedule(
            wait,
            Event::Expire {
                job,
                deadline: false,
            },
        );
        self.schedule(
            DEADLINE,
            Event::Expire {
                job,
                deadline: true,
            },
        );
    }

    /// Starts waiting tasks, oldest job first, until one finds no room; those of confined
    /// queues hold nobody else up.
    fn place(&mut self) {
        let mut full = [false; 2];
        let numbers: Vec<u64> = self.jobs.keys().copied().collect();
        for number in numbers {
            let queue = QUEUES[self.jobs[&number].queue].name;
            let confined = self.bulkhead.is_confined(queue);
            while let Some(task) = self.jobs[&number].waiting.front().copied() {
                if full[usize::from(confined)] {
                    break;
                }
                if !self.start(number, task, confined) {
                    let suspect = self.history.count(&name(number, task)) > 0;
                    full[usize::from(confined)] = !suspect;
                    break;
                }
            }
        }
    }

    fn start(&mut self, number: u64, task: usize, confined: bool) -> bool {
        let task_name: Arc<str> = name(number, task).into();
        let isolation = match (self.history.verdict(&task_name), confined) {
            (Verdict::Clear | Verdict::Suspect, false) => Isolation::Shared,
            (Verdict::Clear, true) => Isolation::Limited,
            _ => Isolation::Alone,
        };
        let isolation = if self.policy == Policy::Naive {
            Isolation::Shared
        } else {
            isolation
        };
        self.update_placer();
        let job_name: Arc<str> = number.to_string().into();
        let constraints = Constraints::default();
        let request = PlacementRequest {
            pool: self.bulkhead.pool(confined),
            beside: (isolation != Isolation::Shared).then_some(&job_name),
            alone: isolation == Isolation::Alone,
            ..PlacementRequest::new(TASK, &constraints)
        };
        let Ok(node) = self.placer.place(&self.service, &request) else {
            return false;
        };
        let upstream = self.nodes.iter().position(|known| *known == node);
        let upstream = upstream.expect("a known upstream");
        let job = self.jobs.get_mut(&number).expect("a job in progress");
        job.runs[task] += 1;
        let run = Run {
            task: task_name,
            number: job.runs[task],
        };
        let queue: Arc<str> = QUEUES[job.queue].name.into();
        let start = Start {
            need: TASK,
            job: job_name,
            queue: queue.clone(),
            isolation,
            requirement: Requirement::default(),
        };
        let there = &mut self.upstreams[upstream];
        there
            .runs
            .renew_lease(&self.owner, self.now + MAX_LEASE, self.now);
        if there
            .runs
            .admit(&self.owner, &run, start, self.now)
            .is_err()
        {
            self.placer.release(&node, TASK);
            return false;
        }
        there.runs.start_sent(&run, self.now);
        there
            .runs
            .apply_start_answer(&run, StartAnswer::Running, self.now);
        there.rates.record(&queue, self.now);
        there.running.push(ListedRun {
            run: run.clone(),
            percent: 0,
        });
        let born = there.born;
        let (is_bad, time) = (job.is_bad && task == 0, QUEUES[job.queue].run);
        job.waiting.pop_front();
        job.started = true;
        match is_bad {
            true => self.schedule(CRASH_TIME, Event::Crash { upstream, born }),
            false => {
                let job = number;
                self.schedule(
                    time,
                    Event::Done {
                        upstream,
                        born,
                        job,
                        run,
                    },
                );
            }
        }
        true
    }

    fn update_placer(&mut self) {
        for (node, upstream) in self.nodes.iter().zip(&self.upstreams) {
            let report = UpstreamReport {
                service: self.service.clone(),
                capacity: CAPACITY,
                used_by_others: upstream.runs.used_by_others(&self.owner),
                accepts_runs: upstream.is_up,
                run_time_ratio: None,
                labels: Vec::new(),
            };
            self.placer.update(node, Incarnation(1), true, report);
        }
    }

    fn done(&mut self, upstream: usize, born: u64, number: u64, run: &Run) {
        let there = &mut self.upstreams[upstream];
        if there.born != born || !there.is_up {
            return;
        }
        there.last_end += 1;
        let end = ListedEnd {
            number: there.last_end,
            run: run.clone(),
            fate: Fate::Done,
        };
        there.running.retain(|listed| listed.run != *run);
        let poll = there.runs.begin_poll();
        there
            .runs
            .apply_poll(poll, &there.running, &[end], self.now);
        self.placer.release(&self.nodes[upstream], TASK);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.unfinished -= 1;
        if job.unfinished == 0 {
            self.finish(number, true);
        }
    }

    fn finish(&mut self, number: u64, completed: bool) {
        let Some(job) = self.jobs.remove(&number) else {
            return;
        };
        let in_time = self.now - job.arrived_at <= objective(job.queue).time_limit();
        let is_counted = !job.is_bad && COUNTED.contains(&job.arrived_at);
        if completed && in_time && is_counted {
            self.outcome.sound[job.queue].0 += 1;
        }
    }
}

//! One entry: its jobs, their queue and its view of the upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gentian::limit::backfill::Backfill;
use gentian::limit::headroom::Headroom;
use gentian::limit::job_queue::{JobQueue, Objective, Rank};
use gentian::limit::rescan::Rescan;
use gentian::limit::throttle::Throttle;
use gentian::route::bulkhead::Pool;
use gentian::route::outlier::Observation;
use gentian::route::placement::{Blocked, Due, PlacementRequest, Placer};
use gentian::route::run_times::RunTimes;
use gentian::wire::id::{Node, Service};
use gentian::wire::need::{Constraints, Need};

use rand::SeedableRng;
use rand_pcg::Pcg64;

use super::load;

/// Time that an entry, which has little processor, spends on a message and on a job.
pub(crate) const MESSAGE_TIME: Duration = Duration::from_micros(100);
pub(crate) const JOB_TIME: Duration = Duration::from_millis(1);
/// Time that it spends on a job that it refuses unread.
pub(crate) const REFUSAL_TIME: Duration = Duration::from_micros(150);

/// Stretch and constant of every job's time limit.
const STRETCH: f64 = 1.6;
const TARGET: Duration = Duration::from_millis(60);

/// What the entry does beyond the naive way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Methods {
    /// Whether it places by the speeds of upstreams that it has learned.
    pub(crate) speeds: bool,
    /// Whether jobs may pass those that find no room.
    pub(crate) backfills: bool,
    /// Whether it keeps capacity free for urgent jobs.
    pub(crate) headroom: bool,
    /// Whether it refuses jobs for which it has too little processor.
    pub(crate) throttle: bool,
    /// Whether only reports of new capacity make it look at the waiting jobs.
    pub(crate) rescans: bool,
}

/// A job in progress.
#[derive(Debug)]
struct Job {
    load: load::Job,
    arrived_at: Duration,
    rank: Rank,
    waiting: VecDeque<usize>,
    unfinished: usize,
    started: bool,
}

impl Job {
    fn need(&self) -> Need {
        Need {
            cpu: self.load.cpu,
            memory: 64,
            accelerators: 0,
        }
    }

    /// Work of the waiting tasks, in core-seconds.
    fn work(&self) -> f64 {
        let cores = f64::from(self.load.cpu) / 1e3;
        cores * self.load.declared.as_secs_f64() * self.waiting.len() as f64
    }
}

/// An order to start a task.
#[derive(Clone, Debug)]
pub(crate) struct Start {
    pub(crate) upstream: Node,
    pub(crate) need: Need,
    /// Run time at a usual upstream.
    pub(crate) run: Duration,
    declared: Duration,
    job: u64,
    task: usize,
}

/// What became of an entry's jobs and starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) submitted: u64,
    pub(crate) in_time: u64,
    /// Jobs of the most urgent kind, and those of them that ended in time.
    pub(crate) urgent: u64,
    pub(crate) urgent_in_time: u64,
    /// Core-seconds of the jobs that ended in time.
    pub(crate) work_in_time: f64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) starts: u64,
    pub(crate) turned_away: u64,
    pub(crate) messages: u64,
    /// Messages that tell only of the tasks of other entries.
    pub(crate) reports: u64,
    /// Jobs that were refused unread.
    unread: u64,
    /// Time spent on jobs that ended in time.
    useful: Duration,
    /// Reports that may have made room for waiting jobs.
    pub(crate) gains: u64,
    /// Reports after which the entry looked at its waiting jobs.
    pub(crate) scans: u64,
}

#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) data_center: usize,
    pub(crate) placer: Placer,
    pub(crate) tally: Tally,
    /// Time spent on messages and jobs so far.
    pub(crate) busy: Duration,
    /// When all that has arrived is handled.
    pub(crate) idle_at: Duration,
    /// How many times as long as usual everything takes here.
    pub(crate) slowness: f64,
    throttle: Throttle,
    service: Service,
    methods: Methods,
    /// Ratios of actual to declared run times; a ratio of 1 is one second.
    ratios: RunTimes,
    rng: Pcg64,
    queue: JobQueue,
    rescan: Rescan,
    headroom: Headroom,
    jobs: BTreeMap<u64, Job>,
    last_number: u64,
}

impl Entry {
    pub(crate) fn new(
        name: &Node,
        service: Service,
        data_center: usize,
        methods: Methods,
    ) -> Entry {
        Entry {
            data_center,
            placer: Placer::new(name),
            tally: Tally::default(),
            busy: Duration::ZERO,
            idle_at: Duration::ZERO,
            slowness: 1.0,
            throttle: Throttle::default(),
            service,
            methods,
            ratios: RunTimes::default(),
            rng: Pcg64::seed_from_u64(1),
            queue: JobQueue::default(),
            rescan: Rescan::default(),
            headroom: Headroom::default(),
            jobs: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Spends time on what has arrived now; returns when it is handled.
    pub(crate) fn spend(&mut self, time: Duration, now: Duration) -> Duration {
        let time = time.mul_f64(self.slowness);
        self.busy += time;
        self.idle_at = self.idle_at.max(now) + time;
        self.idle_at
    }

    /// Whether there is processor for a job that arrives now; counts the job.
    pub(crate) fn has_processor(&mut self, load: &load::Job, now: Duration) -> bool {
        self.tally.submitted += 1;
        let lag = self.idle_at.saturating_sub(now);
        let admitted = !self.methods.throttle || self.throttle.admit(load.priority, lag, now);
        self.tally.unread += u64::from(!admitted);
        admitted
    }

    /// Share of the time, without that for reports and refusals, that was spent on jobs that
    /// ended in time.
    pub(crate) fn useful_share(&self, length: Duration) -> f64 {
        let reports = MESSAGE_TIME.mul_f64(self.tally.reports as f64);
        let refusals = REFUSAL_TIME.mul_f64(self.tally.unread as f64);
        let left = length.saturating_sub((reports + refusals).mul_f64(self.slowness));
        self.tally.useful.as_secs_f64() / left.as_secs_f64()
    }

    /// Admits or refuses a job. Returns the number of an admitted one, and the time by
    /// which one of its tasks must have started.
    pub(crate) fn submit(&mut self, load: load::Job, now: Duration) -> Option<(u64, Duration)> {
        let objective = Objective {
            critical_path: self.expected(load.declared),
            stretch: STRETCH,
            target: TARGET,
        };
        self.last_number += 1;
        self.tally.urgent += u64::from(load.priority == 0);
        let cores = f64::from(load.cpu) / 1e3 * load.runs.len() as f64;
        self.headroom
            .observe(load.priority, cores, objective.max_wait(), now);
        let rank = Rank {
            suspect: false,
            not_started: true,
            priority: load.priority,
            start_by: now + objective.max_wait(),
            arrival: self.last_number,
        };
        let cores = f64::from(self.placer.own_share(&self.service, Pool::All).cpu) / 1e3;
        if self.queue.expected_wait(&rank, cores) > objective.max_wait() {
            self.tally.refused += 1;
            return None;
        }
        let tasks = load.runs.len();
        let job = Job {
            load,
            arrived_at: now,
            rank,
            waiting: (0..tasks).collect(),
            unfinished: tasks,
            started: false,
        };
        self.queue.insert(rank, job.work());
        self.jobs.insert(rank.arrival, job);
        Some((rank.arrival, rank.start_by))
    }

    /// Expected run time of a task that was declared to run for `declared`.
    fn expected(&self, declared: Duration) -> Duration {
        let ratio = self.ratios.quantile(0.5);
        declared.mul_f64(ratio.map_or(1.0, |ratio| ratio.as_secs_f64()))
    }

    /// Refuses a job if no task of it has started.
    pub(crate) fn expire(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number).filter(|job| !job.started) else {
            return;
        };
        self.queue.remove(&job.rank);
        self.jobs.remove(&number);
        self.tally.refused += 1;
    }

    /// Places waiting tasks after an agent's report, if it may have `gained` capacity.
    pub(crate) fn reschedule(&mut self, gained: bool, now: Duration) -> Vec<Start> {
        self.tally.gains += u64::from(gained);
        if gained || !self.methods.rescans {
            self.rescan.record_gain();
        }
        if !self.rescan.take_due(now) {
            return Vec::new();
        }
        self.tally.scans += 1;
        self.schedule(now)
    }

    /// Places waiting tasks in the order of their jobs' ranks, passing over those that find
    /// no room.
    pub(crate) fn schedule(&mut self, now: Duration) -> Vec<Start> {
        let mut starts = Vec::new();
        let mut pass = Backfill::default();
        let mut passed: Option<Rank> = None;
        while let Some(rank) = self.queue.next(passed.as_ref()).copied() {
            if rank.not_started && !self.has_headroom(&rank, now) {
                passed = Some(rank.last_of_priority());
                continue;
            }
            let Some(mut job) = self.jobs.remove(&rank.arrival) else {
                break;
            };
            self.queue.remove(&rank);
            self.place_tasks(&mut job, &mut starts, &mut pass, now);
            job.rank.not_started = !job.started;
            let blocked = !job.waiting.is_empty();
            if blocked {
                self.queue.insert(job.rank, job.work());
                passed = Some(rank);
            }
            self.jobs.insert(rank.arrival, job);
            if blocked && !(self.methods.backfills && pass.pass_over()) {
                break;
            }
        }
        self.tally.starts += starts.len() as u64;
        starts
    }

    /// Whether a job of this priority may start beside what is kept free for urgent ones.
    fn has_headroom(&self, rank: &Rank, now: Duration) -> bool {
        let waited = now.saturating_sub(self.jobs[&rank.arrival].arrived_at);
        let capacity = self.placer.capacity(&self.service, Pool::All);
        let kept = self
            .headroom
            .kept(rank.priority, waited, capacity.total, now);
        !self.methods.headroom || capacity.free >= kept
    }

    fn place_tasks(
        &mut self,
        job: &mut Job,
        starts: &mut Vec<Start>,
        pass: &mut Backfill,
        now: Duration,
    ) {
        let constraints = Constraints::default();
        let expected = self.expected(job.load.declared);
        let limit = expected.mul_f64(STRETCH) + TARGET;
        let due = Due {
            left: (job.arrived_at + limit).saturating_sub(now),
            expected,
        };
        let request = PlacementRequest {
            due: self.methods.speeds.then_some(due),
            ..PlacementRequest::new(job.need(), &constraints)
        };
        while let Some(task) = job.waiting.front().copied() {
            if !pass.may_fit(request.need) {
                return;
            }
            let upstream = match self.placer.place(&self.service, &request) {
                Ok(upstream) => upstream,
                Err(Blocked::NoRoom) => return pass.record_no_room(request.need),
                Err(Blocked::Late) => return pass.record_late(),
            };
            job.waiting.pop_front();
            job.started = true;
            starts.push(Start {
                upstream,
                need: request.need,
                run: job.load.runs[task],
                declared: job.load.declared,
                job: job.rank.arrival,
                task,
            });
        }
    }

    /// Puts a task that an upstream turned away into the queue again.
    pub(crate) fn turned_away(&mut self, start: &Start) {
        self.placer.release(&start.upstream, start.need);
        self.tally.turned_away += 1;
        if let Some(job) = self.jobs.get_mut(&start.job) {
            job.waiting.push_back(start.task);
            self.queue.insert(job.rank, job.work());
        }
    }

    /// Handles the end of a run, which has taken `ran`.
    pub(crate) fn done(&mut self, start: &Start, ran: Duration, now: Duration) {
        self.placer.release(&start.upstream, start.need);
        let usual = match self.methods.speeds {
            true => self.placer.run_time_ratio(&start.upstream),
            false => 1.0,
        };
        let ratio = ran.as_secs_f64() / start.declared.as_secs_f64() / usual;
        self.ratios.observe(Duration::from_secs_f64(ratio));
        let observation = Observation::Good {
            run: ran,
            expected: Some(self.expected(start.declared)),
        };
        self.placer
            .observe(&start.upstream, observation, now, &mut self.rng);
        let Some(job) = self.jobs.get_mut(&start.job) else {
            return;
        };
        job.unfinished -= 1;
        if job.unfinished > 0 {
            return;
        }
        let longest = job.load.runs.iter().max().copied().unwrap_or_default();
        let limit = longest.mul_f64(STRETCH) + TARGET;
        match now - job.arrived_at <= limit {
            true => {
                self.tally.in_time += 1;
                let time = JOB_TIME + MESSAGE_TIME * job.load.runs.len() as u32;
                self.tally.useful += time.mul_f64(self.slowness);
                self.tally.urgent_in_time += u64::from(job.load.priority == 0);
                let work: f64 = job.load.runs.iter().map(Duration::as_secs_f64).sum();
                self.tally.work_in_time += work * f64::from(job.load.cpu) / 1e3;
            }
            false => self.tally.late += 1,
        }
        self.jobs.remove(&start.job);
    }
}

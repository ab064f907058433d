//! One entry: its jobs, their queue and its view of the upstreams.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gentian::limit::job_queue::{JobQueue, Objective, Rank};
use gentian::route::bulkhead::Pool;
use gentian::route::placement::{PlacementRequest, Placer};
use gentian::wire::id::{Node, Service};
use gentian::wire::need::{Constraints, Need};

use super::load;

/// Stretch and constant of every job's time limit.
const STRETCH: f64 = 1.6;
const TARGET: Duration = Duration::from_millis(60);

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
    pub(crate) run: Duration,
    job: u64,
    task: usize,
}

/// What became of an entry's jobs and starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) in_time: u64,
    pub(crate) late: u64,
    pub(crate) refused: u64,
    pub(crate) starts: u64,
    pub(crate) turned_away: u64,
    pub(crate) messages: u64,
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
    service: Service,
    queue: JobQueue,
    jobs: BTreeMap<u64, Job>,
    last_number: u64,
}

impl Entry {
    pub(crate) fn new(name: &Node, service: Service, data_center: usize) -> Entry {
        Entry {
            data_center,
            placer: Placer::new(name),
            tally: Tally::default(),
            busy: Duration::ZERO,
            idle_at: Duration::ZERO,
            service,
            queue: JobQueue::default(),
            jobs: BTreeMap::new(),
            last_number: 0,
        }
    }

    /// Spends time on what has arrived now; returns when it is handled.
    pub(crate) fn spend(&mut self, time: Duration, now: Duration) -> Duration {
        self.busy += time;
        self.idle_at = self.idle_at.max(now) + time;
        self.idle_at
    }

    /// Admits or refuses a job. Returns the number of an admitted one, and the time by
    /// which one of its tasks must have started.
    pub(crate) fn submit(&mut self, load: load::Job, now: Duration) -> Option<(u64, Duration)> {
        let objective = Objective {
            critical_path: load.declared,
            stretch: STRETCH,
            target: TARGET,
        };
        self.last_number += 1;
        let rank = Rank {
            suspect: false,
            not_started: true,
            priority: 0,
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

    /// Refuses a job if no task of it has started.
    pub(crate) fn expire(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number).filter(|job| !job.started) else {
            return;
        };
        self.queue.remove(&job.rank);
        self.jobs.remove(&number);
        self.tally.refused += 1;
    }

    /// Places waiting tasks in the order of their jobs' ranks, until none has room.
    pub(crate) fn schedule(&mut self) -> Vec<Start> {
        let mut starts = Vec::new();
        while let Some(rank) = self.queue.next(None).copied() {
            let Some(mut job) = self.jobs.remove(&rank.arrival) else {
                break;
            };
            self.queue.remove(&rank);
            self.place_tasks(&mut job, &mut starts);
            job.rank.not_started = !job.started;
            let blocked = !job.waiting.is_empty();
            if blocked {
                self.queue.insert(job.rank, job.work());
            }
            self.jobs.insert(rank.arrival, job);
            if blocked {
                break;
            }
        }
        self.tally.starts += starts.len() as u64;
        starts
    }

    fn place_tasks(&mut self, job: &mut Job, starts: &mut Vec<Start>) {
        let constraints = Constraints::default();
        let request = PlacementRequest::new(job.need(), &constraints);
        while let Some(task) = job.waiting.front().copied() {
            let Some(upstream) = self.placer.place(&self.service, &request) else {
                return;
            };
            job.waiting.pop_front();
            job.started = true;
            starts.push(Start {
                upstream,
                need: request.need,
                run: job.load.runs[task],
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

    pub(crate) fn done(&mut self, start: &Start, now: Duration) {
        self.placer.release(&start.upstream, start.need);
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
            true => self.tally.in_time += 1,
            false => self.tally.late += 1,
        }
        self.jobs.remove(&start.job);
    }
}

//! The scheduler's state: jobs in progress, the queue of each service, and the
//! links to agents.
//!
//! Nothing here blocks or does I/O: orders are left at the [`Link`]s, from which
//! the streams send them.

mod admission;
mod crashes;
mod headroom;
mod runs;
mod schedule;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::crash;
use gentian::limit::headroom::Headroom;
use gentian::limit::job_queue::JobQueue;
use gentian::limit::rescan::Rescan;
use gentian::limit::throttle::Throttle;
use gentian::route::bulkhead::Bulkhead;
use gentian::route::placement::{Placer, UpstreamReport};
use gentian::route::run_times;
use gentian::wire::agent::Room;
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Need;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::oneshot;

use crate::metrics;

use super::job::{Job, Lane, Outcome, RefusalCause};
use super::link::{Link, PlacedRun};

/// Number of configured queues whose run times are learned separately.
const MAX_LEARNED_QUEUES: usize = 256;

/// The scheduler's state, guarded by the dispatcher's lock.
#[derive(Debug)]
pub(super) struct State {
    /// Zero of the times that are passed to decisions.
    origin: Instant,
    metrics: Arc<metrics::Jobs>,
    /// Chooses upstreams and keeps account of their free capacity.
    pub(super) placer: Placer,
    /// Which jobs are taken while this entry has too little processor for all.
    throttle: Throttle,
    /// Jobs with tasks that wait for capacity.
    job_queues: BTreeMap<Lane, JobQueue>,
    /// When agents' reports make room be sought for the waiting jobs.
    pub(super) rescan: Rescan,
    /// What the jobs of each lane are expected to need, which is kept free for urgent ones.
    headrooms: BTreeMap<Lane, Headroom>,
    /// Crashes of upstreams that this entry knows of.
    pub(super) crashes: crash::History,
    /// When a job was last refused in a lane of confined queues, other than one under whose
    /// tasks upstreams have crashed.
    refused_at: BTreeMap<Lane, Instant>,
    /// Which configured queues of a service are confined to a part of its upstreams.
    bulkheads: BTreeMap<Service, Bulkhead>,
    /// Jobs in progress by number.
    pub(super) jobs: HashMap<u64, Job>,
    /// Numbers of the jobs in progress by the caller's id.
    pub(super) numbers_by_id: HashMap<Arc<str>, u64>,
    /// Number of runs that still have to stop after their job has ended, by the
    /// caller's id of the job.
    stopping_runs: HashMap<Arc<str>, usize>,
    /// Jobs submitted again under an id whose earlier runs still have to stop.
    blocked_jobs: HashMap<Arc<str>, u64>,
    /// The last number given. A caller and the job that it submits share a number.
    pub(super) last_number: u64,
    pub(super) links: BTreeMap<Node, Link>,
    /// When the first agent was listed since this entry's start.
    pub(super) first_agent_at: Option<Instant>,
    /// Ratios of actual to declared run times by configured queue. The table holds
    /// durations; a ratio of 1 is stored as one second.
    run_time_ratios: run_times::Table<String>,
    rng: StdRng,
}

impl State {
    pub(super) fn new(entry: &Node, origin: Instant, metrics: Arc<metrics::Jobs>) -> State {
        State {
            origin,
            metrics,
            placer: Placer::new(entry),
            throttle: Throttle::default(),
            job_queues: BTreeMap::new(),
            rescan: Rescan::default(),
            headrooms: BTreeMap::new(),
            crashes: crash::History::default(),
            refused_at: BTreeMap::new(),
            bulkheads: BTreeMap::new(),
            jobs: HashMap::new(),
            numbers_by_id: HashMap::new(),
            stopping_runs: HashMap::new(),
            blocked_jobs: HashMap::new(),
            last_number: 0,
            links: BTreeMap::new(),
            first_agent_at: None,
            run_time_ratios: run_times::Table::new(MAX_LEARNED_QUEUES),
            rng: StdRng::from_os_rng(),
        }
    }

    /// Applies an agent's report on the capacity of its upstream.
    pub(super) fn update_room(&mut self, node: &Node, incarnation: Incarnation, room: Room) {
        let Ok(service) = room.service.parse() else {
            log::warn!(
                "agent {node}: invalid service name {:?} in its report; ignoring its room",
                room.service
            );
            return;
        };
        let same_data_center = self
            .links
            .get(node)
            .is_some_and(|link| link.same_data_center);
        let report = UpstreamReport {
            service,
            capacity: Need::from(room.capacity.unwrap_or_default()),
            used_by_others: Need::from(room.others.unwrap_or_default()),
            accepts_runs: room.open,
            run_time_ratio: (room.pace_percent > 0).then(|| f64::from(room.pace_percent) / 100.0),
            labels: room.labels,
        };
        let gained = self
            .placer
            .update(node, incarnation, same_data_center, report);
        if gained {
            self.rescan.record_gain();
        }
    }

    /// Forgets the removed agents that have no runs left.
    pub(super) fn forget_removed_agents(&mut self) {
        let placer = &mut self.placer;
        self.links.retain(|node, link| {
            let kept = link.runs.is_listed() || !link.runs.is_empty();
            if !kept {
                placer.remove(node);
            }
            kept
        });
    }

    /// Puts upstreams on trial whose ejection has ended.
    pub(super) fn readmit(&mut self, now: Duration) {
        while let Some(node) = self.placer.readmit(now) {
            self.rescan.record_gain();
            log::info!(
                "agent {node}: its upstream is on trial after an ejection; sending it a few tasks"
            );
        }
    }

    /// Adds a job and starts its tasks. If runs of an earlier job with the same id
    /// still have to stop, its tasks wait for that, so that no task runs twice at
    /// the same time.
    pub(super) fn insert_job(&mut self, number: u64, job: Job) {
        let id = job.submission.id.clone();
        let lane = job.lane.clone();
        self.jobs.insert(number, job);
        self.numbers_by_id.insert(id.clone(), number);
        if self.stopping_runs.contains_key(&id) {
            self.blocked_jobs.insert(id, number);
            return;
        }
        self.requeue(number);
        self.schedule(&lane);
    }

    /// Adds a caller that has submitted a job in progress again. The job may have left its
    /// queue at the deadlines of the others.
    pub(super) fn join(
        &mut self,
        number: u64,
        caller: u64,
        sender: oneshot::Sender<Outcome>,
        deadline: Duration,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.callers.insert(caller, sender);
        job.deadline = job.deadline.max(deadline);
        let blocked = self.blocked_jobs.get(&job.submission.id) == Some(&number);
        if !blocked && !job.waiting.is_empty() {
            self.requeue(number);
        }
    }

    /// Handles the end of a run whose job had ended before. The last such run of a job
    /// unblocks the job that was submitted again under the same id.
    fn stopped_run_ended(&mut self, placed: &PlacedRun) {
        let Some(left) = self.stopping_runs.get_mut(&placed.id) else {
            return;
        };
        *left -= 1;
        if *left > 0 {
            return;
        }
        self.stopping_runs.remove(&placed.id);
        if let Some(blocked) = self.blocked_jobs.remove(&placed.id) {
            self.requeue(blocked);
        }
    }

    /// Ends the jobs that their callers have given up. Their own timers stand still while the
    /// system is suspended.
    pub(super) fn end_overdue_jobs(&mut self) {
        let overdue = self.jobs.iter().filter(|(_, job)| job.is_overdue());
        let overdue: Vec<(u64, bool)> = overdue
            .map(|(number, job)| (*number, job.started))
            .collect();
        for (number, started) in overdue {
            match started {
                true => self.finish_job(number, Outcome::GivenUp),
                false => self.refuse_job(number, RefusalCause::Deadline),
            }
        }
    }

    /// Ends the jobs with starts that are still to be sent to an agent and that their callers
    /// have given up meanwhile: the entry may have stood still since it ordered them.
    pub(super) fn withdraw_overdue_starts(&mut self, node: &Node) {
        let Some(link) = self.links.get(node) else {
            return;
        };
        let jobs: BTreeSet<u64> = link.runs.unsent().map(|placed| placed.job).collect();
        let overdue = |number: &u64| self.jobs.get(number).is_some_and(Job::is_overdue);
        let overdue: Vec<u64> = jobs.into_iter().filter(overdue).collect();
        for number in overdue {
            self.finish_job(number, Outcome::GivenUp);
        }
    }

    /// Ends a job: stops its runs and answers its callers.
    pub(super) fn finish_job(&mut self, number: u64, outcome: Outcome) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let id = job.submission.id;
        self.numbers_by_id.remove(&id);
        self.blocked_jobs.remove(&id);
        self.dequeue(&job.lane, &job.rank);
        for (node, run) in job.tasks.iter_mut().filter_map(|task| task.run.take()) {
            let Some(link) = self.links.get_mut(&node) else {
                continue;
            };
            match link.stop(run) {
                Some(unsent) => self.placer.release(&node, unsent.need),
                None => *self.stopping_runs.entry(id.clone()).or_default() += 1,
            }
        }
        for sender in job.callers.into_values() {
            // The receiver is dropped if the caller has disconnected.
            let _ = sender.send(outcome);
        }
    }
}

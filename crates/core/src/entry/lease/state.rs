//! The scheduler's state: jobs in progress, the queue of each service, and the
//! links to agents.
//!
//! Nothing here blocks or does I/O: orders are left at the [`Link`]s, from which
//! the streams send them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::run::Run;
use gentian::limit::job_queue::{JobQueue, Objective, Rank};
use gentian::limit::retry_after::retry_after;
use gentian::route::outlier::Observation;
use gentian::route::placement::{is_worth_moving, PlacementRequest, Placer, UpstreamReport};
use gentian::route::run_times;
use gentian::wire::agent::{End, Fate, Progress, Refusal, Room};
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Need;
use rand::rngs::StdRng;
use rand::SeedableRng;

use crate::logging::is_sampled;
use crate::metrics;

use super::job::{Job, Outcome, RefusalCause, Submission};
use super::link::{Link, PlacedRun};

/// Number of configured queues whose run times are learned separately.
const MAX_LEARNED_QUEUES: usize = 256;
/// A task that already avoids this many upstreams is not moved to another one.
const MAX_MOVES: usize = 3;
/// Time without progress after which a run counts as hung.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Added to a task's run number when an agent reports that it has admitted this run
/// or a later one before. Run numbers start again with each submission of a job, so
/// an earlier submission may have used higher ones; the step skips these.
const RUN_NUMBER_STEP: u64 = 1_000;
/// Retry delay for refused callers when the wait can't be estimated.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The scheduler's state, guarded by the dispatcher's lock.
#[derive(Debug)]
pub(super) struct State {
    metrics: Arc<metrics::Jobs>,
    /// Chooses upstreams and keeps account of their free capacity.
    pub(super) placer: Placer,
    /// Jobs with tasks that wait for capacity, by service.
    job_queues: BTreeMap<Service, JobQueue>,
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
    /// Ratios of measured to declared run times by configured queue. The table holds
    /// durations; a ratio of 1 is stored as one second.
    run_time_ratios: run_times::Table<String>,
    rng: StdRng,
}

impl State {
    pub(super) fn new(entry: &Node, metrics: Arc<metrics::Jobs>) -> State {
        State {
            metrics,
            placer: Placer::new(entry),
            job_queues: BTreeMap::new(),
            jobs: HashMap::new(),
            numbers_by_id: HashMap::new(),
            stopping_runs: HashMap::new(),
            blocked_jobs: HashMap::new(),
            last_number: 0,
            links: BTreeMap::new(),
            run_time_ratios: run_times::Table::new(MAX_LEARNED_QUEUES),
            rng: StdRng::from_os_rng(),
        }
    }

    /// How long a job may wait and take, by the settings of its queue and its expected
    /// run time.
    pub(super) fn objective(&self, submission: &Submission) -> Objective {
        let queue = &submission.queue;
        Objective {
            critical_path: self.expected(submission, submission.critical_path()),
            stretch: queue.stretch,
            target: queue.target(),
        }
    }

    /// Expected run time of tasks that were declared to run for `declared`: scaled by
    /// the median ratio of measured to declared run times in the job's queue.
    fn expected(&self, submission: &Submission, declared: Duration) -> Duration {
        let ratio = self
            .run_time_ratios
            .get(&submission.queue.name)
            .quantile(0.5);
        let ratio = ratio.map_or(1.0, |ratio| ratio.as_secs_f64());
        declared.mul_f64(ratio)
    }

    /// The refusal of a job that no upstream can run or that would wait for too long;
    /// none if the job is admitted.
    pub(super) fn admission_refusal(
        &self,
        submission: &Submission,
        objective: &Objective,
        rank: &Rank,
    ) -> Option<Outcome> {
        let service = &submission.service;
        for step in &submission.steps {
            if self.placer.could_ever_fit(service, step.need) == Some(false) {
                return Some(Outcome::Refused(
                    DEFAULT_RETRY_AFTER,
                    RefusalCause::TooLarge,
                ));
            }
            if !self.placer.serves(service, &step.constraints) {
                return Some(Outcome::Refused(
                    DEFAULT_RETRY_AFTER,
                    RefusalCause::NoUpstream,
                ));
            }
        }
        let job_queue = self.job_queues.get(service)?;
        let wait = job_queue.expected_wait(rank, self.available_cores(service));
        (wait > objective.max_wait()).then_some(Outcome::Refused(wait, RefusalCause::Overload))
    }

    /// Number of cores that this entry's tasks of a service use or could use now.
    fn available_cores(&self, service: &Service) -> f64 {
        f64::from(self.placer.own_share(service).cpu) / 1e3
    }

    /// Counts and logs the refusal of a job in progress.
    pub(super) fn record_job_refusal(&self, number: u64, cause: RefusalCause, after: Duration) {
        if let Some(job) = self.jobs.get(&number) {
            self.record_refusal(&job.submission, cause, after, job.arrived_at.elapsed());
        }
    }

    /// Counts and logs a refusal, with the values that led to it.
    pub(super) fn record_refusal(
        &self,
        submission: &Submission,
        cause: RefusalCause,
        after: Duration,
        waited: Duration,
    ) {
        self.metrics.refused(&cause.to_string());
        let job_queue = self.job_queues.get(&submission.service);
        tracing::info!(
            event = "refused",
            request = %submission.id,
            queue = submission.queue.name,
            cause = %cause,
            retry_after_ms = after.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            tasks = submission.task_count(),
            cpu = submission.max_cpu(),
            jobs_in_line = job_queue.map_or(0, JobQueue::len),
            own_cores = self.available_cores(&submission.service),
        );
    }

    /// When a caller whose job is refused should submit it again: after about the
    /// time that a job of this rank would wait.
    pub(super) fn retry_after(&mut self, service: &Service, rank: &Rank) -> Duration {
        let cores = self.available_cores(service);
        let job_queue = self.job_queues.get(service);
        let wait = job_queue.map_or(DEFAULT_RETRY_AFTER, |queue| {
            queue.expected_wait(rank, cores)
        });
        retry_after(wait, &mut self.rng)
    }

    fn enqueue(&mut self, service: &Service, rank: Rank, work: f64) {
        self.job_queues
            .entry(service.clone())
            .or_default()
            .insert(rank, work);
    }

    fn dequeue(&mut self, service: &Service, rank: &Rank) {
        if let Some(job_queue) = self.job_queues.get_mut(service) {
            job_queue.remove(rank);
        }
    }

    /// Starts waiting tasks of all services whose upstreams have free capacity.
    pub(super) fn schedule_all(&mut self) {
        let waiting = self
            .job_queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Service> = waiting.map(|(service, _)| service.clone()).collect();
        for service in services {
            self.schedule(&service);
        }
    }

    /// Starts waiting tasks of one service in order of their jobs' ranks, until no
    /// upstream has room for the next task. A task that only some upstreams may run
    /// doesn't block the jobs behind it.
    pub(super) fn schedule(&mut self, service: &Service) {
        let mut skipped: Option<Rank> = None;
        loop {
            let job_queue = self.job_queues.get(service);
            let next = job_queue.and_then(|queue| queue.next(skipped.as_ref()));
            let Some(rank) = next.copied() else {
                return;
            };
            let number = rank.arrival;
            let blocked = loop {
                let Some(index) = self.jobs[&number].waiting.front().copied() else {
                    break None;
                };
                if !self.start_task(service, number, index) {
                    break Some(index);
                }
            };
            let Some(index) = blocked else {
                self.dequeue(service, &rank);
                continue;
            };
            self.requeue(number);
            if !self.jobs[&number]
                .step_of(index)
                .constraints
                .is_restrictive()
            {
                return;
            }
            skipped = Some(rank);
        }
    }

    /// Starts one task of a job; returns false if no upstream has room for it.
    fn start_task(&mut self, service: &Service, number: u64, index: usize) -> bool {
        let job = &self.jobs[&number];
        let step = job.step_of(index);
        let (need, expected) = (step.need, self.expected(&job.submission, step.estimate));
        let request = PlacementRequest {
            need,
            constraints: &step.constraints,
            avoid: &job.tasks[index].avoided,
            excluded: &job.nodes_at_limit(index),
        };
        let Some(node) = self.placer.place(service, &request) else {
            return false;
        };
        let far_from_data = !self.placer.is_near(&node, &step.constraints);
        let job = self
            .jobs
            .get_mut(&number)
            .expect("waiting jobs are in progress");
        let task = &mut job.tasks[index];
        let link = self
            .links
            .get_mut(&node)
            .expect("tasks are placed at known agents only");
        task.last_run += 1;
        let run = Run {
            task: task.name.clone(),
            number: task.last_run,
        };
        task.run = Some((node, run.clone()));
        let placed = PlacedRun {
            job: number,
            id: job.submission.id.clone(),
            index,
            need,
            far_from_data,
            ordered_at: Instant::now(),
            progress: (0, Instant::now()),
            stop_ordered: false,
            incarnation: link.incarnation,
        };
        link.start(&run, placed, service, &job.submission.spec, expected);
        if is_sampled(&job.submission.id) {
            tracing::info!(
                event = "ordered",
                request = %job.submission.id,
                run = %run,
                agent = %link.node,
                expected_ms = expected.as_millis() as u64,
                told_ms_ago = link.last_report_at.elapsed().as_millis() as u64,
            );
        }
        job.waiting.pop_front();
        if !job.started {
            self.metrics.waited(job.arrived_at.elapsed());
        }
        job.started = true;
        true
    }

    /// Updates a job's position in its service's queue, and the amount of work that it
    /// has waiting there.
    fn requeue(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let before = job.rank;
        job.rank.not_started = !job.started;
        let (rank, work) = (job.rank, job.work());
        let service = job.submission.service.clone();
        self.dequeue(&service, &before);
        self.enqueue(&service, rank, work);
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
        self.placer
            .update(node, incarnation, same_data_center, report);
    }

    /// Handles the end of a run: frees its capacity, updates the statistics of its
    /// upstream and continues or ends the job.
    pub(super) fn run_ended(&mut self, node: &Node, end: End, now: Duration) {
        let Some(run) = end.run.as_ref().map(Run::from) else {
            return;
        };
        let link = self.links.get_mut(node);
        let Some(placed) = link.and_then(|link| link.runs.remove(&run)) else {
            return;
        };
        self.placer.release(node, placed.need);
        let Some(job) = self.jobs.get(&placed.job) else {
            return self.stopped_run_ended(&placed);
        };
        if end.fate() != Fate::Done {
            self.metrics.returned(end.fate().as_str_name());
        }
        if end.fate() != Fate::Done || is_sampled(&placed.id) {
            tracing::info!(
                event = "run_over",
                request = %placed.id,
                run = %run,
                agent = %node,
                fate = end.fate().as_str_name(),
                refusal = end.refusal().as_str_name(),
                ran_ms = end.run_ms,
                told_after_ms = placed.ordered_at.elapsed().as_millis() as u64,
            );
        }
        let queue = job.submission.queue.name.clone();
        let declared = job.step_of(placed.index).estimate;
        let ran = Duration::from_millis(end.run_ms.into());
        let expected = Some(self.expected(&job.submission, declared));
        let declared = declared.as_secs_f64();
        let observation = match end.fate() {
            // Far from its data, a task takes longer even at a healthy upstream, so its
            // run time says nothing about the upstream.
            Fate::Done if placed.far_from_data => None,
            Fate::Done => Some(Observation::Good { run: ran, expected }),
            Fate::Failed => Some(Observation::Bad),
            Fate::Refused => match end.refusal() {
                Refusal::Unhealthy | Refusal::NoAnswer => Some(Observation::Refused),
                _ => None,
            },
            Fate::Lost | Fate::Stopped | Fate::Unspecified => None,
        };
        if let Some(observation) = observation {
            let change = self.placer.observe(node, observation, now, &mut self.rng);
            if let Some(standing) = change {
                log::warn!(
                    "agent {node}: its upstream is {standing} after {run} ended as {observation:?}"
                );
            }
        }
        if end.fate() == Fate::Done && declared > 0.0 && !placed.far_from_data {
            let ratio = ran.as_secs_f64() / declared;
            self.run_time_ratios
                .observe(queue, Duration::from_secs_f64(ratio));
        }
        self.update_task(node, &run, &placed, &end);
    }

    /// Updates the task whose run has ended, and continues or ends its job.
    fn update_task(&mut self, node: &Node, run: &Run, placed: &PlacedRun, end: &End) {
        let Some(job) = self.jobs.get_mut(&placed.job) else {
            return;
        };
        let attempts = job.submission.queue.attempts;
        let task = &mut job.tasks[placed.index];
        if task.run.as_ref().is_none_or(|(_, current)| current != run) {
            return;
        }
        task.run = None;
        task.moving = false;
        match end.fate() {
            Fate::Done => {
                job.task_done(placed.index);
                match (job.is_done(), job.waiting.is_empty()) {
                    (true, _) => self.finish_job(placed.job, Outcome::Completed),
                    (false, false) => self.requeue(placed.job),
                    (false, true) => {}
                }
                return;
            }
            Fate::Failed => {
                task.failures += 1;
                task.avoided.push(node.clone());
                if task.failures >= attempts {
                    return self.finish_job(placed.job, Outcome::Failed);
                }
            }
            Fate::Refused if end.refusal() == Refusal::OldRun => task.last_run += RUN_NUMBER_STEP,
            Fate::Refused if end.refusal() == Refusal::Full => {}
            Fate::Refused | Fate::Lost | Fate::Stopped | Fate::Unspecified => {
                task.avoided.push(node.clone());
            }
        }
        job.waiting.push_back(placed.index);
        self.requeue(placed.job);
    }

    /// Handles the loss of a run that reported no end, because its agent was removed,
    /// has restarted or no longer answers.
    pub(super) fn run_lost(&mut self, node: &Node, run: &Run, placed: &PlacedRun) {
        self.placer.release(node, placed.need);
        self.metrics.returned("FATE_SILENT");
        tracing::warn!(
            event = "run_given_up",
            request = %placed.id,
            run = %run,
            agent = %node,
            ordered_ms_ago = placed.ordered_at.elapsed().as_millis() as u64,
        );
        if !self.jobs.contains_key(&placed.job) {
            return self.stopped_run_ended(placed);
        }
        let end = End {
            fate: Fate::Lost.into(),
            ..End::default()
        };
        self.update_task(node, run, placed, &end);
    }

    /// Handles a progress report. A run that has stalled, or that is so slow that its
    /// task would end earlier at another upstream, is stopped. Its task starts
    /// elsewhere once the stop has been reported.
    pub(super) fn run_progressed(&mut self, node: &Node, progress: Progress, now: Duration) {
        let Some(run) = progress.run.as_ref().map(Run::from) else {
            return;
        };
        let link = self.links.get_mut(node);
        let Some(placed) = link.and_then(|link| link.runs.get_mut(&run)) else {
            return;
        };
        if placed.progress.0 != progress.percent {
            placed.progress = (progress.percent, Instant::now());
        }
        let stalled = placed.progress.1.elapsed() > STALL_TIMEOUT;
        let placed = placed.clone();
        let Some(job) = self.jobs.get(&placed.job) else {
            return;
        };
        let task = &job.tasks[placed.index];
        if task.moving || task.avoided.len() >= MAX_MOVES {
            return;
        }
        let (elapsed, percent) = (placed.ordered_at.elapsed(), progress.percent);
        let slowness = self.placer.slowness(node);
        let slow = !placed.far_from_data && is_worth_moving(elapsed, percent, slowness);
        if !stalled && !slow {
            return;
        }
        let expected = self.expected(&job.submission, job.step_of(placed.index).estimate);
        tracing::info!(
            event = "moved",
            request = %placed.id,
            run = %run,
            agent = %node,
            percent,
            elapsed_ms = elapsed.as_millis() as u64,
            expected_ms = expected.as_millis() as u64,
            slowness,
            stands = stalled,
        );
        let observation = Observation::Overdue { elapsed, expected };
        self.placer.observe(node, observation, now, &mut self.rng);
        if let Some(job) = self.jobs.get_mut(&placed.job) {
            job.tasks[placed.index].moving = true;
        }
        if let Some(link) = self.links.get_mut(node) {
            link.stop(run);
        }
    }

    /// Puts upstreams on trial whose ejection has ended.
    pub(super) fn readmit(&mut self, now: Duration) {
        while let Some(node) = self.placer.readmit(now) {
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
        let service = job.submission.service.clone();
        self.jobs.insert(number, job);
        self.numbers_by_id.insert(id.clone(), number);
        if self.stopping_runs.contains_key(&id) {
            self.blocked_jobs.insert(id, number);
            return;
        }
        self.requeue(number);
        self.schedule(&service);
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

    /// Ends a job: stops its runs and answers its callers.
    pub(super) fn finish_job(&mut self, number: u64, outcome: Outcome) {
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        let id = job.submission.id;
        self.numbers_by_id.remove(&id);
        self.blocked_jobs.remove(&id);
        self.dequeue(&job.submission.service, &job.rank);
        for (node, run) in job.tasks.iter_mut().filter_map(|task| task.run.take()) {
            if let Some(link) = self.links.get_mut(&node) {
                link.stop(run);
                *self.stopping_runs.entry(id.clone()).or_default() += 1;
            }
        }
        for sender in job.callers.into_values() {
            // The receiver is dropped if the caller has disconnected.
            let _ = sender.send(outcome);
        }
    }
}

//! Admission of jobs: their objectives, and refusals.

use std::time::{Duration, Instant};

use gentian::limit::job_queue::{JobQueue, Objective, Rank};
use gentian::limit::retry_after::retry_after;
use gentian::wire::need::Constraints;
use tokio::sync::oneshot;

use crate::clock;

use super::super::job::{Job, Lane, Outcome, Refusal, RefusalCause, Submission, Times};
use super::{crashes, State};

/// Retry delay for refused callers when the wait can't be estimated.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry delay for callers whose jobs only crashed upstreams could take: about the time
/// that an upstream takes to restart.
const CONFINED_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Retry delay for callers whose jobs only drained upstreams could take: operators, not
/// load, decide how long that lasts.
const DENIED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Time after a start within which an entry hears from the agents. Until then jobs wait for
/// upstreams, within their limits, rather than being refused for want of them.
const GATHERING_TIME: Duration = Duration::from_secs(1);

impl State {
    /// How long a job may wait and take, by the settings of its queue and its expected
    /// run time.
    pub(in crate::entry::lease) fn objective(&self, submission: &Submission) -> Objective {
        let queue = &submission.queue;
        Objective {
            critical_path: self.expected(submission, submission.critical_path()),
            stretch: queue.stretch,
            target: queue.target(),
        }
    }

    /// Expected run time, at an average upstream, of tasks that were declared to run for
    /// `declared`: scaled by the median ratio of actual to declared run times in the job's
    /// queue.
    pub(super) fn expected(&self, submission: &Submission, declared: Duration) -> Duration {
        let ratio = self
            .run_time_ratios
            .get(&submission.queue.name)
            .quantile(0.5);
        let ratio = ratio.map_or(1.0, |ratio| ratio.as_secs_f64());
        declared.mul_f64(ratio)
    }

    /// Refuses a job, of which nothing but its priority need be known, if this process lags
    /// so much that it can't take all.
    pub(in crate::entry::lease) fn refuse_by_lag(
        &mut self,
        priority: u32,
        lag: Duration,
        now: Duration,
    ) -> Option<Refusal> {
        if self.throttle.admit(priority, lag, now) {
            return None;
        }
        let delay = retry_after(self.throttle.retry_delay(), &mut self.rng);
        Some(Refusal::new(RefusalCause::Lag, delay))
    }

    /// Adds a job under this number, or answers its caller at once: that it is refused, or that
    /// it has failed before at another entry.
    pub(in crate::entry::lease) fn admit(
        &mut self,
        number: u64,
        submission: Submission,
        objective: Objective,
        times: Times,
        caller: oneshot::Sender<Outcome>,
    ) {
        let rank = Rank {
            suspect: false,
            not_started: true,
            priority: submission.queue.priority,
            start_by: self.origin.elapsed() + objective.max_wait(),
            arrival: number,
        };
        let lane = self.lane(&submission);
        let given_up = self.given_up_outcome(&submission);
        if given_up.is_none() {
            self.record_demand(&submission, &objective, &lane);
        }
        let outcome = given_up.or_else(|| {
            let refusal = self.refuse_on_arrival(&submission, &objective, &lane, &rank, times)?;
            Some(Outcome::Refused(refusal))
        });
        if let Some(outcome) = outcome {
            if caller.send(outcome).is_err() {
                log::debug!("job {}: its caller left before its answer", submission.id);
            }
            return;
        }
        let mut job = Job::new(submission, objective, lane, rank, times);
        job.callers.insert(number, caller);
        self.insert_job(number, job);
    }

    /// Refuses a job that no upstream can run, that would wait for too long or that its caller
    /// has given up, and counts and logs that; returns none if the job is admitted.
    fn refuse_on_arrival(
        &mut self,
        submission: &Submission,
        objective: &Objective,
        lane: &Lane,
        rank: &Rank,
        times: Times,
    ) -> Option<Refusal> {
        let waited = times.arrived.elapsed();
        let overdue = clock::now() >= times.deadline;
        let late = match (overdue, objective.allows_start_after(waited)) {
            (true, _) => Some(RefusalCause::Deadline),
            (false, false) => Some(RefusalCause::Waited),
            (false, true) => None,
        };
        let refusal = match late {
            Some(cause) => Some(Refusal::new(cause, self.retry_after(lane, rank))),
            None => self.find_refusal(submission, objective, lane, rank),
        };
        let refusal = refusal?;
        if lane.confined && late.is_none() {
            self.refused_at.insert(lane.clone(), Instant::now());
        }
        self.record_refusal(submission, refusal, waited);
        Some(refusal)
    }

    /// Whether this entry has started so lately that upstreams which it doesn't know may take
    /// tasks.
    fn is_gathering(&self) -> bool {
        let first = self.first_agent_at;
        first.is_none_or(|at| at.elapsed() < GATHERING_TIME)
    }

    /// Why a job can't be admitted, if it can't.
    fn find_refusal(
        &self,
        submission: &Submission,
        objective: &Objective,
        lane: &Lane,
        rank: &Rank,
    ) -> Option<Refusal> {
        if self.is_gathering() {
            return None;
        }
        let service = &submission.service;
        for step in &submission.steps {
            if self.placer.could_ever_fit(service, step.need) == Some(false) {
                return Some(Refusal::new(RefusalCause::TooLarge, DEFAULT_RETRY_AFTER));
            }
            let pool = crashes::pool(&self.bulkheads, &self.placer, lane, &step.constraints);
            if !self.placer.serves(service, &step.constraints, pool) {
                let denied = self.placer.is_denied(service, &step.constraints);
                return Some(match (lane.confined, denied) {
                    (true, _) => Refusal::new(RefusalCause::Confined, CONFINED_RETRY_AFTER),
                    (_, true) => Refusal::new(RefusalCause::Denied, DENIED_RETRY_AFTER),
                    _ => Refusal::new(RefusalCause::NoUpstream, DEFAULT_RETRY_AFTER),
                });
            }
        }
        let job_queue = self.job_queues.get(lane)?;
        let wait = job_queue.expected_wait(rank, self.available_cores(lane));
        (wait > objective.max_wait()).then(|| Refusal::new(RefusalCause::Overload, wait))
    }

    /// Number of cores that this entry's tasks in a lane use or could use now.
    pub(super) fn available_cores(&self, lane: &Lane) -> f64 {
        let any = Constraints::default();
        let pool = crashes::pool(&self.bulkheads, &self.placer, lane, &any);
        f64::from(self.placer.own_share(&lane.service, pool).cpu) / 1e3
    }

    /// Refuses a job in progress that has started no task.
    pub(in crate::entry::lease) fn refuse_job(&mut self, number: u64, cause: RefusalCause) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let (lane, rank, waited) = (job.lane.clone(), job.rank, job.arrived_at.elapsed());
        let refusal = Refusal::new(cause, self.retry_after(&lane, &rank));
        self.record_refusal(&self.jobs[&number].submission, refusal, waited);
        if lane.confined && !rank.suspect {
            self.refused_at.insert(lane, Instant::now());
        }
        self.finish_job(number, Outcome::Refused(refusal));
    }

    /// Counts and logs a refusal, with the values that led to it.
    fn record_refusal(&self, submission: &Submission, refusal: Refusal, waited: Duration) {
        self.metrics.refused(&refusal.cause.to_string());
        let lane = self.lane(submission);
        let job_queue = self.job_queues.get(&lane);
        let capacity = self.capacity(&lane);
        let spare = self.spare(&lane, capacity, submission.queue.priority, waited);
        tracing::info!(
            event = "refused",
            request = %submission.id,
            queue = submission.queue.name,
            cause = %refusal.cause,
            retry_after_ms = refusal.retry_after.as_millis() as u64,
            waited_ms = waited.as_millis() as u64,
            tasks = submission.task_count(),
            cpu = submission.max_cpu(),
            jobs_in_line = job_queue.map_or(0, JobQueue::len),
            own_cores = self.available_cores(&lane),
            free_cores = spare.free,
            kept_cores = spare.kept,
        );
    }

    /// When a caller whose job is refused should submit it again: after about the
    /// time that a job of this rank would wait.
    pub(in crate::entry::lease) fn retry_after(&mut self, lane: &Lane, rank: &Rank) -> Duration {
        let cores = self.available_cores(lane);
        let job_queue = self.job_queues.get(lane);
        let wait = job_queue.map_or(DEFAULT_RETRY_AFTER, |queue| {
            queue.expected_wait(rank, cores)
        });
        retry_after(wait, &mut self.rng)
    }
}

//! The queues of waiting jobs, and the placement of their tasks.

use std::time::{Duration, Instant};

use gentian::claim::run::{Isolation, Run};
use gentian::limit::backfill::Backfill;
use gentian::limit::job_queue::Rank;
use gentian::route::placement::{self, Blocked, Due, PlacementRequest};

use super::super::job::Lane;
use super::super::link::PlacedRun;
use super::{crashes, State};
use crate::logging::is_sampled;

/// Time after a refusal for which tasks wait under which upstreams have crashed.
const SUSPECT_DELAY: Duration = Duration::from_secs(1);

impl State {
    pub(super) fn enqueue(&mut self, lane: &Lane, rank: Rank, work: f64) {
        self.job_queues
            .entry(lane.clone())
            .or_default()
            .insert(rank, work);
    }

    pub(super) fn dequeue(&mut self, lane: &Lane, rank: &Rank) {
        if let Some(job_queue) = self.job_queues.get_mut(lane) {
            job_queue.remove(rank);
        }
    }

    /// Starts waiting tasks after an agent's report, if it may have made room for them.
    pub(in crate::entry::lease) fn reschedule(&mut self, now: Duration) {
        if self.rescan.take_due(now) {
            self.schedule_all();
        }
    }

    /// Starts waiting tasks of all services whose upstreams have free capacity.
    pub(in crate::entry::lease) fn schedule_all(&mut self) {
        let waiting = self
            .job_queues
            .iter()
            .filter(|(_, queue)| !queue.is_empty());
        let lanes: Vec<Lane> = waiting.map(|(lane, _)| lane.clone()).collect();
        for lane in lanes {
            self.schedule(&lane);
        }
    }

    /// Starts waiting tasks of one lane in order of their jobs' ranks. A job whose next task
    /// finds no room is passed over, which [`Backfill`] bounds; one whose task only some
    /// upstreams may run, or only an empty one, is passed over in any case.
    pub(in crate::entry::lease) fn schedule(&mut self, lane: &Lane) {
        let mut pass = Backfill::default();
        let mut passed: Option<Rank> = None;
        let mut capacity = self.capacity(lane);
        loop {
            let job_queue = self.job_queues.get(lane);
            let next = job_queue.and_then(|queue| queue.next(passed.as_ref()));
            let Some(rank) = next.copied() else {
                return;
            };
            if self.jobs[&rank.arrival].is_overdue() {
                // Its callers' requests end it, once they get to run.
                self.dequeue(lane, &rank);
                continue;
            }
            if rank.suspect && self.is_pressed(lane) {
                return;
            }
            if rank.not_started && !self.has_headroom(lane, capacity, &rank) {
                // Those behind it with its priority have hardly waited longer.
                passed = Some(rank.last_of_priority());
                continue;
            }
            let before = self.jobs[&rank.arrival].waiting.len();
            let blocked = self.start_tasks(rank.arrival, &mut pass);
            let any_started = self.jobs[&rank.arrival].waiting.len() < before;
            if any_started {
                capacity = self.capacity(lane);
            }
            let Some(index) = blocked else {
                self.dequeue(lane, &rank);
                continue;
            };
            // Whether a confined job is suspect may have changed meanwhile.
            if any_started || lane.confined {
                self.requeue(rank.arrival);
            }
            if !self.is_restricted(rank.arrival, index) && !pass.pass_over() {
                return;
            }
            passed = Some(rank);
        }
    }

    /// Starts the waiting tasks of a job in turn. Returns the first that can't be started.
    fn start_tasks(&mut self, number: u64, pass: &mut Backfill) -> Option<usize> {
        loop {
            let job = &self.jobs[&number];
            let index = job.waiting.front().copied()?;
            let need = job.step_of(index).need;
            let restricted = self.is_restricted(number, index);
            if !restricted && !pass.may_fit(need) {
                return Some(index);
            }
            match self.start_task(number, index) {
                Ok(()) => {
                    if pass.has_passed_over() {
                        self.metrics.backfilled();
                    }
                }
                Err(blocked) => {
                    match blocked {
                        Blocked::Late => {
                            self.metrics.held();
                            pass.record_late();
                        }
                        Blocked::NoRoom if restricted => {}
                        Blocked::NoRoom => pass.record_no_room(need),
                    }
                    return Some(index);
                }
            }
        }
    }

    /// Whether a task may run only at some upstreams, or beside some tasks, so that it says
    /// nothing of others if there is no room for it.
    fn is_restricted(&self, number: u64, index: usize) -> bool {
        let job = &self.jobs[&number];
        let isolation = self.isolation(&job.tasks[index].name, &job.lane);
        isolation == Isolation::Alone || job.step_of(index).constraints.is_restrictive()
    }

    /// Whether jobs were refused in a lane a moment ago. What may crash one more upstream
    /// is not tried then.
    fn is_pressed(&self, lane: &Lane) -> bool {
        let refused_at = self.refused_at.get(lane);
        refused_at.is_some_and(|at| at.elapsed() < SUSPECT_DELAY)
    }

    /// Starts one task of a job.
    pub(super) fn start_task(&mut self, number: u64, index: usize) -> placement::Result<()> {
        let job = &self.jobs[&number];
        let step = job.step_of(index);
        let (need, expected) = (step.need, self.expected(&job.submission, step.estimate));
        let task = &job.tasks[index];
        let isolation = self.isolation(&task.name, &job.lane);
        let pool = crashes::pool(&self.bulkheads, &self.placer, &job.lane, &step.constraints);
        let left = job.time_left(index);
        let request = PlacementRequest {
            avoid: &task.avoided,
            excluded: &job.nodes_at_limit(index),
            pool,
            beside: (isolation != Isolation::Shared).then_some(&job.submission.id),
            alone: isolation == Isolation::Alone,
            due: Some(Due { left, expected }),
            ..PlacementRequest::new(need, &step.constraints)
        };
        let node = self.placer.place(&job.submission.service, &request)?;
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
            isolation,
        };
        let required_label = job.step_of(index).constraints.required_label.as_deref();
        link.start(&run, placed, &job.submission, required_label, expected);
        if is_sampled(&job.submission.id) {
            tracing::info!(
                event = "ordered",
                request = %job.submission.id,
                run = %run,
                agent = %link.node,
                expected_ms = expected.as_millis() as u64,
                usual_slowness = self.placer.run_time_ratio(&link.node),
                left_ms = left.as_millis() as u64,
                told_ms_ago = link.last_report_at.elapsed().as_millis() as u64,
            );
        }
        job.waiting.pop_front();
        if !job.started {
            self.metrics.waited(job.arrived_at.elapsed());
        }
        job.started = true;
        Ok(())
    }

    /// Updates a job's position in its service's queue, and the amount of work that it
    /// has waiting there.
    pub(super) fn requeue(&mut self, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let lane = self.lane(&job.submission);
        let suspect = lane.confined && self.has_suspect(&job.submission);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let before = job.rank;
        job.rank.not_started = !job.started;
        job.rank.suspect = suspect;
        let (rank, work) = (job.rank, job.work());
        let left = std::mem::replace(&mut job.lane, lane.clone());
        self.dequeue(&left, &before);
        self.enqueue(&lane, rank, work);
    }
}

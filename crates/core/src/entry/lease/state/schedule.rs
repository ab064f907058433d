//! The queues of waiting jobs, and the placement of their tasks.

use std::time::Instant;

use gentian::claim::run::Run;
use gentian::limit::job_queue::Rank;
use gentian::route::placement::PlacementRequest;
use gentian::wire::id::Service;

use super::super::link::PlacedRun;
use super::State;
use crate::logging::is_sampled;

impl State {
    pub(super) fn enqueue(&mut self, service: &Service, rank: Rank, work: f64) {
        self.job_queues
            .entry(service.clone())
            .or_default()
            .insert(rank, work);
    }

    pub(super) fn dequeue(&mut self, service: &Service, rank: &Rank) {
        if let Some(job_queue) = self.job_queues.get_mut(service) {
            job_queue.remove(rank);
        }
    }

    /// Starts waiting tasks of all services whose upstreams have free capacity.
    pub(in crate::entry::lease) fn schedule_all(&mut self) {
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
    pub(in crate::entry::lease) fn schedule(&mut self, service: &Service) {
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
    pub(super) fn start_task(&mut self, service: &Service, number: u64, index: usize) -> bool {
        let job = &self.jobs[&number];
        let step = job.step_of(index);
        let (need, expected) = (step.need, self.expected(&job.submission, step.estimate));
        let request = PlacementRequest {
            avoid: &job.tasks[index].avoided,
            excluded: &job.nodes_at_limit(index),
            ..PlacementRequest::new(need, &step.constraints)
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
            alone: false,
            stop_ordered: false,
            incarnation: link.incarnation,
        };
        link.start(&run, placed, &job.submission, expected);
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
    pub(super) fn requeue(&mut self, number: u64) {
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
}

//! Ends and progress of runs.

use std::time::{Duration, Instant};

use gentian::claim::run::Run;
use gentian::route::outlier::Observation;
use gentian::route::placement::should_move;
use gentian::wire::agent::{End, Fate, Progress, Refusal};
use gentian::wire::id::Node;

use super::super::job::{Outcome, RefusalCause};
use super::super::link::PlacedRun;
use super::State;
use crate::logging::is_sampled;

/// A task that already avoids this many upstreams is not moved to another one.
const MAX_MOVES: usize = 3;
/// Time without progress after which a run counts as hung.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Added to a task's run number when an agent reports that it has admitted this run
/// or a later one before. Run numbers start again with each submission of a job, so
/// an earlier submission may have used higher ones; the step skips these.
const RUN_NUMBER_STEP: u64 = 1_000;

impl State {
    /// Handles the end of a run: frees its capacity, updates the statistics of its
    /// upstream and continues or ends the job.
    pub(in crate::entry::lease) fn run_ended(&mut self, node: &Node, end: End, now: Duration) {
        let Some(run) = end.run.as_ref().map(Run::from) else {
            return;
        };
        let link = self.links.get_mut(node);
        let Some(placed) = link.and_then(|link| link.runs.end(&run)) else {
            return;
        };
        self.placer.release(node, placed.need);
        let Some(job) = self.jobs.get(&placed.job) else {
            return self.stopped_run_ended(&placed);
        };
        if end.fate() != Fate::Done {
            self.metrics.returned(end.fate().as_str_name());
        }
        let usual = end.fate() == Fate::Done || end.refusal() == Refusal::Full;
        if !usual || is_sampled(&placed.id) {
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
            let ratio = ran.as_secs_f64() / declared / self.placer.run_time_ratio(node);
            self.run_time_ratios
                .observe(queue, Duration::from_secs_f64(ratio));
        }
        self.update_task(node, &run, &placed, &end);
    }

    /// Updates the task whose run has ended, and continues or ends its job.
    pub(super) fn update_task(&mut self, node: &Node, run: &Run, placed: &PlacedRun, end: &End) {
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
        job.record_end(end.fate() == Fate::Refused);
        let task = &mut job.tasks[placed.index];
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
            // The report that tells of the refusal tells of the cause, too.
            Fate::Refused
                if matches!(
                    end.refusal(),
                    Refusal::Full | Refusal::Denied | Refusal::Unsuitable
                ) => {}
            Fate::Refused | Fate::Lost | Fate::Stopped | Fate::Unspecified => {
                task.avoided.push(node.clone());
            }
        }
        job.waiting.push_back(placed.index);
        // A job that finds no room in time is refused. One whose start was refused for another
        // reason may find room at once at another upstream.
        let no_room = end.refusal() == Refusal::Full;
        let overdue = self.origin.elapsed() >= job.rank.start_by;
        if no_room && overdue && !job.started {
            return self.refuse_job(placed.job, RefusalCause::Waited);
        }
        self.requeue(placed.job);
    }

    /// Handles the loss of a run that reported no end, because its agent was removed,
    /// has restarted or no longer answers.
    pub(in crate::entry::lease) fn run_lost(&mut self, node: &Node, run: &Run, placed: &PlacedRun) {
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
    pub(in crate::entry::lease) fn run_progressed(
        &mut self,
        node: &Node,
        progress: Progress,
        now: Duration,
    ) {
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
        let slow = !placed.far_from_data && should_move(elapsed, percent, slowness);
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
        let link = self.links.get_mut(node);
        if let Some(unsent) = link.and_then(|link| link.stop(run.clone())) {
            self.run_lost(node, &run, &unsent);
        }
    }
}

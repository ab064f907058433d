//! What simulated workers have seen of the tasks that they ran.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// What the workers, taken together, have observed of the tasks.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    /// Number of starts, by task.
    pub(crate) starts: BTreeMap<String, u64>,
    /// Tasks that ran more than once at the same time.
    pub(crate) concurrent: BTreeSet<String>,
    /// Tasks that began while a task of another step of their job was running.
    pub(crate) overlapping_steps: BTreeSet<String>,
    /// All runs that began: the task, the number of the run and the id of the worker.
    pub(crate) runs: Vec<(String, u64, String)>,
    /// When a run last began, by worker.
    pub(crate) last_start: BTreeMap<String, Instant>,
    /// Most runs of a step at one worker at the same time, by worker and step.
    pub(crate) most_at_once: BTreeMap<(String, String), usize>,
    /// Workers that run the task, by task. A run is over when its worker's lease has ended,
    /// even if the worker is late to notice.
    pub(super) running: BTreeMap<String, BTreeSet<String>>,
    /// When the lease of each worker ends.
    pub(super) lease_ends: BTreeMap<String, Instant>,
    /// Number of runs that have ended, by how they ended.
    pub(crate) ends: BTreeMap<&'static str, u64>,
    /// Tasks of which a run was completed.
    pub(crate) done: BTreeSet<String>,
    /// Tasks that crash each worker that starts them.
    pub(crate) deadly: BTreeSet<String>,
    /// Number of times that a worker crashed while it ran the task, by task.
    pub(crate) crashes: BTreeMap<String, u64>,
}

impl Observations {
    /// Records a start of a task at a worker, next to which `others` run there.
    pub(super) fn record_start<'a>(
        &mut self,
        task: &str,
        run_id: u64,
        worker: &str,
        others: impl Iterator<Item = &'a String>,
    ) {
        *self.starts.entry(task.to_owned()).or_default() += 1;
        self.runs.push((task.to_owned(), run_id, worker.to_owned()));
        self.last_start.insert(worker.to_owned(), Instant::now());
        let step = step_of(task);
        let of_same_step = others.filter(|other| step_of(other) == step).count();
        let key = (worker.to_owned(), step.to_owned());
        let most = self.most_at_once.entry(key).or_default();
        *most = (*most).max(of_same_step + 1);
        let now = Instant::now();
        let current = self
            .running
            .keys()
            .filter(|other| self.is_running(other, now));
        let mut of_job = current.filter(|other| job_of(other) == job_of(task));
        if of_job.any(|other| step_of(other) != step) {
            self.overlapping_steps.insert(task.to_owned());
        }
        if self.is_running(task, now) {
            self.concurrent.insert(task.to_owned());
        }
        let running = self.running.entry(task.to_owned()).or_default();
        running.insert(worker.to_owned());
    }

    /// Records that a task no longer runs at a worker.
    pub(super) fn record_end(&mut self, task: &str, worker: &str) {
        if let Some(running) = self.running.get_mut(task) {
            running.remove(worker);
        }
    }

    fn is_running(&self, task: &str, now: Instant) -> bool {
        let leased = |worker: &String| self.lease_ends.get(worker).is_some_and(|at| *at >= now);
        let workers = self.running.get(task);
        workers.is_some_and(|workers| workers.iter().any(leased))
    }
}

/// A task's name without its index: `JOB.OCCURRENCE.STEP`.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn job_of(task: &str) -> &str {
    task.split_once('.').map_or(task, |(job, _)| job)
}

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
    /// Number of current runs, by task.
    pub(super) running: BTreeMap<String, u64>,
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
        let current = self.running.iter().filter(|(_, runs)| **runs > 0);
        let mut of_job = current.filter(|(other, _)| job_of(other) == job_of(task));
        if of_job.any(|(other, _)| step_of(other) != step) {
            self.overlapping_steps.insert(task.to_owned());
        }
        let running = self.running.entry(task.to_owned()).or_default();
        *running += 1;
        if *running > 1 {
            self.concurrent.insert(task.to_owned());
        }
    }
}

/// A task's name without its index: `JOB.OCCURRENCE.STEP`.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn job_of(task: &str) -> &str {
    task.split_once('.').map_or(task, |(job, _)| job)
}

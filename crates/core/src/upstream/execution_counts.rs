//! Counts of an upstream's executions.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

/// Counts executions in total, per task, and at once.
#[derive(Debug, Default)]
pub(super) struct ExecutionCounts {
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    total: u64,
    running: u64,
    most_concurrent: u64,
    by_task: HashMap<String, u32>,
}

/// The counts as returned by `GET /executions`.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    /// Executions that have begun.
    total: u64,
    /// Tasks with more than one execution.
    twice: u64,
    /// Greatest number of executions at one time.
    most_concurrent: u64,
    /// Executions in progress.
    running: u64,
}

impl ExecutionCounts {
    /// Counts an execution, and counts it as running until the guard is dropped.
    /// Requests that name no task are not counted per task.
    pub(super) fn begin(&self, task: Option<&str>) -> Guard<'_> {
        self.with(|counts| {
            counts.total += 1;
            counts.running += 1;
            counts.most_concurrent = counts.most_concurrent.max(counts.running);
            if let Some(task) = task {
                *counts.by_task.entry(task.to_owned()).or_default() += 1;
            }
        });
        Guard { counts: self }
    }

    /// Whether no execution is in progress.
    pub(super) fn is_idle(&self) -> bool {
        self.with(|counts| counts.running == 0)
    }

    /// The counts so far.
    pub(super) fn summary(&self) -> Summary {
        self.with(|counts| Summary {
            total: counts.total,
            twice: counts.by_task.values().filter(|n| **n > 1).count() as u64,
            most_concurrent: counts.most_concurrent,
            running: counts.running,
        })
    }

    /// Calls `f` with the locked counts.
    fn with<T>(&self, f: impl FnOnce(&mut Counts) -> T) -> T {
        f(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Counts an execution as running until dropped.
#[derive(Debug)]
pub(super) struct Guard<'a> {
    counts: &'a ExecutionCounts,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.counts.with(|counts| counts.running -= 1);
    }
}

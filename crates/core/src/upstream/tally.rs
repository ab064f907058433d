//! Counts of what an upstream has run.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use serde::Serialize;

/// Counts executions in total, per task, and at once.
#[derive(Debug, Default)]
pub(super) struct Tally {
    counts: Mutex<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    total: u64,
    running: u64,
    most_concurrent: u64,
    by_task: HashMap<String, u32>,
}

/// The counts as they are told over HTTP.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    /// Executions begun.
    total: u64,
    /// Tasks that were begun more than once.
    twice: u64,
    /// Greatest number of executions at one time.
    most_concurrent: u64,
    /// Executions that go on now.
    running: u64,
}

impl Tally {
    /// Counts an execution as begun until the guard is dropped. Requests
    /// without a task are counted in total only.
    pub(super) fn begin(&self, task: Option<&str>) -> Guard<'_> {
        self.with(|counts| {
            counts.total += 1;
            counts.running += 1;
            counts.most_concurrent = counts.most_concurrent.max(counts.running);
            if let Some(task) = task {
                *counts.by_task.entry(task.to_owned()).or_default() += 1;
            }
        });
        Guard { tally: self }
    }

    /// Whether nothing runs.
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

    fn with<T>(&self, f: impl FnOnce(&mut Counts) -> T) -> T {
        f(&mut self.counts.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// An execution that goes on.
#[derive(Debug)]
pub(super) struct Guard<'a> {
    tally: &'a Tally,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.tally.with(|counts| counts.running -= 1);
    }
}

//! The agent's gate, which lets each task start at most once.
//!
//! Records are sorted by task key. Keys begin with their creation time, so the
//! oldest records come first: expiry only visits the records that it drops and
//! needs no second index. The cost is a logarithmic instead of a constant-time
//! lookup.

mod answers;

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Ballot, Job, Task, View};
use gentian_wire::outcome::Outcome;
use gentian_wire::size::Bytes;

use crate::key_window::KeyWindow;
use crate::refusal::Refusal;

use answers::Answers;
pub use answers::ByteSize;

/// A result whose error is the refusal to send to the coordinator.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Identifies a request that waits for a running task to end. The caller chooses
/// the number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter(pub u64);

/// Reply of the gate to a coordinator that asks about a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskStatus<A> {
    /// The task has not started here, and the gate will refuse to start it under
    /// a ballot lower than that of the coordinator that asked.
    Tombstoned,
    /// The task has started and not ended.
    Running,
    /// The task has ended. Its answer may have been evicted since.
    Finished {
        /// How the task ended.
        outcome: Outcome,
        /// The answer, unless it was evicted or never kept.
        answer: Option<A>,
    },
    /// The key lies outside of the gate's window, so the gate can't tell whether
    /// the task has started.
    Forgotten,
    /// The gate has promised the task to a higher ballot, or has seen a newer view than
    /// that of the coordinator that asked.
    Superseded,
}

/// The gate of one agent; `A` is the type of a task's answer.
#[derive(Debug)]
pub struct Gate<A> {
    window: KeyWindow,
    latest_view: View,
    records: BTreeMap<Task, Record>,
    answers: Answers<A>,
    waiters: BTreeMap<Task, Vec<Waiter>>,
}

#[derive(Clone, Copy, Debug)]
enum Record {
    /// Not started; may start only under this ballot or a higher one.
    Promised(Ballot),
    Running(Ballot),
    Finished(Outcome),
}

impl<A: Clone + ByteSize> Gate<A> {
    /// An empty gate that keeps up to `max_answer_bytes` of finished tasks'
    /// answers.
    pub fn new(window: KeyWindow, max_answer_bytes: Bytes) -> Gate<A> {
        Gate {
            window,
            latest_view: View::default(),
            records: BTreeMap::new(),
            answers: Answers::new(max_answer_bytes),
            waiters: BTreeMap::new(),
        }
    }

    /// Moves the clock to `wall` and drops the records of expired keys.
    pub fn advance(&mut self, wall: Duration) {
        self.window.advance(wall);
        while let Some(first) = self.records.first_entry() {
            if !self.window.is_expired(first.key().job) {
                break;
            }
            let (task, _) = first.remove_entry();
            self.answers.remove(task);
            self.waiters.remove(&task);
        }
    }

    /// Records that `view` is or was in force.
    pub fn observe_view(&mut self, view: View) {
        self.latest_view = self.latest_view.max(view);
    }

    /// Starts a task, unless it was started or tombstoned before.
    ///
    /// A start under an older view than the latest is accepted. A coordinator that
    /// takes the job over also asks the candidates of the older view, and their
    /// tombstones then bar such a start by its lower ballot. Refusing old views here
    /// would fail every running job at every membership change.
    ///
    /// # Errors
    ///
    /// `Duplicate`, `Tombstoned`, `Expired` or `Forgotten`. Except after
    /// `Duplicate`, this start has not run the task and never will.
    pub fn start(&mut self, task: Task, ballot: Ballot, view: View) -> Result<()> {
        self.window.check(task.job)?;
        match self.records.get(&task) {
            Some(Record::Running(_) | Record::Finished(_)) => return Err(Refusal::Duplicate),
            Some(Record::Promised(promised)) if ballot < *promised => {
                return Err(Refusal::Tombstoned)
            }
            Some(Record::Promised(_)) | None => {}
        }
        self.observe_view(view);
        self.records.insert(task, Record::Running(ballot));
        Ok(())
    }

    /// Starts the task of a single request. Its key was generated for this one
    /// message, so no earlier start can have been lost in a restart of the agent
    /// and `Forgotten` is no reason to refuse it.
    ///
    /// # Errors
    ///
    /// `Duplicate`, `Tombstoned` or `Expired`.
    pub fn start_single(&mut self, task: Task, view: View) -> Result<()> {
        match self.start(task, Ballot::default(), view) {
            Err(Refusal::Forgotten) if !self.records.contains_key(&task) => {
                self.records
                    .insert(task, Record::Running(Ballot::default()));
                Ok(())
            }
            Err(Refusal::Forgotten) => Err(Refusal::Duplicate),
            result => result,
        }
    }

    /// Records the end of a started task and returns the requests that wait for this
    /// end.
    pub fn finish(&mut self, task: Task, outcome: Outcome, answer: A) -> Vec<Waiter> {
        if !self.mark_finished(task, outcome) {
            return Vec::new();
        }
        self.answers.insert(task, answer);
        self.waiters.remove(&task).unwrap_or_default()
    }

    /// Records the end of a single request. Its answer is not kept, since no
    /// later coordinator asks for it.
    pub fn finish_single(&mut self, task: Task, outcome: Outcome) {
        self.mark_finished(task, outcome);
    }

    /// Marks a running task as finished. Returns whether it was running.
    fn mark_finished(&mut self, task: Task, outcome: Outcome) -> bool {
        let Some(record @ Record::Running(_)) = self.records.get_mut(&task) else {
            return false;
        };
        *record = Record::Finished(outcome);
        true
    }

    /// Undoes the start of a task whose work has not begun, such as one dropped from the
    /// queue, and returns the requests that wait for the task's end.
    pub fn retract(&mut self, task: Task) -> Vec<Waiter> {
        let Some(record) = self.records.get_mut(&task) else {
            return Vec::new();
        };
        let Record::Running(ballot) = *record else {
            return Vec::new();
        };
        *record = Record::Promised(ballot);
        self.waiters.remove(&task).unwrap_or_default()
    }

    /// Returns the status of each task. A task that has not started is
    /// tombstoned, unless the gate has promised the task to a higher ballot or has seen
    /// a newer view.
    pub fn ask(
        &mut self,
        job: Job,
        tasks: &[u32],
        ballot: Ballot,
        view: View,
    ) -> Vec<TaskStatus<A>> {
        let stale_view = view < self.latest_view;
        self.observe_view(view);
        tasks
            .iter()
            .map(|index| self.ask_one(job.task(*index), ballot, stale_view))
            .collect()
    }

    /// Adds a waiter to a running task. Returns whether the task is running.
    pub fn wait(&mut self, task: Task, waiter: Waiter) -> bool {
        let running = matches!(self.records.get(&task), Some(Record::Running(_)));
        if running {
            self.waiters.entry(task).or_default().push(waiter);
        }
        running
    }

    /// Bars the coordinator with the given ballot from starting these tasks. Returns
    /// those of them that this coordinator has started and that still run; the caller
    /// stops them.
    pub fn cancel(&mut self, job: Job, tasks: &[u32], ballot: Ballot) -> Vec<Task> {
        if self.window.check(job).is_err() {
            return Vec::new();
        }
        let mut running = Vec::new();
        for task in tasks.iter().map(|index| job.task(*index)) {
            match self.records.get(&task) {
                Some(Record::Running(started)) if *started == ballot => running.push(task),
                Some(Record::Running(_) | Record::Finished(_)) => {}
                Some(Record::Promised(promised)) if *promised > ballot => {}
                Some(Record::Promised(_)) | None => {
                    self.records
                        .insert(task, Record::Promised(next_higher(ballot)));
                }
            }
        }
        running
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the kept answers.
    pub fn answer_bytes(&self) -> Bytes {
        self.answers.size()
    }

    fn ask_one(&mut self, task: Task, ballot: Ballot, stale_view: bool) -> TaskStatus<A> {
        if self.window.check(task.job).is_err() {
            return TaskStatus::Forgotten;
        }
        match self.records.get(&task) {
            Some(Record::Running(_)) => TaskStatus::Running,
            Some(Record::Finished(outcome)) => TaskStatus::Finished {
                outcome: *outcome,
                answer: self.answers.get(task).cloned(),
            },
            Some(Record::Promised(promised)) if ballot < *promised => TaskStatus::Superseded,
            _ if stale_view => TaskStatus::Superseded,
            Some(Record::Promised(_)) | None => {
                self.records.insert(task, Record::Promised(ballot));
                TaskStatus::Tombstoned
            }
        }
    }
}

/// The lowest ballot that is higher than `ballot`.
fn next_higher(ballot: Ballot) -> Ballot {
    let (coordinator, carry) = ballot.coordinator.overflowing_add(1);
    Ballot {
        epoch: ballot.epoch + u64::from(carry),
        coordinator,
    }
}

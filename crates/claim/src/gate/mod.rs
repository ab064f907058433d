//! The agent's gate: starts a task's key at most once.
//!
//! Records are sorted by key, and keys begin with their creation time, so the
//! oldest stand first: expiry looks at no record that it doesn't drop, and no
//! second index is needed. The price is a logarithmic look-up.

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

/// A result whose error is the refusal to be told.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Names someone who waits for a running task to end. Chosen by the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waiter(pub u64);

/// What the gate tells a coordinator that asks about a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum TaskStatus<A> {
    /// It has not started here, and starts here under no smaller ballot.
    Tombstoned,
    /// It has started and not ended.
    Running,
    /// It has ended; the answer may have been dropped since.
    Finished {
        /// How it ended.
        outcome: Outcome,
        /// The answer, where it is still kept.
        answer: Option<A>,
    },
    /// The gate's memory does not reach back to the key's creation.
    Forgotten,
    /// A greater ballot or a newer view was here before.
    Superseded,
}

/// The gate of one agent; `A` is the answer of a task.
#[derive(Debug)]
pub struct Gate<A> {
    memory: KeyWindow,
    seen: View,
    records: BTreeMap<Task, Record>,
    answers: Answers<A>,
    waiters: BTreeMap<Task, Vec<Waiter>>,
}

#[derive(Clone, Copy, Debug)]
enum Record {
    /// Starts under this ballot or a greater one.
    Promised(Ballot),
    Running(Ballot),
    Finished(Outcome),
}

impl<A: Clone + ByteSize> Gate<A> {
    /// An empty gate, which keeps answers up to `kept` bytes in all.
    pub fn new(memory: KeyWindow, kept: Bytes) -> Gate<A> {
        Gate {
            memory,
            seen: View::default(),
            records: BTreeMap::new(),
            answers: Answers::new(kept),
            waiters: BTreeMap::new(),
        }
    }

    /// Moves the clock to `wall` and drops what has expired.
    pub fn advance(&mut self, wall: Duration) {
        self.memory.advance(wall);
        while let Some(first) = self.records.first_entry() {
            if !self.memory.is_expired(first.key().job) {
                break;
            }
            let (task, _) = first.remove_entry();
            self.answers.remove(task);
            self.waiters.remove(&task);
        }
    }

    /// Notes that `view` is in force.
    pub fn observe_view(&mut self, view: View) {
        self.seen = self.seen.max(view);
    }

    /// Starts a task, unless it was started or tombstoned before.
    ///
    /// The start of an older view passes: whoever takes the job over asks the
    /// candidates of that view too, and from then on the ballot keeps it out.
    /// Refusing it would fail each running job at each change of members.
    ///
    /// # Errors
    ///
    /// `Duplicate`, `Tombstoned`, `Expired` or `Forgotten`. But for the first,
    /// this start has not run and never will.
    pub fn start(&mut self, task: Task, ballot: Ballot, view: View) -> Result<()> {
        self.memory.check(task.job)?;
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

    /// Starts the task of a single request, whose key was drawn for this one
    /// message. Nobody can have started it before, so a restarted agent takes
    /// it at once.
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

    /// Notes that a started task has ended; gives back who waits for it.
    pub fn finish(&mut self, task: Task, outcome: Outcome, answer: A) -> Vec<Waiter> {
        if !self.end(task, outcome) {
            return Vec::new();
        }
        self.answers.insert(task, answer);
        self.waiters.remove(&task).unwrap_or_default()
    }

    /// Notes that a single request has ended. Its answer is not kept, since no
    /// later coordinator asks for it.
    pub fn finish_single(&mut self, task: Task, outcome: Outcome) {
        self.end(task, outcome);
    }

    /// Ends a running task; tells whether it ran.
    fn end(&mut self, task: Task, outcome: Outcome) -> bool {
        let Some(record @ Record::Running(_)) = self.records.get_mut(&task) else {
            return false;
        };
        *record = Record::Finished(outcome);
        true
    }

    /// Takes back a start whose work has not begun, such as one that was
    /// dropped from the queue; gives back who waits for it.
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

    /// For each task: tells that it was started here, or tombstones it.
    pub fn ask(
        &mut self,
        job: Job,
        tasks: &[u32],
        ballot: Ballot,
        view: View,
    ) -> Vec<TaskStatus<A>> {
        let old = view < self.seen;
        self.observe_view(view);
        tasks
            .iter()
            .map(|index| self.ask_one(job.task(*index), ballot, old))
            .collect()
    }

    /// Adds a waiter to a running task; tells whether it does run.
    pub fn wait(&mut self, task: Task, waiter: Waiter) -> bool {
        let running = matches!(self.records.get(&task), Some(Record::Running(_)));
        if running {
            self.waiters.entry(task).or_default().push(waiter);
        }
        running
    }

    /// Bars the tasks of a coordinator for good; gives back those that it has
    /// started and that have not ended, for the caller to stop.
    pub fn cancel(&mut self, job: Job, tasks: &[u32], ballot: Ballot) -> Vec<Task> {
        if self.memory.check(job).is_err() {
            return Vec::new();
        }
        let mut running = Vec::new();
        for task in tasks.iter().map(|index| job.task(*index)) {
            match self.records.get(&task) {
                Some(Record::Running(started)) if *started == ballot => running.push(task),
                Some(Record::Running(_) | Record::Finished(_)) => {}
                Some(Record::Promised(promised)) if *promised > ballot => {}
                Some(Record::Promised(_)) | None => {
                    self.records.insert(task, Record::Promised(above(ballot)));
                }
            }
        }
        running
    }

    /// Number of records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of answers held.
    pub fn answer_bytes(&self) -> Bytes {
        self.answers.held()
    }

    fn ask_one(&mut self, task: Task, ballot: Ballot, old: bool) -> TaskStatus<A> {
        if self.memory.check(task.job).is_err() {
            return TaskStatus::Forgotten;
        }
        match self.records.get(&task) {
            Some(Record::Running(_)) => TaskStatus::Running,
            Some(Record::Finished(outcome)) => TaskStatus::Finished {
                outcome: *outcome,
                answer: self.answers.get(task).cloned(),
            },
            Some(Record::Promised(promised)) if ballot < *promised => TaskStatus::Superseded,
            _ if old => TaskStatus::Superseded,
            Some(Record::Promised(_)) | None => {
                self.records.insert(task, Record::Promised(ballot));
                TaskStatus::Tombstoned
            }
        }
    }
}

/// The least ballot that is greater.
fn above(ballot: Ballot) -> Ballot {
    let (coordinator, carry) = ballot.coordinator.overflowing_add(1);
    Ballot {
        epoch: ballot.epoch + u64::from(carry),
        coordinator,
    }
}

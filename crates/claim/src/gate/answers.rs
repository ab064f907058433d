//! Answers of finished tasks, bounded in bytes; the oldest are dropped first.

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::Task;
use gentian_wire::size::Bytes;

/// An answer that knows its size.
pub trait ByteSize {
    /// Bytes that the answer holds.
    fn byte_size(&self) -> Bytes;
}

#[derive(Debug)]
pub(super) struct Answers<A> {
    limit: u64,
    held: u64,
    kept: BTreeMap<Task, A>,
    order: VecDeque<Task>,
}

impl<A: ByteSize> Answers<A> {
    pub(super) fn new(limit: Bytes) -> Answers<A> {
        Answers {
            limit: limit.0,
            held: 0,
            kept: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    pub(super) fn held(&self) -> Bytes {
        Bytes(self.held)
    }

    pub(super) fn get(&self, task: Task) -> Option<&A> {
        self.kept.get(&task)
    }

    pub(super) fn insert(&mut self, task: Task, answer: A) {
        let size = answer.byte_size().0;
        if size > self.limit {
            return;
        }
        self.held += size;
        self.kept.insert(task, answer);
        self.order.push_back(task);
        while self.held > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
    }

    pub(super) fn remove(&mut self, task: Task) {
        if let Some(answer) = self.kept.remove(&task) {
            self.held -= answer.byte_size().0;
        }
        self.trim();
    }

    /// Drops leading entries of the order whose answers are gone.
    fn trim(&mut self) {
        while let Some(task) = self.order.front() {
            if self.kept.contains_key(task) {
                break;
            }
            self.order.pop_front();
        }
    }
}

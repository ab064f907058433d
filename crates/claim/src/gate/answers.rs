//! A cache of finished tasks' answers, bounded in bytes. When it is full, the
//! oldest answers are evicted.

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::Task;
use gentian_wire::size::Bytes;

/// An answer with a known size, by which the gate bounds the memory for kept answers.
pub trait ByteSize {
    /// Size of the answer in bytes.
    fn byte_size(&self) -> Bytes;
}

/// The cache; `A` is the type of an answer.
#[derive(Debug)]
pub(super) struct Answers<A> {
    limit: u64,
    size: u64,
    by_task: BTreeMap<Task, A>,
    insertion_order: VecDeque<Task>,
}

impl<A: ByteSize> Answers<A> {
    pub(super) fn new(limit: Bytes) -> Answers<A> {
        Answers {
            limit: limit.0,
            size: 0,
            by_task: BTreeMap::new(),
            insertion_order: VecDeque::new(),
        }
    }

    pub(super) fn size(&self) -> Bytes {
        Bytes(self.size)
    }

    pub(super) fn get(&self, task: Task) -> Option<&A> {
        self.by_task.get(&task)
    }

    /// Keeps an answer and evicts the oldest ones beyond the limit. An answer that is
    /// larger than the limit is not kept.
    pub(super) fn insert(&mut self, task: Task, answer: A) {
        let size = answer.byte_size().0;
        if size > self.limit {
            return;
        }
        self.size += size;
        self.by_task.insert(task, answer);
        self.insertion_order.push_back(task);
        while self.size > self.limit {
            let Some(oldest) = self.insertion_order.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
    }

    pub(super) fn remove(&mut self, task: Task) {
        if let Some(answer) = self.by_task.remove(&task) {
            self.size -= answer.byte_size().0;
        }
        self.trim_insertion_order();
    }

    /// Removes tasks from the front of the insertion order whose answers have
    /// been removed already.
    fn trim_insertion_order(&mut self) {
        while let Some(task) = self.insertion_order.front() {
            if self.by_task.contains_key(task) {
                break;
            }
            self.insertion_order.pop_front();
        }
    }
}

//! Messages that wait for the disk, and the writes they wait for.

use std::mem;

use rand::Rng;

use super::{Action, Replica, State};
use crate::{
    id,
    message::{Body, Message},
    store::Write,
};

/// A message that waits for a write.
#[derive(Debug)]
pub(super) struct Held {
    to: id::Member,
    message: Message,
}

impl<R: Rng> Replica<R> {
    /// Sends once everything changed so far is synced.
    pub(super) fn send_synced(&mut self, to: id::Member, body: Body) {
        let term = self.hard_state.term;
        self.send_synced_as(to, term, body);
    }

    pub(super) fn send_synced_as(&mut self, to: id::Member, term: u64, body: Body) {
        let Some(cluster) = self.hard_state.cluster() else {
            return;
        };
        let message = Message {
            cluster,
            term,
            body,
        };
        self.fresh.push(Held { to, message });
    }

    pub(super) fn send_now(&mut self, to: id::Member, body: Body) {
        let Some(cluster) = self.hard_state.cluster() else {
            return;
        };
        let term = self.hard_state.term;
        self.emit(Held {
            to,
            message: Message {
                cluster,
                term,
                body,
            },
        });
    }

    pub(super) fn emit(&mut self, held: Held) {
        let address = self.members().get(held.to).map(|p| p.address.clone());
        self.out.push(Action::Send {
            to: held.to,
            address,
            message: held.message,
        });
    }

    /// Records that the log differs from `index` on.
    pub(super) fn touch(&mut self, index: u64) {
        self.changed_from = Some(self.changed_from.map_or(index, |from| from.min(index)));
        self.durable = self.durable.min(index - 1);
        for (_, last) in &mut self.writes {
            *last = (*last).min(index - 1);
        }
    }

    /// Turns the changes of this event into one write, and holds back what depends on it.
    pub(super) fn flush(&mut self) {
        if matches!(self.state, State::Halted) {
            return;
        }
        if self.hard_changed || self.snapshot_changed || self.changed_from.is_some() {
            self.write();
        }
        for held in mem::take(&mut self.fresh) {
            self.held.push_back((self.written, held));
        }
        self.release();
    }

    pub(super) fn write(&mut self) {
        self.written += 1;
        self.hard_state.commit = self.commit;
        let from = self.changed_from.take();
        let write = Write {
            number: self.written,
            hard_state: self.hard_state,
            snapshot: mem::take(&mut self.snapshot_changed).then(|| self.log.snapshot().clone()),
            entries: from.map_or_else(Vec::new, |from| self.log.entries_from(from).to_vec()),
        };
        self.hard_changed = false;
        self.writes.push_back((self.written, self.log.last_index()));
        self.out.push(Action::Write(write));
    }

    pub(super) fn release(&mut self) {
        while self
            .held
            .front()
            .is_some_and(|(number, _)| *number <= self.synced)
        {
            if let Some((_, held)) = self.held.pop_front() {
                self.emit(held);
            }
        }
    }
}

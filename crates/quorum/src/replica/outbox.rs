//! The writes to the store, and the outgoing messages that wait for their sync.

use std::mem;

use rand::Rng;

use super::{Action, Replica, State};
use crate::{
    id,
    message::{Body, Message},
    store::Write,
};

/// An outgoing message that must not be sent before a write is synced.
#[derive(Debug)]
pub(super) struct HeldMessage {
    to: id::Member,
    message: Message,
}

impl<R: Rng> Replica<R> {
    /// Sends a message once all changes made so far are synced.
    pub(super) fn send_after_sync(&mut self, to: id::Member, body: Body) {
        let term = self.hard_state.term;
        self.send_after_sync_in_term(to, term, body);
    }

    /// Like [`send_after_sync`](Self::send_after_sync), with a term other than the current one.
    pub(super) fn send_after_sync_in_term(&mut self, to: id::Member, term: u64, body: Body) {
        let Some(cluster) = self.hard_state.cluster() else {
            return;
        };
        let message = Message {
            cluster,
            term,
            body,
        };
        self.new_messages.push(HeldMessage { to, message });
    }

    /// Sends a message that promises nothing durable, without waiting for a sync.
    pub(super) fn send_now(&mut self, to: id::Member, body: Body) {
        let Some(cluster) = self.hard_state.cluster() else {
            return;
        };
        let term = self.hard_state.term;
        self.queue_send(HeldMessage {
            to,
            message: Message {
                cluster,
                term,
                body,
            },
        });
    }

    fn queue_send(&mut self, held: HeldMessage) {
        let address = self.members().get(held.to).map(|p| p.address.clone());
        self.actions.push(Action::Send {
            to: held.to,
            address,
            message: held.message,
        });
    }

    /// Records that the log changes from `index` on, so that the next write
    /// includes those entries and none of them counts as synced.
    pub(super) fn mark_changed_from(&mut self, index: u64) {
        self.log_changed_from = Some(self.log_changed_from.map_or(index, |from| from.min(index)));
        self.durable_index = self.durable_index.min(index - 1);
        for (_, last) in &mut self.unsynced_writes {
            *last = (*last).min(index - 1);
        }
    }

    /// Queues one write with all changes of the current event, and holds back the
    /// event's messages until it is synced.
    pub(super) fn finish_event(&mut self) {
        if matches!(self.state, State::Halted) {
            return;
        }
        if self.hard_state_changed || self.snapshot_changed || self.log_changed_from.is_some() {
            self.queue_write();
        }
        for held in mem::take(&mut self.new_messages) {
            self.held_messages.push_back((self.last_write, held));
        }
        self.release_synced();
    }

    fn queue_write(&mut self) {
        self.last_write += 1;
        self.hard_state.commit = self.commit_index;
        let changed_from = self.log_changed_from.take();
        let write = Write {
            number: self.last_write,
            hard_state: self.hard_state,
            snapshot: mem::take(&mut self.snapshot_changed).then(|| self.log.snapshot().clone()),
            entries: changed_from
                .map_or_else(Vec::new, |from| self.log.entries_from(from).to_vec()),
        };
        self.hard_state_changed = false;
        self.unsynced_writes
            .push_back((self.last_write, self.log.last_index()));
        self.actions.push(Action::Write(write));
    }

    /// Sends the held messages whose write is synced.
    pub(super) fn release_synced(&mut self) {
        while self
            .held_messages
            .front()
            .is_some_and(|(number, _)| *number <= self.last_synced_write)
        {
            if let Some((_, held)) = self.held_messages.pop_front() {
                self.queue_send(held);
            }
        }
    }
}

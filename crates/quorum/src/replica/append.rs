//! The follower's side of replication.

use rand::Rng;

use super::{Action, Replica, State};
use crate::{
    entry::Entry,
    id,
    message::{AppendRequest, AppendResponse, Body, InstallSnapshot},
};

impl<R: Rng> Replica<R> {
    pub(super) fn on_append(&mut self, from: id::Member, term: u64, append: AppendRequest) {
        let round = append.round;
        if !self.accept_leader(from, term) {
            self.refuse(from, round);
            return;
        }
        let prev = append.prev_index;
        if prev < self.log.snapshot().index {
            self.acknowledge(from, self.commit, round);
            return;
        }
        if self.log.term(prev) != Some(append.prev_term) {
            let hint = self.hint(prev);
            self.answer(from, false, hint, round);
            return;
        }
        let last = prev + append.entries.len() as u64;
        self.merge(append.entries);
        self.learn_commit(append.commit.min(last));
        self.acknowledge(from, last, round);
    }

    pub(super) fn on_install(&mut self, from: id::Member, term: u64, install: InstallSnapshot) {
        let round = install.round;
        if !self.accept_leader(from, term) {
            self.refuse(from, round);
            return;
        }
        let snapshot = install.snapshot;
        let index = snapshot.index;
        if index <= self.commit {
            self.acknowledge(from, self.commit, round);
            return;
        }
        if self.log.term(index) == Some(snapshot.term) {
            self.learn_commit(index);
            self.acknowledge(from, index, round);
            return;
        }
        self.log.reset(snapshot.clone());
        self.touch(index + 1);
        self.snapshot_changed = true;
        self.commit = index;
        self.applied = index;
        self.out.push(Action::Restore(snapshot));
        self.acknowledge(from, index, round);
    }

    /// Follows the sender if it leads in this term or a later one.
    fn accept_leader(&mut self, from: id::Member, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        assert!(
            !(term == self.hard_state.term && matches!(self.state, State::Leader(_))),
            "two leaders in one term"
        );
        self.follow(term, Some(from));
        self.contact = self.now;
        self.reset_deadline();
        true
    }

    fn merge(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate(entry.index),
                None => {}
            }
            assert!(
                entry.index > self.commit,
                "a committed entry would be replaced"
            );
            self.touch(entry.index);
            self.log.push(entry);
        }
    }

    fn learn_commit(&mut self, commit: u64) {
        self.commit = self.commit.max(commit);
        self.apply();
    }

    /// Where a leader whose entry at `prev` doesn't match should go on: past
    /// the whole term that conflicts, but not below what is committed here.
    fn hint(&self, prev: u64) -> u64 {
        let Some(conflict) = self.log.term(prev) else {
            return self.log.last_index();
        };
        let mut index = prev;
        while index > self.commit && self.log.term(index) == Some(conflict) {
            index -= 1;
        }
        index
    }

    fn acknowledge(&mut self, to: id::Member, index: u64, round: u64) {
        self.answer(to, true, index, round);
    }

    fn refuse(&mut self, to: id::Member, round: u64) {
        self.answer(to, false, 0, round);
    }

    fn answer(&mut self, to: id::Member, ok: bool, index: u64, round: u64) {
        self.send_synced(
            to,
            Body::AppendResponse(AppendResponse { ok, index, round }),
        );
    }
}

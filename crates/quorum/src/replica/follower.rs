//! The follower's role in replication.

use rand::Rng;

use super::{Action, Replica, State};
use crate::{
    entry::Entry,
    id,
    message::{AppendRequest, AppendResponse, Body, InstallSnapshot},
};

impl<R: Rng> Replica<R> {
    pub(super) fn on_append_request(
        &mut self,
        from: id::Member,
        term: u64,
        request: AppendRequest,
    ) {
        let round = request.round;
        if !self.accept_leader(from, term) {
            self.reject(from);
            return;
        }
        let prev = request.prev_index;
        if prev < self.log.snapshot().index {
            self.acknowledge(from, self.commit_index, round);
            return;
        }
        if self.log.term(prev) != Some(request.prev_term) {
            let hint = self.conflict_hint(prev);
            self.respond(from, false, hint, round);
            return;
        }
        let last = prev + request.entries.len() as u64;
        self.append_entries(request.entries);
        self.raise_commit_index(request.commit.min(last));
        self.acknowledge(from, last, round);
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: id::Member,
        term: u64,
        request: InstallSnapshot,
    ) {
        let round = request.round;
        if !self.accept_leader(from, term) {
            self.reject(from);
            return;
        }
        let snapshot = request.snapshot;
        let index = snapshot.index;
        if index <= self.commit_index {
            self.acknowledge(from, self.commit_index, round);
            return;
        }
        if self.log.term(index) == Some(snapshot.term) {
            self.raise_commit_index(index);
            self.acknowledge(from, index, round);
            return;
        }
        self.log.reset(snapshot.clone());
        self.mark_changed_from(index + 1);
        self.snapshot_changed = true;
        self.commit_index = index;
        self.applied_index = index;
        self.actions.push(Action::Restore(snapshot));
        self.acknowledge(from, index, round);
    }

    /// Becomes a follower of the sender, or returns false if the sender's term is
    /// older than this member's.
    fn accept_leader(&mut self, from: id::Member, term: u64) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        assert!(
            !(term == self.hard_state.term && matches!(self.state, State::Leader(_))),
            "two leaders in one term"
        );
        self.become_follower(term, Some(from));
        self.set_term_leader(from);
        self.last_leader_contact = self.now;
        self.reset_election_deadline();
        true
    }

    /// Appends the entries that are missing here, first dropping those of the log
    /// that conflict with them.
    fn append_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => continue,
                Some(_) => self.log.truncate(entry.index),
                None => {}
            }
            assert!(
                entry.index > self.commit_index,
                "leader would replace a committed entry"
            );
            self.mark_changed_from(entry.index);
            self.log.push(entry);
        }
    }

    /// Raises the commit index to what the leader reports and applies the entries.
    fn raise_commit_index(&mut self, commit: u64) {
        self.commit_index = self.commit_index.max(commit);
        self.apply();
    }

    /// The `prev_index` that the leader should try next when its entry at `prev`
    /// doesn't match: the index before all entries of the conflicting term, but not
    /// below the commit index. Skipping a whole term at a time saves round trips.
    fn conflict_hint(&self, prev: u64) -> u64 {
        let Some(conflicting_term) = self.log.term(prev) else {
            return self.log.last_index();
        };
        let mut index = prev;
        while index > self.commit_index && self.log.term(index) == Some(conflicting_term) {
            index -= 1;
        }
        index
    }

    fn acknowledge(&mut self, to: id::Member, index: u64, round: u64) {
        self.respond(to, true, index, round);
    }

    /// Rejects a request of an earlier term. Its round says nothing of the rounds of this
    /// term, so the response names none.
    fn reject(&mut self, to: id::Member) {
        self.respond(to, false, 0, 0);
    }

    fn respond(&mut self, to: id::Member, ok: bool, index: u64, round: u64) {
        self.send_after_sync(
            to,
            Body::AppendResponse(AppendResponse { ok, index, round }),
        );
    }
}

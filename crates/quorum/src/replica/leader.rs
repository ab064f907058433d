//! The leader's side: replication, commitment and the lease.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::Rng;

use super::{Position, Replica, State};
use crate::{
    entry::{self, Entry},
    id,
    message::{AppendRequest, AppendResponse, Body, InstallSnapshot},
};

/// What the leader knows of one other member.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    pub(super) matched: u64,
    next: u64,
    round: u64,
    installed_at: Option<Duration>,
}

/// State of a leader, dropped when it steps down.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the first entry of its own term.
    pub(super) first: u64,
    /// When the latest round that a majority answered was sent.
    pub(super) confirmed: Option<Duration>,
    pub(super) progress: BTreeMap<id::Member, Progress>,
    since: Duration,
    round: u64,
    rounds: VecDeque<(u64, Duration)>,
    heartbeat: Duration,
}

impl<R: Rng> Replica<R> {
    pub(super) fn lead(&mut self) {
        self.set_state(State::Leader(Leader {
            first: self.log.last_index() + 1,
            confirmed: None,
            progress: BTreeMap::new(),
            since: self.now,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat: self.now,
        }));
        self.append_own(None);
        self.start_round();
    }

    pub(super) fn tick_leader(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let quiet_since = leader.confirmed.unwrap_or(leader.since);
        if self.now > quiet_since + self.settings.election {
            self.follow(self.hard_state.term, None);
            return;
        }
        if self.now >= leader.heartbeat {
            self.start_round();
        }
        self.drive_change();
    }

    pub(super) fn append_own(&mut self, body: Option<entry::Body>) -> Position {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            body,
        };
        let position = Position {
            index: entry.index,
            term: entry.term,
        };
        self.touch(entry.index);
        self.log.push(entry);
        position
    }

    /// Starts a heartbeat round: what a majority answers to it proves that no
    /// other leader was elected up to the election timeout from now.
    fn start_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        leader.rounds.push_back((leader.round, self.now));
        leader.heartbeat = self.now + self.settings.heartbeat;
        let peers: Vec<_> = self.others().collect();
        for to in peers {
            self.replicate(to, true);
        }
        self.confirm();
    }

    /// Sends what is new to every member.
    pub(super) fn broadcast(&mut self) {
        let peers: Vec<_> = self.others().collect();
        for to in peers {
            self.replicate(to, false);
        }
    }

    fn others(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.members().ids().filter(|id| *id != self.id)
    }

    /// Sends the entries that `to` lacks, or a heartbeat if it lacks none and `always`.
    fn replicate(&mut self, to: id::Member, always: bool) {
        let base = self.log.snapshot().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let first = leader.first.max(base + 1);
        let progress = leader.progress.entry(to).or_insert(Progress {
            next: first,
            ..Progress::default()
        });
        if progress.next <= base {
            self.install(to, always);
            return;
        }
        let prev_index = progress.next - 1;
        let entries = batch(
            self.log.entries_from(progress.next),
            self.settings.message_bytes,
        );
        if entries.is_empty() && !always {
            return;
        }
        progress.next += entries.len() as u64;
        self.send_append(to, prev_index, entries, round);
    }

    /// Sends the snapshot, and while it is on its way only heartbeats.
    fn install(&mut self, to: id::Member, always: bool) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let again = progress
            .installed_at
            .is_none_or(|at| self.now >= at + self.settings.election);
        if again {
            progress.installed_at = Some(self.now);
            let snapshot = self.log.snapshot().clone();
            self.send_now(
                to,
                Body::InstallSnapshot(InstallSnapshot { snapshot, round }),
            );
        } else if always {
            self.send_append(to, self.log.snapshot().index, Vec::new(), round);
        }
    }

    fn send_append(&mut self, to: id::Member, prev_index: u64, entries: Vec<Entry>, round: u64) {
        let append = AppendRequest {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit,
            round,
        };
        self.send_now(to, Body::AppendRequest(append));
    }

    pub(super) fn on_appended(&mut self, from: id::Member, term: u64, appended: AppendResponse) {
        if term > self.hard_state.term {
            self.follow(term, None);
            return;
        }
        if term < self.hard_state.term {
            return;
        }
        let last = self.log.last_index();
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.round = progress.round.max(appended.round);
        if appended.ok {
            progress.matched = progress.matched.max(appended.index.min(last));
            progress.next = progress.next.max(progress.matched + 1);
            progress.installed_at = None;
        } else {
            progress.next = progress
                .next
                .min(appended.index + 1)
                .max(progress.matched + 1);
        }
        self.confirm();
        self.advance_commit();
        self.replicate(from, false);
    }

    /// Moves the lease to the latest round that a majority answered.
    fn confirm(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let answered = self.members().majority_value(|voter| {
            if voter == self.id {
                return leader.round;
            }
            leader.progress.get(&voter).map_or(0, |p| p.round)
        });
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        while let Some((round, sent)) = leader.rounds.front().copied() {
            if Some(round) > answered {
                break;
            }
            leader.confirmed = Some(sent);
            leader.rounds.pop_front();
        }
    }

    /// Commits what a majority has synced, this leader included, if it ends in
    /// an entry of the leader's own term.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let reached = self.members().majority_value(|voter| {
            if voter == self.id {
                return self.durable;
            }
            leader.progress.get(&voter).map_or(0, |p| p.matched)
        });
        let index = reached.unwrap_or(0).min(self.durable);
        if index <= self.commit || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit = index;
        self.apply();
        self.drive_change();
    }
}

/// The first entries, up to about `bytes`, but at least one.
fn batch(entries: &[Entry], bytes: usize) -> Vec<Entry> {
    let mut size = 0;
    let mut batch = Vec::new();
    for entry in entries {
        size += entry.size();
        if size > bytes && !batch.is_empty() {
            break;
        }
        batch.push(entry.clone());
    }
    batch
}

//! The leader's role: replicating entries, advancing the commit index and
//! holding the lease.

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

/// Replication state of one other member, as the leader tracks it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Highest index at which the member's synced log is known to match the leader's.
    pub(super) match_index: u64,
    /// Index of the next entry to send.
    next_index: u64,
    /// Latest heartbeat round that the member answered.
    answered_round: u64,
    /// When the snapshot was last sent; `None` unless one is in flight.
    snapshot_sent_at: Option<Duration>,
}

/// State that a member keeps only while it leads.
#[derive(Debug)]
pub(super) struct Leader {
    /// Index of the first entry of this leader's own term.
    pub(super) first_index: u64,
    /// Send time of the latest heartbeat round that a majority has answered.
    pub(super) confirmed_at: Option<Duration>,
    pub(super) progress: BTreeMap<id::Member, Progress>,
    /// When the leader was elected or, if later, when its process ran again after
    /// a gap in which it could ask nobody.
    pub(super) running_since: Duration,
    /// Number of the latest heartbeat round.
    round: u64,
    /// Number and send time of each round that no majority has answered yet.
    unconfirmed_rounds: VecDeque<(u64, Duration)>,
    /// When the next heartbeat round is due.
    next_heartbeat: Duration,
}

impl<R: Rng> Replica<R> {
    pub(super) fn become_leader(&mut self) {
        self.set_state(State::Leader(Leader {
            first_index: self.log.last_index() + 1,
            confirmed_at: None,
            progress: BTreeMap::new(),
            running_since: self.now,
            round: 0,
            unconfirmed_rounds: VecDeque::new(),
            next_heartbeat: self.now,
        }));
        self.set_term_leader(self.id);
        self.append_local(None);
        self.start_heartbeat_round();
    }

    /// Steps down if no majority has answered for an election timeout in which this
    /// member was running; otherwise sends a heartbeat that is due and advances a
    /// change of the members. The lease ends by itself, whatever stepping down does.
    pub(super) fn tick_leader(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let unanswered_since = leader
            .confirmed_at
            .map_or(leader.running_since, |at| at.max(leader.running_since));
        if self.now > unanswered_since + self.settings.election_timeout {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if self.now >= leader.next_heartbeat {
            self.start_heartbeat_round();
        }
        self.advance_change();
    }

    /// Appends an entry of this member's current term to its own log.
    pub(super) fn append_local(&mut self, body: Option<entry::Body>) -> Position {
        let entry = Entry {
            index: self.log.last_index() + 1,
            term: self.hard_state.term,
            body,
        };
        let position = Position {
            index: entry.index,
            term: entry.term,
        };
        self.mark_changed_from(entry.index);
        self.log.push(entry);
        position
    }

    /// Starts a heartbeat round.
    ///
    /// Once a majority has answered it, no other leader can be elected before
    /// one election timeout has passed since the round was sent.
    fn start_heartbeat_round(&mut self) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        leader.round += 1;
        leader
            .unconfirmed_rounds
            .push_back((leader.round, self.now));
        leader.next_heartbeat = self.now + self.settings.heartbeat_interval;
        let peers: Vec<_> = self.other_members().collect();
        for to in peers {
            self.replicate(to, true);
        }
        self.update_confirmed_round();
    }

    /// Sends each member the entries that it doesn't have yet.
    pub(super) fn broadcast(&mut self) {
        let peers: Vec<_> = self.other_members().collect();
        for to in peers {
            self.replicate(to, false);
        }
    }

    fn other_members(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.members().ids().filter(|id| *id != self.id)
    }

    /// Sends `to` the entries that it lacks. If it lacks none, sends an empty
    /// request when `heartbeat` is set and nothing otherwise.
    fn replicate(&mut self, to: id::Member, heartbeat: bool) {
        let base = self.log.snapshot().index;
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let next_index = leader.first_index.max(base + 1);
        let progress = leader.progress.entry(to).or_insert(Progress {
            next_index,
            ..Progress::default()
        });
        if progress.next_index <= base {
            self.send_snapshot(to, heartbeat);
            return;
        }
        let prev_index = progress.next_index - 1;
        let entries = batch(
            self.log.entries_from(progress.next_index),
            self.settings.max_message_bytes,
        );
        if entries.is_empty() && !heartbeat {
            return;
        }
        progress.next_index += entries.len() as u64;
        self.send_append(to, prev_index, entries, round);
    }

    /// Sends the snapshot, and only heartbeats until it is acknowledged or an
    /// election timeout has passed.
    fn send_snapshot(&mut self, to: id::Member, heartbeat: bool) {
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        let round = leader.round;
        let Some(progress) = leader.progress.get_mut(&to) else {
            return;
        };
        let resend = progress
            .snapshot_sent_at
            .is_none_or(|at| self.now >= at + self.settings.election_timeout);
        if resend {
            progress.snapshot_sent_at = Some(self.now);
            let snapshot = self.log.snapshot().clone();
            self.send_now(
                to,
                Body::InstallSnapshot(InstallSnapshot { snapshot, round }),
            );
        } else if heartbeat {
            self.send_append(to, self.log.snapshot().index, Vec::new(), round);
        }
    }

    fn send_append(&mut self, to: id::Member, prev_index: u64, entries: Vec<Entry>, round: u64) {
        let append = AppendRequest {
            prev_index,
            prev_term: self.log.term(prev_index).unwrap_or(0),
            entries,
            commit: self.commit_index,
            round,
        };
        self.send_now(to, Body::AppendRequest(append));
    }

    pub(super) fn on_append_response(
        &mut self,
        from: id::Member,
        term: u64,
        response: AppendResponse,
    ) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
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
        progress.answered_round = progress.answered_round.max(response.round);
        if response.ok {
            progress.match_index = progress.match_index.max(response.index.min(last));
            progress.next_index = progress.next_index.max(progress.match_index + 1);
            progress.snapshot_sent_at = None;
        } else {
            progress.next_index = progress
                .next_index
                .min(response.index + 1)
                .max(progress.match_index + 1);
        }
        self.update_confirmed_round();
        self.advance_commit();
        self.replicate(from, false);
    }

    /// Renews the lease from the send time of the latest round that a majority
    /// has answered.
    fn update_confirmed_round(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let answered = self.members().majority_value(|voter| {
            if voter == self.id {
                return leader.round;
            }
            leader.progress.get(&voter).map_or(0, |p| p.answered_round)
        });
        let State::Leader(leader) = &mut self.state else {
            return;
        };
        while let Some((round, sent_at)) = leader.unconfirmed_rounds.front().copied() {
            if Some(round) > answered {
                break;
            }
            leader.confirmed_at = Some(sent_at);
            leader.unconfirmed_rounds.pop_front();
        }
    }

    /// Commits the entries that this leader and a majority have synced, provided
    /// that the last of them is of the leader's own term.
    ///
    /// An entry of an earlier term is not committed merely because a majority holds
    /// it: a leader without that entry could still be elected.
    pub(super) fn advance_commit(&mut self) {
        let State::Leader(leader) = &self.state else {
            return;
        };
        let majority_index = self.members().majority_value(|voter| {
            if voter == self.id {
                return self.durable_index;
            }
            leader.progress.get(&voter).map_or(0, |p| p.match_index)
        });
        let index = majority_index.unwrap_or(0).min(self.durable_index);
        if index <= self.commit_index || self.log.term(index) != Some(self.hard_state.term) {
            return;
        }
        self.commit_index = index;
        self.apply();
        self.advance_change();
    }
}

/// The longest prefix of `entries` whose encoded size is at most `max_bytes`,
/// but at least one entry.
fn batch(entries: &[Entry], max_bytes: usize) -> Vec<Entry> {
    let mut size = 0;
    let mut batch = Vec::new();
    for entry in entries {
        size += entry.size();
        if size > max_bytes && !batch.is_empty() {
            break;
        }
        batch.push(entry.clone());
    }
    batch
}

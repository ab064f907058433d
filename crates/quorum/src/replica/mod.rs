//! The consensus protocol of one member, as a state machine without I/O.
//!
//! The driver owns the clock, the store and the network. For each event it reads
//! its monotonic clock *after* receiving the event, calls one method, then carries
//! out the actions of [`Replica::take_actions`] in order. Messages that promise
//! something durable are held back here until [`Replica::synced`] reports the
//! write, so a driver can't acknowledge too early by sending in the wrong order.
//!
//! Time is a [`Duration`] since any origin. Leases need clocks that run at
//! nearly the same rate; the clocks need not show the same time.

mod action;
mod election;
mod error;
mod follower;
mod leader;
mod membership;
mod outbox;
pub mod settings;

use std::{collections::VecDeque, mem, time::Duration};

use bytes::Bytes;
use rand::Rng;

pub use action::{Action, Position, Role};
pub use error::{Error, Result};
pub use settings::Settings;

use crate::{
    entry::{Body, HardState},
    id,
    log::Log,
    members::Members,
    message::{self, Message},
    store::StoredState,
};
use election::Candidate;
use leader::Leader;
use outbox::HeldMessage;

/// What a member keeps for its current role.
#[derive(Debug)]
enum State {
    /// `leader` is `None` until a leader of the term is heard from.
    Follower {
        leader: Option<id::Member>,
    },
    Candidate(Candidate),
    Leader(Leader),
    Halted,
}

/// Election timeouts after its start for which a former leader asks for votes at short
/// intervals: the others take some time to start, too.
const RECLAIM_TIMEOUTS: u32 = 3;

/// One member of the cluster.
#[derive(Debug)]
pub struct Replica<R> {
    id: id::Member,
    settings: Settings,
    rng: R,
    hard_state: HardState,
    log: Log,
    state: State,
    commit_index: u64,
    applied_index: u64,
    now: Duration,
    /// Latest time at which this member may have heard from a leader, later by what is not
    /// counted of long gaps. After a start or the end of its own leadership the member
    /// can't know, so it assumes the time of that event.
    last_leader_contact: Duration,
    /// When a member that doesn't lead starts an election.
    election_deadline: Duration,
    /// Until when a member that led before its restart asks for votes at short intervals.
    reclaims_until: Duration,
    /// Last index that is synced here.
    durable_index: u64,
    /// Number of each unsynced write, and the last index that is durable once it is synced.
    unsynced_writes: VecDeque<(u64, u64)>,
    /// Number of the latest write.
    last_write: u64,
    /// Number of the latest write that is synced.
    last_synced_write: u64,
    /// Whether the hard state has changed since the latest write.
    hard_state_changed: bool,
    /// Whether the snapshot has changed since the latest write.
    snapshot_changed: bool,
    /// First index of the log that has changed since the latest write.
    log_changed_from: Option<u64>,
    /// Messages of the current event that wait for a sync.
    new_messages: Vec<HeldMessage>,
    /// Messages of earlier events, with the number of the write that they wait for.
    held_messages: VecDeque<(u64, HeldMessage)>,
    /// Actions that the driver has not taken yet.
    actions: Vec<Action>,
}

impl<R: Rng> Replica<R> {
    /// Starts a replica as a follower from the state that a store recovered.
    ///
    /// If `recovered` holds a snapshot, the first action restores the state machine
    /// from the snapshot.
    pub fn new(settings: Settings, recovered: StoredState, rng: R, now: Duration) -> Self {
        let log = Log::new(recovered.snapshot, recovered.entries);
        let snapshot = log.snapshot().clone();
        let durable_index = log.last_index();
        let mut replica = Self {
            id: recovered.id,
            settings,
            rng,
            hard_state: recovered.hard_state,
            state: State::Follower { leader: None },
            commit_index: recovered
                .hard_state
                .commit
                .clamp(snapshot.index, durable_index),
            applied_index: snapshot.index,
            now,
            last_leader_contact: now,
            election_deadline: now,
            reclaims_until: now + RECLAIM_TIMEOUTS * settings.election_timeout,
            durable_index,
            unsynced_writes: VecDeque::new(),
            last_write: 0,
            last_synced_write: 0,
            hard_state_changed: false,
            snapshot_changed: false,
            log_changed_from: None,
            new_messages: Vec::new(),
            held_messages: VecDeque::new(),
            actions: Vec::new(),
            log,
        };
        if snapshot.index > 0 {
            replica.actions.push(Action::Restore(snapshot));
        }
        replica.reset_election_deadline();
        replica.apply();
        replica
    }

    /// This member's id.
    pub fn id(&self) -> id::Member {
        self.id
    }

    /// Current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Current role.
    pub fn role(&self) -> Role {
        match self.state {
            State::Follower { .. } => Role::Follower,
            State::Candidate(_) => Role::Candidate,
            State::Leader(_) => Role::Leader,
            State::Halted => Role::Halted,
        }
    }

    /// The leader of the current term as far as this member knows, possibly itself.
    pub fn leader(&self) -> Option<id::Member> {
        match &self.state {
            State::Follower { leader } => *leader,
            State::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Highest index for which an [`Action::Apply`] or [`Action::Restore`] was queued.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The log.
    pub fn log(&self) -> &Log {
        &self.log
    }

    /// The cluster this member belongs to.
    pub fn cluster(&self) -> Option<id::Cluster> {
        self.hard_state.cluster()
    }

    /// Members in force.
    pub fn members(&self) -> &Members {
        self.log.members()
    }

    /// Removes and returns the queued actions, to be carried out in this order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.actions)
    }

    /// Advances the time, which drives heartbeats and elections; call it every few
    /// tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        match &self.state {
            State::Leader(_) => self.tick_leader(),
            State::Halted => {}
            _ if self.now >= self.election_deadline => self.campaign(),
            _ => {}
        }
        self.finish_event();
    }

    /// Handles a message that was addressed to this member's id.
    pub fn receive(&mut self, now: Duration, from: id::Member, message: Message) {
        self.advance(now);
        if !matches!(self.state, State::Halted) && self.accepts_cluster(&message) {
            self.dispatch(from, message);
        }
        self.finish_event();
    }

    /// Proposes a payload.
    ///
    /// It is committed once an [`Action::Apply`] carries an entry with the returned
    /// position. If the entry applied at that index has another term, the proposal
    /// is lost.
    pub fn propose(&mut self, now: Duration, payload: Bytes) -> Result<Position> {
        self.advance(now);
        self.check_leader()?;
        let position = self.append_local(Some(Body::Data(payload)));
        self.broadcast();
        self.finish_event();
        Ok(position)
    }

    /// Reports that every write up to `number` is synced.
    pub fn synced(&mut self, now: Duration, number: u64) {
        self.advance(now);
        self.last_synced_write = self.last_synced_write.max(number);
        while let Some((write, last)) = self.unsynced_writes.front().copied() {
            if write > self.last_synced_write {
                break;
            }
            self.durable_index = last;
            self.unsynced_writes.pop_front();
        }
        self.release_synced();
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit();
        }
        self.apply();
        self.finish_event();
    }

    /// Stops this replica for good after a store error: it sends no more messages
    /// and gives up leadership.
    pub fn halt(&mut self) {
        self.new_messages.clear();
        self.held_messages.clear();
        self.actions.retain(|a| matches!(a, Action::Role(_)));
        self.set_state(State::Halted);
    }

    /// Compacts the log up to `index` into a snapshot with `data`, the state
    /// machine's state after exactly that entry.
    ///
    /// `index` is what the driver's state machine has applied, which may be behind
    /// [`applied_index`](Self::applied_index) while actions are not carried out yet.
    pub fn compact(&mut self, now: Duration, index: u64, data: Bytes) {
        self.advance(now);
        let can_compact = index > self.log.snapshot().index && index <= self.applied_index;
        if can_compact && !matches!(self.state, State::Halted) && self.log.compact(index, data) {
            self.snapshot_changed = true;
        }
        self.finish_event();
    }

    /// Time until which no other member can be leader, or `None` if this one
    /// doesn't hold a lease. `applied` is the index of the last entry that the driver's
    /// state machine has applied.
    ///
    /// The lease starts when the latest heartbeat round that a majority has answered
    /// was sent. A new leader has no lease before the first entry of its own term is
    /// committed and applied, since it may not know everything committed earlier.
    pub fn lease_until(&self, applied: u64) -> Option<Duration> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if applied < leader.first_index {
            return None;
        }
        Some(leader.confirmed_at? + self.settings.lease_duration)
    }

    /// Advances the time to that of the current event.
    ///
    /// A long gap since the last event means that the process was frozen or the
    /// clock jumped. Which of the two it was, and so how long ago this member heard from
    /// a leader, can't be told. Of each gap it therefore counts no more than a heartbeat
    /// interval, less than what the lease allows for. It must not begin to wait anew:
    /// members that are frozen again and again would neither vote nor campaign. A
    /// leader has asked nobody in the gap, so it steps down only if it gets no answers
    /// from now on.
    fn advance(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap <= self.settings.max_event_gap {
            return;
        }
        if let State::Leader(leader) = &mut self.state {
            leader.running_since = self.now;
            return;
        }
        let uncounted = gap.saturating_sub(self.settings.heartbeat_interval);
        self.last_leader_contact += uncounted;
        self.election_deadline += uncounted;
    }

    /// Whether the message comes from this member's cluster. A member that belongs
    /// to no cluster joins that of the sender.
    fn accepts_cluster(&mut self, message: &Message) -> bool {
        match self.hard_state.cluster() {
            Some(cluster) => cluster == message.cluster,
            None => {
                self.hard_state.cluster = message.cluster.get();
                self.hard_state_changed = true;
                true
            }
        }
    }

    fn dispatch(&mut self, from: id::Member, message: Message) {
        use message::Body::{
            AppendRequest, AppendResponse, InstallSnapshot, VoteRequest, VoteResponse,
        };
        let term = message.term;
        match message.body {
            VoteRequest(request) => self.on_vote_request(from, term, request),
            VoteResponse(response) => self.on_vote_response(from, term, response),
            AppendRequest(request) => self.on_append_request(from, term, request),
            InstallSnapshot(request) => self.on_install_snapshot(from, term, request),
            AppendResponse(response) => self.on_append_response(from, term, response),
        }
    }

    fn check_leader(&self) -> Result<()> {
        match self.state {
            State::Leader(_) => Ok(()),
            State::Halted => Err(Error::Halted(self.id)),
            _ => Err(Error::NotLeader {
                leader: self.leader(),
            }),
        }
    }

    fn set_state(&mut self, state: State) {
        let before = self.role();
        self.state = state;
        if before == Role::Leader {
            self.last_leader_contact = self.now;
            self.reset_election_deadline();
        }
        if self.role() != before {
            self.actions.push(Action::Role(self.role()));
        }
    }

    fn set_term(&mut self, term: u64) {
        assert!(term > self.hard_state.term, "term must grow");
        self.hard_state.term = term;
        self.hard_state.vote = 0;
        self.hard_state.leader = 0;
        self.hard_state_changed = true;
    }

    fn become_follower(&mut self, term: u64, leader: Option<id::Member>) {
        if term > self.hard_state.term {
            self.set_term(term);
        }
        self.set_state(State::Follower { leader });
    }

    /// Records who leads this term. A message that depends on it is sent after the sync.
    fn set_term_leader(&mut self, leader: id::Member) {
        self.hard_state_changed |= self.hard_state.leader != leader.get();
        self.hard_state.leader = leader.get();
    }

    /// Whether this member led the latest term that it knows, and has restarted so lately
    /// that the others may have restarted with it.
    fn may_reclaim(&self) -> bool {
        self.hard_state.leader() == Some(self.id) && self.now < self.reclaims_until
    }

    /// Draws a new election deadline, one to two election timeouts from now. A member that
    /// may reclaim its leadership tries again soon.
    fn reset_election_deadline(&mut self) {
        if self.may_reclaim() {
            self.election_deadline = self.now + self.settings.heartbeat_interval;
            return;
        }
        let timeout = self.settings.election_timeout;
        let extra = timeout.mul_f64(self.rng.random::<f64>());
        self.election_deadline = self.now + timeout + extra;
    }

    /// Queues [`Action::Apply`] for entries that are both committed and synced here.
    fn apply(&mut self) {
        while self.applied_index < self.commit_index.min(self.durable_index) {
            let Some(entry) = self.log.get(self.applied_index + 1) else {
                break;
            };
            self.actions.push(Action::Apply(entry.clone()));
            self.applied_index += 1;
        }
    }
}

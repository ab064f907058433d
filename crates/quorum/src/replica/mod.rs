//! One member's part in the agreement, as a state machine without I/O.
//!
//! The driver owns the clock, the disk and the wires. For each event it reads
//! its monotonic clock *after* taking the event, calls one method, then carries
//! out the actions of [`Replica::take_actions`] in order. Messages that promise
//! something durable are held back here until [`Replica::synced`], so a driver
//! can't acknowledge too early by sending in the wrong order.
//!
//! Time is a [`Duration`] since any origin. Leases need clocks that run at
//! nearly the same rate, not clocks that agree.

mod action;
mod append;
mod change;
mod election;
mod error;
mod leader;
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
use outbox::Held;

#[derive(Debug)]
enum State {
    Follower { leader: Option<id::Member> },
    Candidate(Candidate),
    Leader(Leader),
    Halted,
}

/// One member of the cluster.
#[derive(Debug)]
pub struct Replica<R> {
    id: id::Member,
    settings: Settings,
    rng: R,
    hard_state: HardState,
    log: Log,
    state: State,
    commit: u64,
    applied: u64,
    now: Duration,
    /// Latest sign of a leader, or the instant from which there may have been one.
    contact: Duration,
    deadline: Duration,
    durable: u64,
    writes: VecDeque<(u64, u64)>,
    written: u64,
    synced: u64,
    hard_changed: bool,
    snapshot_changed: bool,
    changed_from: Option<u64>,
    fresh: Vec<Held>,
    held: VecDeque<(u64, Held)>,
    out: Vec<Action>,
}

impl<R: Rng> Replica<R> {
    /// Starts from what the store recovered.
    ///
    /// The first action restores the state machine if there is a snapshot.
    pub fn new(settings: Settings, recovered: StoredState, rng: R, now: Duration) -> Self {
        let log = Log::new(recovered.snapshot, recovered.entries);
        let snapshot = log.snapshot().clone();
        let durable = log.last_index();
        let mut replica = Self {
            id: recovered.id,
            settings,
            rng,
            hard_state: recovered.hard_state,
            state: State::Follower { leader: None },
            commit: recovered.hard_state.commit.clamp(snapshot.index, durable),
            applied: snapshot.index,
            now,
            contact: now,
            deadline: now,
            durable,
            writes: VecDeque::new(),
            written: 0,
            synced: 0,
            hard_changed: false,
            snapshot_changed: false,
            changed_from: None,
            fresh: Vec::new(),
            held: VecDeque::new(),
            out: Vec::new(),
            log,
        };
        if snapshot.index > 0 {
            replica.out.push(Action::Restore(snapshot));
        }
        replica.reset_deadline();
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

    /// The leader this member knows, itself included.
    pub fn leader(&self) -> Option<id::Member> {
        match &self.state {
            State::Follower { leader } => *leader,
            State::Leader(_) => Some(self.id),
            _ => None,
        }
    }

    /// Highest index known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Highest index handed out for applying.
    pub fn applied_index(&self) -> u64 {
        self.applied
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

    /// Takes the actions that are due, in order.
    pub fn take_actions(&mut self) -> Vec<Action> {
        mem::take(&mut self.out)
    }

    /// Advances the time; call it every few tens of milliseconds.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        match &self.state {
            State::Leader(_) => self.tick_leader(),
            State::Halted => {}
            _ if self.now >= self.deadline => self.campaign(),
            _ => {}
        }
        self.flush();
    }

    /// Takes a message that was addressed to this member's id.
    pub fn receive(&mut self, now: Duration, from: id::Member, message: Message) {
        self.advance(now);
        if !matches!(self.state, State::Halted) && self.is_ours(&message) {
            self.dispatch(from, message);
        }
        self.flush();
    }

    /// Proposes a payload; it is committed once an [`Action::Apply`] carries this position.
    pub fn propose(&mut self, now: Duration, payload: Bytes) -> Result<Position> {
        self.advance(now);
        self.check_leader()?;
        let position = self.append_own(Some(Body::Data(payload)));
        self.broadcast();
        self.flush();
        Ok(position)
    }

    /// Reports that every write up to `number` is synced.
    pub fn synced(&mut self, now: Duration, number: u64) {
        self.advance(now);
        self.synced = self.synced.max(number);
        while let Some((write, last)) = self.writes.front().copied() {
            if write > self.synced {
                break;
            }
            self.durable = last;
            self.writes.pop_front();
        }
        self.release();
        if matches!(self.state, State::Leader(_)) {
            self.advance_commit();
        }
        self.apply();
        self.flush();
    }

    /// Stops for good after a store error: nothing is sent, promised or led any more.
    pub fn halt(&mut self) {
        self.fresh.clear();
        self.held.clear();
        self.out.retain(|a| matches!(a, Action::Role(_)));
        self.set_state(State::Halted);
    }

    /// Replaces the log up to `index` by `data`, the machine's state after exactly that entry.
    ///
    /// The driver names the index that its machine has reached, which may be
    /// behind [`applied_index`](Self::applied_index) while actions are not carried out yet.
    pub fn compact(&mut self, now: Duration, index: u64, data: Bytes) {
        self.advance(now);
        let due = index > self.log.snapshot().index && index <= self.applied;
        if due && !matches!(self.state, State::Halted) && self.log.compact(index, data) {
            self.snapshot_changed = true;
        }
        self.flush();
    }

    /// Instant until which a majority has confirmed this member's leadership.
    ///
    /// It is measured from the sending of the confirmed round, and `None`
    /// before an entry of this leader's own term is committed and applied.
    pub fn lease_until(&self) -> Option<Duration> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        if self.applied < leader.first {
            return None;
        }
        Some(leader.confirmed? + self.settings.lease)
    }

    /// A gap between two events means a frozen process or a jumped clock: what
    /// this member knows of the leader's contact is then too old to vote on.
    fn advance(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.now);
        self.now = self.now.max(now);
        if gap > self.settings.gap && !matches!(self.state, State::Leader(_)) {
            self.contact = self.now;
            self.reset_deadline();
        }
    }

    fn is_ours(&mut self, message: &Message) -> bool {
        match self.hard_state.cluster() {
            Some(cluster) => cluster == message.cluster,
            None => {
                self.hard_state.cluster = message.cluster.get();
                self.hard_changed = true;
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
            VoteRequest(vote) => self.on_vote(from, term, vote),
            VoteResponse(voted) => self.on_voted(from, term, voted),
            AppendRequest(append) => self.on_append(from, term, append),
            InstallSnapshot(install) => self.on_install(from, term, install),
            AppendResponse(appended) => self.on_appended(from, term, appended),
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
            self.contact = self.now;
            self.reset_deadline();
        }
        if self.role() != before {
            self.out.push(Action::Role(self.role()));
        }
    }

    fn set_term(&mut self, term: u64) {
        assert!(term > self.hard_state.term, "term must grow");
        self.hard_state.term = term;
        self.hard_state.vote = 0;
        self.hard_changed = true;
    }

    fn follow(&mut self, term: u64, leader: Option<id::Member>) {
        if term > self.hard_state.term {
            self.set_term(term);
        }
        self.set_state(State::Follower { leader });
    }

    fn reset_deadline(&mut self) {
        let least = self.settings.election;
        let extra = least.mul_f64(self.rng.random::<f64>());
        self.deadline = self.now + least + extra;
    }

    /// Hands out what is both committed and synced here.
    fn apply(&mut self) {
        while self.applied < self.commit.min(self.durable) {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.out.push(Action::Apply(entry.clone()));
            self.applied += 1;
        }
    }
}

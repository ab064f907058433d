//! The thread that owns this instance's replica and its store.
//!
//! It passes queued events to the replica in groups and carries out the resulting
//! actions. All writes of a group are synced to disk once. Committed entries are applied to
//! the state machine a few at a time, so that an instance with many of them still answers
//! the other members meanwhile.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel::{Receiver, RecvTimeoutError, Sender};
use gentian::quorum::id::{Command, Member};
use gentian::quorum::members::{Change, Peer};
use gentian::quorum::message::MessageBatch;
use gentian::quorum::replica::{self, Position, Role, Settings};
use gentian::quorum::store::{self, disk, FileStore};
use gentian::quorum::{Action, Body, Entry, Replica, Snapshot, StateMachine, Store};
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::oneshot;

use super::status::SharedStatus;
use super::transport::Outbox;
use super::{Error, Result};
use crate::clock;
use crate::panics::AbortOnPanic;

const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Time between a store error and the next attempt to open the store.
pub(super) const REOPEN_DELAY: Duration = Duration::from_secs(2);
/// Time after which applying entries gives way to events.
const APPLY_SLICE: Duration = Duration::from_millis(10);
/// Maximum number of further events handled before the actions are carried out.
const MAX_GROUP_EVENTS: usize = 256;

/// The channel to which the reply to a request is sent.
pub(super) type ReplySender = oneshot::Sender<Result<Vec<u8>>>;

/// An event that the thread handles.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages from another member arrived.
    Messages { from: Member, batch: MessageBatch },
    /// A payload is to be committed and applied.
    Propose { payload: Bytes, reply: ReplySender },
    /// The members are to be changed.
    ChangeMembers {
        command: Command,
        change: Change,
        reply: ReplySender,
    },
    /// A new cluster is to be initialized with these members.
    Init {
        peers: Vec<Peer>,
        reply: ReplySender,
    },
    /// The thread is to end.
    Stop,
}

/// Sends events to the thread's queue.
pub(crate) type EventSender = Sender<Event>;

/// The state of the thread.
pub(super) struct ReplicaThread<M> {
    pub(super) path: PathBuf,
    /// This instance's address until it is a member with an address.
    pub(super) address: String,
    pub(super) machine: M,
    /// Snapshot of the state machine before the first entry.
    pub(super) initial_snapshot: Vec<u8>,
    /// `None` from a store error until the store is opened again.
    pub(super) store: Option<FileStore<disk::Folder>>,
    pub(super) replica: Replica<StdRng>,
    pub(super) outbox: Outbox,
    pub(super) shared_status: SharedStatus,
    /// Address that each instance sent with its last messages.
    pub(super) addresses: BTreeMap<Member, String>,
    /// Term and reply channel of each request, by the log index that it waits for.
    pub(super) waiting: BTreeMap<u64, (u64, ReplySender)>,
    /// Number of the last write.
    pub(super) last_written: u64,
    /// Committed entries that the state machine has yet to apply.
    pub(super) to_apply: VecDeque<Entry>,
    /// Index of the last entry that the state machine has applied.
    pub(super) last_applied: u64,
    /// Earliest time at which the store is opened again.
    pub(super) reopen_at: Duration,
}

impl<M: StateMachine> ReplicaThread<M> {
    pub(super) fn run(mut self, events: &Receiver<Event>) {
        let _essential = AbortOnPanic("the replica");
        let mut next_tick = clock::now();
        self.run_actions();
        loop {
            let wait = match self.to_apply.is_empty() {
                true => next_tick.saturating_sub(clock::now()),
                false => Duration::ZERO,
            };
            match events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.handle(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in events.try_iter().take(MAX_GROUP_EVENTS) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.handle(event);
            }
            if clock::now() >= next_tick {
                self.tick();
                next_tick = clock::now() + TICK_INTERVAL;
            }
            self.run_actions();
        }
    }

    /// Handles an event. The clock is read after the event was received: with an earlier
    /// time, this member could vote again before the lease of the leader that it just
    /// heard from has expired.
    fn handle(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Messages { from, batch } => {
                self.addresses.insert(from, batch.address);
                self.shared_status.record_heard(from, now);
                for message in batch.messages {
                    self.replica.receive(now, from, message);
                }
            }
            Event::Propose { payload, reply } => {
                let position = self.replica.propose(now, payload);
                self.register_waiting(position, reply);
            }
            Event::ChangeMembers {
                command,
                change,
                reply,
            } => {
                let position = self.replica.change_members(now, command, &change);
                self.register_waiting(position, reply);
            }
            Event::Init { peers, reply } => {
                let result = self.replica.init(now, peers).map_err(Error::Refused);
                // The caller may no longer wait for the reply.
                let _ = reply.send(result.map(|()| Vec::new()));
            }
            Event::Stop => {}
        }
    }

    /// Keeps the reply channel until the entry at `position` is applied.
    fn register_waiting(&mut self, position: replica::Result<Position>, reply: ReplySender) {
        match position {
            Ok(Position { index, term }) => {
                self.waiting.insert(index, (term, reply));
            }
            Err(error) => {
                let _ = reply.send(Err(Error::Refused(error)));
            }
        }
    }

    fn tick(&mut self) {
        let now = clock::now();
        if self.store.is_none() {
            if now >= self.reopen_at {
                self.reopen(now);
            }
            return;
        }
        // The replica's own applied index may be ahead of the state machine's.
        let is_due = self.replica.log().is_compaction_due(self.last_applied);
        if is_due && self.machine.may_compact() {
            let data = Bytes::from(self.machine.snapshot());
            self.replica.compact(now, self.last_applied, data);
        }
        self.replica.tick(now);
    }

    /// Carries out the replica's actions until none is left, with one sync per batch of
    /// actions, applies some entries, and then publishes the status.
    fn run_actions(&mut self) {
        loop {
            let actions = self.replica.take_actions();
            if actions.is_empty() {
                break;
            }
            let before = self.last_written;
            if let Err(error) = self.perform(actions).and_then(|()| self.sync(before)) {
                self.fail(&error);
            }
        }
        self.apply_some();
        self.publish();
    }

    /// Applies committed entries for [`APPLY_SLICE`], at least one if there are any.
    fn apply_some(&mut self) {
        let until = clock::now() + APPLY_SLICE;
        while let Some(entry) = self.to_apply.pop_front() {
            self.apply(&entry);
            if clock::now() >= until {
                return;
            }
        }
    }

    fn perform(&mut self, actions: Vec<Action>) -> store::Result<()> {
        for action in actions {
            match action {
                Action::Send {
                    to,
                    address,
                    message,
                } => {
                    let address = address.or_else(|| self.addresses.get(&to).cloned());
                    if let Some(address) = address {
                        let own_address = self.own_address();
                        self.outbox.send(to, address, &own_address, message);
                    }
                }
                Action::Write(write) => {
                    let store = self.store.as_mut().ok_or(store::Error::Failed)?;
                    store.write(&write)?;
                    self.last_written = write.number;
                }
                Action::Apply(entry) => self.to_apply.push_back(entry),
                Action::Restore(snapshot) => self.restore(&snapshot),
                Action::Role(role) => self.change_role(role),
            }
        }
        Ok(())
    }

    /// Syncs the store if there were writes after the one with number `before`.
    fn sync(&mut self, before: u64) -> store::Result<()> {
        if self.last_written == before {
            return Ok(());
        }
        self.store.as_mut().ok_or(store::Error::Failed)?.sync()?;
        self.replica.synced(clock::now(), self.last_written);
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let reply = match &entry.body {
            Some(Body::Data(payload)) => self.machine.apply(entry.index, payload),
            _ => Vec::new(),
        };
        self.last_applied = entry.index;
        if let Some((term, sender)) = self.waiting.remove(&entry.index) {
            // With another term, the entry is not the one that the request proposed.
            let same_entry = term == entry.term;
            let _ = sender.send(if same_entry {
                Ok(reply)
            } else {
                Err(Error::Unknown)
            });
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let data: &[u8] = match snapshot.data.is_empty() {
            true => &self.initial_snapshot,
            false => &snapshot.data,
        };
        self.to_apply.clear();
        self.last_applied = snapshot.index;
        if let Err(error) = self.machine.restore(data) {
            let id = self.replica.id();
            log::error!("control member {id} halts until the process restarts: {error}");
            self.replica.halt();
        }
    }

    fn change_role(&mut self, role: Role) {
        log::info!("control member {} is now {role}", self.replica.id());
        if role != Role::Leader {
            self.fail_waiting();
        }
    }

    /// Fails all waiting requests, whose entries may or may not be committed.
    fn fail_waiting(&mut self) {
        for (_, (_, reply)) in std::mem::take(&mut self.waiting) {
            let _ = reply.send(Err(Error::Unknown));
        }
    }

    /// Halts the replica after a store error. That is safe because no write was
    /// acknowledged before it was synced.
    fn fail(&mut self, error: &store::Error) {
        log::error!(
            "control member {} halts and reopens its store in {REOPEN_DELAY:?}: {error}",
            self.replica.id()
        );
        self.replica.halt();
        self.fail_waiting();
        self.store = None;
        self.reopen_at = clock::now() + REOPEN_DELAY;
    }

    /// Restarts the replica from the store, as a restart of the process would.
    fn reopen(&mut self, now: Duration) {
        self.reopen_at = now + REOPEN_DELAY;
        let mut rng = StdRng::from_os_rng();
        let store = match FileStore::open_path(&self.path, &mut rng) {
            Ok(store) if store.state().id == self.replica.id() => store,
            Ok(store) => {
                return log::error!(
                    "data folder {} now belongs to member {}, not {}; trying again in \
                     {REOPEN_DELAY:?}",
                    self.path.display(),
                    store.state().id,
                    self.replica.id()
                )
            }
            Err(error) => {
                return log::error!(
                    "data folder {} can't be reopened, trying again in {REOPEN_DELAY:?}: {error}",
                    self.path.display()
                )
            }
        };
        if let Err(error) = self.machine.restore(&self.initial_snapshot) {
            return log::error!(
                "state machine can't be reset, trying again in {REOPEN_DELAY:?}: {error}"
            );
        }
        self.replica = Replica::new(Settings::default(), store.state().clone(), rng, now);
        self.last_written = 0;
        self.to_apply.clear();
        self.last_applied = 0;
        self.store = Some(store);
    }

    fn own_address(&self) -> String {
        let peer = self.replica.members().get(self.replica.id());
        peer.map_or_else(|| self.address.clone(), |peer| peer.address.clone())
    }

    fn publish(&self) {
        let leader = self.replica.leader();
        let member = leader.and_then(|id| self.replica.members().get(id));
        let member = member.map(|peer| peer.address.clone());
        let address = member.or_else(|| self.addresses.get(&leader?).cloned());
        self.shared_status
            .set(&self.replica, address, self.last_applied);
    }
}

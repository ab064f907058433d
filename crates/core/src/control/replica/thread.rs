//! The thread that owns this instance's replica and its store.
//!
//! It takes what has queued up, lets the replica decide, sends what needs no
//! disk, and then syncs once for all writes of the group.

use std::collections::BTreeMap;
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

use super::publish::Published;
use super::transport::Post;
use super::{clock, Error, Result};

const TICK: Duration = Duration::from_millis(25);
const REOPEN: Duration = Duration::from_secs(2);
const GROUP_EVENTS: usize = 256;
const COMPACT_ENTRIES: u64 = 1024;

/// Where a request's answer goes.
pub(super) type Answer = oneshot::Sender<Result<Vec<u8>>>;

/// What the thread takes.
#[derive(Debug)]
pub(crate) enum Event {
    /// Messages of another member.
    Letter { from: Member, letter: MessageBatch },
    /// A payload to commit and apply.
    Propose { payload: Bytes, answer: Answer },
    /// A change of the members.
    Change {
        command: Command,
        change: Change,
        answer: Answer,
    },
    /// The first members of a new cluster.
    Init { peers: Vec<Peer>, answer: Answer },
    /// The end of the process.
    Stop,
}

/// The thread's queue.
pub(crate) type Inbox = Sender<Event>;

/// The replica, its store, and what waits for them.
pub(super) struct Thread<M> {
    pub(super) path: PathBuf,
    pub(super) address: String,
    pub(super) machine: M,
    pub(super) blank: Vec<u8>,
    pub(super) store: Option<FileStore<disk::Folder>>,
    pub(super) replica: Replica<StdRng>,
    pub(super) post: Post,
    pub(super) published: Published,
    pub(super) addresses: BTreeMap<Member, String>,
    pub(super) waiting: BTreeMap<u64, (u64, Answer)>,
    pub(super) written: u64,
    pub(super) applied: u64,
    pub(super) reopen_at: Duration,
}

impl<M: StateMachine> Thread<M> {
    pub(super) fn run(mut self, events: &Receiver<Event>) {
        let mut next_tick = clock::now();
        self.settle();
        loop {
            let wait = next_tick.saturating_sub(clock::now());
            match events.recv_timeout(wait) {
                Ok(Event::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(event) => self.take(event),
                Err(RecvTimeoutError::Timeout) => {}
            }
            for event in events.try_iter().take(GROUP_EVENTS) {
                if matches!(event, Event::Stop) {
                    return;
                }
                self.take(event);
            }
            if clock::now() >= next_tick {
                self.tick();
                next_tick = clock::now() + TICK;
            }
            self.settle();
        }
    }

    /// Reads the clock after the event was taken, as leases demand.
    fn take(&mut self, event: Event) {
        let now = clock::now();
        match event {
            Event::Letter { from, letter } => {
                self.addresses.insert(from, letter.address);
                self.published.heard(from, now);
                for message in letter.messages {
                    self.replica.receive(now, from, message);
                }
            }
            Event::Propose { payload, answer } => {
                let position = self.replica.propose(now, payload);
                self.wait(position, answer);
            }
            Event::Change {
                command,
                change,
                answer,
            } => {
                let position = self.replica.change_members(now, command, &change);
                self.wait(position, answer);
            }
            Event::Init { peers, answer } => {
                let result = self.replica.init(now, peers).map_err(Error::Refused);
                // Whoever asked may have gone.
                let _ = answer.send(result.map(|()| Vec::new()));
            }
            Event::Stop => {}
        }
    }

    fn wait(&mut self, position: replica::Result<Position>, answer: Answer) {
        match position {
            Ok(Position { index, term }) => {
                self.waiting.insert(index, (term, answer));
            }
            Err(error) => {
                let _ = answer.send(Err(Error::Refused(error)));
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
        let base = self.replica.log().snapshot().index;
        // The replica may have handed out more than the machine has applied.
        if self.applied >= base + COMPACT_ENTRIES {
            let data = Bytes::from(self.machine.snapshot());
            self.replica.compact(now, self.applied, data);
        }
        self.replica.tick(now);
    }

    /// Carries out actions until none is left, with one sync per group.
    fn settle(&mut self) {
        loop {
            let actions = self.replica.take_actions();
            if actions.is_empty() {
                break;
            }
            let written = self.written;
            if let Err(error) = self.perform(actions).and_then(|()| self.sync(written)) {
                self.fail(&error);
            }
        }
        self.publish();
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
                        let reply = self.own_address();
                        self.post.send(to, address, &reply, message);
                    }
                }
                Action::Write(write) => {
                    let store = self.store.as_mut().ok_or(store::Error::Failed)?;
                    store.write(&write)?;
                    self.written = write.number;
                }
                Action::Apply(entry) => self.apply(&entry),
                Action::Restore(snapshot) => self.restore(&snapshot),
                Action::Role(role) => self.change_role(role),
            }
        }
        Ok(())
    }

    fn sync(&mut self, before: u64) -> store::Result<()> {
        if self.written == before {
            return Ok(());
        }
        self.store.as_mut().ok_or(store::Error::Failed)?.sync()?;
        self.replica.synced(clock::now(), self.written);
        Ok(())
    }

    fn apply(&mut self, entry: &Entry) {
        let reply = match &entry.body {
            Some(Body::Data(payload)) => self.machine.apply(entry.index, payload),
            _ => Vec::new(),
        };
        self.applied = entry.index;
        if let Some((term, answer)) = self.waiting.remove(&entry.index) {
            let known = term == entry.term;
            let _ = answer.send(if known {
                Ok(reply)
            } else {
                Err(Error::Unknown)
            });
        }
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let data: &[u8] = match snapshot.data.is_empty() {
            true => &self.blank,
            false => &snapshot.data,
        };
        self.applied = snapshot.index;
        if let Err(error) = self.machine.restore(data) {
            log::error!("control member {} halts: {error}", self.replica.id());
            self.replica.halt();
        }
    }

    fn change_role(&mut self, role: Role) {
        log::info!("control member {} is {role}", self.replica.id());
        if role != Role::Leader {
            self.abandon();
        }
    }

    fn abandon(&mut self) {
        for (_, (_, answer)) in std::mem::take(&mut self.waiting) {
            let _ = answer.send(Err(Error::Unknown));
        }
    }

    /// Stops taking part; nothing that wasn't synced was promised to anyone.
    fn fail(&mut self, error: &store::Error) {
        log::error!("control member {} halts: {error}", self.replica.id());
        self.replica.halt();
        self.abandon();
        self.store = None;
        self.reopen_at = clock::now() + REOPEN;
    }

    /// Starts over from the disk, as a restart of the process would.
    fn reopen(&mut self, now: Duration) {
        self.reopen_at = now + REOPEN;
        let mut rng = StdRng::from_os_rng();
        let store = match FileStore::open_path(&self.path, &mut rng) {
            Ok(store) if store.state().id == self.replica.id() => store,
            Ok(_) => return log::error!("data folder belongs to another member now"),
            Err(error) => return log::error!("store can't be opened again: {error}"),
        };
        if let Err(error) = self.machine.restore(&self.blank) {
            return log::error!("state can't be cleared: {error}");
        }
        self.replica = Replica::new(Settings::default(), store.state().clone(), rng, now);
        self.written = 0;
        self.applied = 0;
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
        self.published.set(&self.replica, address);
    }
}

/// Without its replica the instance would answer nobody, so a broken invariant
/// stops the process.
impl<M> Drop for Thread<M> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            std::process::abort();
        }
    }
}

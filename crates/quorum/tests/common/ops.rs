//! What a schedule does to the instances, and what their operator does.

use std::time::Duration;

use bytes::Bytes;
use gentian_quorum::{
    id::{Command, Member},
    members::Change,
    replica::{Error, Position, Role},
    store::MemoryStore,
};
use rand::Rng;

use super::{Event, Fault, Node, World};

/// One step of a schedule; `usize` picks an instance.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Run(u64),
    Propose(usize),
    Crash(usize, u64),
    Freeze(usize, u64),
    Jump(usize, u64),
    Cut(u8, bool),
    Heal,
    Compact(usize),
    LoseDisk(usize),
    Add,
    Remove(usize),
}

impl World {
    /// Cuts the given members off from the others.
    pub(crate) fn cut(&mut self, ids: &[Member]) {
        self.cut = ids.iter().copied().collect();
        self.one_way = false;
    }

    /// Cuts off the given members and loses all messages on their way.
    pub(crate) fn cut_at_once(&mut self, ids: &[Member]) {
        self.cut(ids);
        self.queue
            .retain(|_, (_, event)| !matches!(event, Event::Deliver { .. }));
    }

    pub(crate) fn leads(&self, id: Member) -> bool {
        self.nodes[&id].up && self.nodes[&id].replica.role() == Role::Leader
    }

    /// Has one member change the others at once, without an operator who repeats it.
    pub(crate) fn remove_at(&mut self, at: Member, id: Member) -> bool {
        let command = Command::random(&mut self.rng);
        self.with(at, |r, now| {
            r.change_members(now, command, &Change::Remove { id })
        })
        .is_ok()
    }

    pub(crate) fn freeze(&mut self, id: Member, ms: u64) {
        self.node(id).frozen = self.now + Duration::from_millis(ms);
    }

    pub(crate) fn crash_all(&mut self, ms: u64) {
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            self.crash(id, ms);
        }
    }

    pub(crate) fn run_op(&mut self, op: &Op) {
        match *op {
            Op::Run(ms) => self.run(ms),
            Op::Propose(at) => self.propose(at),
            Op::Crash(at, ms) => self.crash(self.pick(at), ms),
            Op::Freeze(at, ms) => {
                let id = self.pick(at);
                self.freeze(id, ms);
            }
            Op::Jump(at, ms) => self.jump(at, ms),
            Op::Cut(mask, one_way) => {
                let ids: Vec<_> = self.nodes.keys().copied().collect();
                let cut = ids
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| mask >> (i % 8) & 1 == 1);
                self.cut = cut.map(|(_, id)| *id).collect();
                self.one_way = one_way;
            }
            Op::Heal => self.cut.clear(),
            Op::Compact(at) => self.compact(self.pick(at)),
            Op::LoseDisk(at) => self.lose(self.pick(at)),
            Op::Add => drop(self.add()),
            Op::Remove(at) => self.remove(self.pick(at)),
        }
    }

    pub(crate) fn propose(&mut self, at: usize) {
        let mut leaders: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.up && n.replica.role() == Role::Leader)
            .map(|(id, _)| *id)
            .collect();
        leaders.retain(|id| self.nodes[id].frozen <= self.now);
        if leaders.is_empty() {
            return;
        }
        let id = leaders[at % leaders.len()];
        let payload = Bytes::from(self.rng.random::<[u8; 16]>().to_vec());
        let Ok(Position { index, term }) = self.with(id, |r, now| r.propose(now, payload)) else {
            return;
        };
        // A single voter with an early sync may have applied it already.
        if self.nodes[&id].replica.applied_index() < index {
            self.node(id).waiting.insert(index, term);
        }
    }

    pub(crate) fn crash(&mut self, id: Member, ms: u64) {
        let node = self.node(id);
        if node.up {
            node.up = false;
            node.frozen = Duration::ZERO;
            self.schedule(ms * 1000, id, Event::Start);
        }
    }

    /// Leases allow for one small jump within an election timeout, or any large one.
    fn jump(&mut self, at: usize, ms: u64) {
        if self.now > self.last_jump + Duration::from_secs(3) {
            self.last_jump = self.now;
            let id = self.pick(at);
            self.node(id).offset += Duration::from_millis(ms);
        }
    }

    fn compact(&mut self, id: Member) {
        let applied = self.nodes[&id].replica.applied_index();
        if self.nodes[&id].up && applied > 0 {
            let digest = Bytes::from(self.model.digest(applied));
            self.with(id, |r, now| r.compact(now, applied, digest));
        }
    }

    /// Loses a disk if the remaining voters can still decide, and has the member replaced.
    pub(crate) fn lose(&mut self, id: Member) {
        let enough = self.nodes.values().all(|n| {
            let members = n.replica.members();
            let live = members
                .voters()
                .filter(|v| *v != id && self.nodes.contains_key(v))
                .count();
            members.voters().next().is_none() || live >= members.majority()
        });
        if self.fault == Fault::SameId {
            let offset = self.nodes[&id].offset;
            self.boot(id, MemoryStore::new(id), offset);
            return;
        }
        let member = self
            .nodes
            .values()
            .any(|n| n.replica.members().get(id).is_some());
        if !enough || !member || !self.commands.is_empty() {
            return;
        }
        self.nodes.remove(&id);
        self.lost.insert(id);
        let new = self.fresh();
        let change = Change::Replace {
            old: id,
            id: new,
            address: new.to_string(),
        };
        self.command(change);
    }

    /// Starts an instance and has it added, if there is room and nothing else to do.
    pub(crate) fn add(&mut self) -> Option<Member> {
        if self.nodes.len() >= 7 || !self.commands.is_empty() {
            return None;
        }
        let id = self.fresh();
        let address = id.to_string();
        self.command(Change::Add { id, address });
        Some(id)
    }

    fn remove(&mut self, id: Member) {
        let repaired = |n: &Node| n.replica.members().ids().all(|id| !self.lost.contains(&id));
        if self.commands.is_empty() && self.nodes.values().all(repaired) {
            self.command(Change::Remove { id });
        }
    }

    fn command(&mut self, change: Change) {
        let command = Command::random(&mut self.rng);
        self.commands.push((command, change));
    }

    /// The operator sends each command until a leader calls it done, with a lease on it.
    pub(super) fn operate(&mut self, id: Member) {
        for (command, change) in self.commands.clone() {
            let node = &self.nodes[&id];
            let leased = node
                .replica
                .lease_until()
                .is_some_and(|until| until > self.now + node.offset);
            let answer = self.with(id, |r, now| r.change_members(now, command, &change));
            let done = matches!(answer, Err(Error::AlreadyDone(_))) && leased;
            if done || matches!(answer, Err(Error::InvalidChange(_))) {
                self.commands.retain(|(c, _)| *c != command);
            }
        }
    }
}

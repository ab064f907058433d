//! The operations of a schedule: faults, proposals and membership changes.

use std::time::Duration;

use bytes::Bytes;
use gentian_quorum::{
    id::{Command, Member},
    members::Change,
    replica::{Error, Position, Role},
    store::MemoryStore,
};
use rand::Rng;

use super::{DriverFault, Event, Node, Simulation};

/// One step of a schedule. A `usize` selects an instance; the `u64` is a duration
/// in milliseconds.
#[derive(Clone, Debug)]
pub(crate) enum Op {
    Run(u64),
    Propose(usize),
    Crash(usize, u64),
    Freeze(usize, u64),
    JumpClock(usize, u64),
    /// Cuts off the instances of a bit mask; whether only what they send is lost.
    Partition(u8, bool),
    HealNetwork,
    Compact(usize),
    LoseDisk(usize),
    Add,
    Remove(usize),
}

impl Simulation {
    /// Partitions the network between the given members and the others.
    pub(crate) fn cut_off(&mut self, ids: &[Member]) {
        self.cut_off = ids.iter().copied().collect();
        self.one_way = false;
    }

    /// Partitions the network and drops all messages in flight.
    pub(crate) fn cut_off_and_drop_messages(&mut self, ids: &[Member]) {
        self.cut_off(ids);
        self.queue
            .retain(|_, (_, event)| !matches!(event, Event::Deliver { .. }));
    }

    pub(crate) fn is_leader(&self, id: Member) -> bool {
        self.nodes[&id].up && self.nodes[&id].replica.role() == Role::Leader
    }

    /// Requests a removal from one instance, once only; whether it accepted.
    pub(crate) fn request_removal(&mut self, leader: Member, id: Member) -> bool {
        let command = Command::random(&mut self.rng);
        self.call_replica(leader, |r, now| {
            r.change_members(now, command, &Change::Remove { id })
        })
        .is_ok()
    }

    pub(crate) fn freeze(&mut self, id: Member, ms: u64) {
        self.node(id).frozen_until = self.now + Duration::from_millis(ms);
    }

    pub(crate) fn freeze_all(&mut self, ms: u64) {
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            self.freeze(id, ms);
        }
    }

    pub(crate) fn crash_all(&mut self, ms: u64) {
        let ids: Vec<_> = self.nodes.keys().copied().collect();
        for id in ids {
            self.crash(id, ms);
        }
    }

    pub(crate) fn apply_op(&mut self, op: &Op) {
        match *op {
            Op::Run(ms) => self.run(ms),
            Op::Propose(at) => self.propose(at),
            Op::Crash(at, ms) => self.crash(self.nth_instance(at), ms),
            Op::Freeze(at, ms) => {
                let id = self.nth_instance(at);
                self.freeze(id, ms);
            }
            Op::JumpClock(at, ms) => self.jump_clock(at, ms),
            Op::Partition(mask, one_way) => {
                let ids: Vec<_> = self.nodes.keys().copied().collect();
                let selected = ids
                    .iter()
                    .enumerate()
                    .filter(|(i, _)| mask >> (i % 8) & 1 == 1);
                self.cut_off = selected.map(|(_, id)| *id).collect();
                self.one_way = one_way;
            }
            Op::HealNetwork => self.cut_off.clear(),
            Op::Compact(at) => self.compact(self.nth_instance(at)),
            Op::LoseDisk(at) => self.lose_disk(self.nth_instance(at)),
            Op::Add => drop(self.add()),
            Op::Remove(at) => self.remove(self.nth_instance(at)),
        }
    }

    pub(crate) fn propose(&mut self, at: usize) {
        let mut leaders: Vec<_> = self
            .nodes
            .iter()
            .filter(|(_, n)| n.up && n.replica.role() == Role::Leader)
            .map(|(id, _)| *id)
            .collect();
        leaders.retain(|id| self.nodes[id].frozen_until <= self.now);
        if leaders.is_empty() {
            return;
        }
        let id = leaders[at % leaders.len()];
        let payload = Bytes::from(self.rng.random::<[u8; 16]>().to_vec());
        let Ok(Position { index, term }) = self.call_replica(id, |r, now| r.propose(now, payload))
        else {
            return;
        };
        // The only voter may have applied the entry within the call if its driver
        // reports syncs too early.
        if self.nodes[&id].replica.applied_index() < index {
            self.node(id).proposed.insert(index, term);
        }
    }

    pub(crate) fn crash(&mut self, id: Member, ms: u64) {
        let node = self.node(id);
        if node.up {
            node.up = false;
            node.frozen_until = Duration::ZERO;
            self.schedule(ms * 1000, id, Event::Start);
        }
    }

    /// Moves an instance's clock forward, at most every 3 s: leases are safe for one
    /// undetected small jump per election timeout, and for any detected large one.
    fn jump_clock(&mut self, at: usize, ms: u64) {
        if self.now > self.last_clock_jump + Duration::from_secs(3) {
            self.last_clock_jump = self.now;
            let id = self.nth_instance(at);
            self.node(id).clock_offset += Duration::from_millis(ms);
        }
    }

    fn compact(&mut self, id: Member) {
        let applied = self.nodes[&id].replica.applied_index();
        if self.nodes[&id].up && applied > 0 {
            let digest = Bytes::from(self.model.digest(applied));
            self.call_replica(id, |r, now| r.compact(now, applied, digest));
        }
    }

    /// Loses a member's disk and has the member replaced, if the remaining voters
    /// still form a majority.
    pub(crate) fn lose_disk(&mut self, id: Member) {
        let majority_remains = self.nodes.values().all(|n| {
            let members = n.replica.members();
            let live = members
                .voters()
                .filter(|v| *v != id && self.nodes.contains_key(v))
                .count();
            members.voters().next().is_none() || live >= members.majority()
        });
        if self.fault == DriverFault::SameId {
            let clock_offset = self.nodes[&id].clock_offset;
            self.start_instance(id, MemoryStore::new(id), clock_offset);
            return;
        }
        let is_member = self
            .nodes
            .values()
            .any(|n| n.replica.members().get(id).is_some());
        if !majority_remains || !is_member || !self.pending_commands.is_empty() {
            return;
        }
        self.nodes.remove(&id);
        self.lost_disks.insert(id);
        let new = self.start_empty_instance();
        let change = Change::Replace {
            old: id,
            id: new,
            address: new.to_string(),
        };
        self.add_command(change);
    }

    /// Starts an instance and has it added as a member, if there are fewer than 7 and
    /// no other change is pending.
    pub(crate) fn add(&mut self) -> Option<Member> {
        if self.nodes.len() >= 7 || !self.pending_commands.is_empty() {
            return None;
        }
        let id = self.start_empty_instance();
        let address = id.to_string();
        self.add_command(Change::Add { id, address });
        Some(id)
    }

    fn remove(&mut self, id: Member) {
        let has_all_disks = |n: &Node| {
            n.replica
                .members()
                .ids()
                .all(|id| !self.lost_disks.contains(&id))
        };
        if self.pending_commands.is_empty() && self.nodes.values().all(has_all_disks) {
            self.add_command(Change::Remove { id });
        }
    }

    fn add_command(&mut self, change: Change) {
        let command = Command::random(&mut self.rng);
        self.pending_commands.push((command, change));
    }

    /// Has the operator send all pending commands to an instance. A command is done
    /// once a leader that holds a lease says so, or says that it is invalid: a former leader
    /// may lack the change that made it valid.
    pub(super) fn send_commands(&mut self, id: Member) {
        for (command, change) in self.pending_commands.clone() {
            let node = &self.nodes[&id];
            let has_lease = node
                .replica
                .lease_until(node.replica.applied_index())
                .is_some_and(|until| until > self.now + node.clock_offset);
            let answer = self.call_replica(id, |r, now| r.change_members(now, command, &change));
            let is_final = matches!(answer, Err(Error::AlreadyDone(_) | Error::InvalidChange(_)));
            if is_final && has_lease {
                self.pending_commands.retain(|(c, _)| *c != command);
            }
        }
    }
}

//! Disks that are full for a while, and what the driver does then.

use std::time::Duration;

use gentian_quorum::id::Member;

use super::{DriverFault, Event, Simulation};

/// Time from a refused write to the attempt to open the store again.
const REOPEN_DELAY: Duration = Duration::from_secs(2);

impl Simulation {
    /// Lets a member's disk take no writes for this time.
    pub(crate) fn fill_disk(&mut self, id: Member, ms: u64) {
        self.node(id).full_until = self.now + Duration::from_millis(ms);
    }

    /// All instances, in a fixed order.
    pub(crate) fn instances(&self) -> Vec<Member> {
        self.nodes.keys().copied().collect()
    }

    /// Whether the disk takes no writes.
    pub(super) fn is_full(&self, id: Member) -> bool {
        self.now < self.nodes[&id].full_until
    }

    /// Halts the replica after a refused write, whose actions are lost with it.
    pub(super) fn fail(&mut self, id: Member) {
        let node = self.node(id);
        node.replica.halt();
        node.proposed.clear();
        let incarnation = node.incarnation;
        if self.fault != DriverFault::StaysHalted {
            self.schedule_reopen(id, incarnation);
        }
    }

    /// Starts the replica anew from what the store holds, unless the disk is still full.
    pub(super) fn reopen(&mut self, id: Member) {
        if self.is_full(id) {
            let incarnation = self.nodes[&id].incarnation;
            return self.schedule_reopen(id, incarnation);
        }
        if let Some(node) = self.nodes.remove(&id) {
            self.start_instance(id, node.store, node.clock_offset);
        }
    }

    fn schedule_reopen(&mut self, id: Member, incarnation: u64) {
        let delay = REOPEN_DELAY.as_micros() as u64;
        self.schedule(delay, id, Event::Reopen { incarnation });
    }
}

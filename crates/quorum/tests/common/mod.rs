//! A deterministic simulation of replicas, their stores, clocks and network, in
//! virtual time and driven by a seed.

#![allow(dead_code)]

mod full_disk;
pub(crate) mod model;
mod network;
pub(crate) mod ops;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use gentian_quorum::{
    id::{Command, Member},
    members::{Change, Peer},
    replica::{Role, Settings},
    store::MemoryStore,
    Action, Message, Replica, Store,
};
use model::Model;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Deliberate faults of a driver, to verify that the checks detect them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum DriverFault {
    #[default]
    None,
    /// Reports writes as synced before they are.
    EarlySync,
    /// An instance that lost its disk keeps its id.
    SameId,
    /// Never opens a store again that has refused a write.
    StaysHalted,
}

/// One instance.
struct Node {
    replica: Replica<Pcg64Mcg>,
    store: MemoryStore,
    /// Difference between the instance's clock and true time.
    clock_offset: Duration,
    /// True time until which the process handles no events.
    frozen_until: Duration,
    /// True time until which the disk takes no writes.
    full_until: Duration,
    up: bool,
    /// Identifies one run of the process; events of earlier runs are dropped.
    incarnation: u64,
    /// Term by index of the entries proposed here and not applied yet.
    proposed: BTreeMap<u64, u64>,
}

#[derive(Clone)]
enum Event {
    Deliver {
        from: Member,
        message: Message,
    },
    Tick {
        incarnation: u64,
    },
    /// The store syncs and the driver reports it.
    Sync {
        incarnation: u64,
        number: u64,
    },
    /// The driver reports a sync that has not happened yet.
    Report {
        incarnation: u64,
        number: u64,
    },
    /// A crashed instance starts again.
    Start,
    /// The driver opens the store again that has refused a write.
    Reopen {
        incarnation: u64,
    },
}

/// All instances, their network, and the operator who changes the members.
pub(crate) struct Simulation {
    pub(crate) fault: DriverFault,
    /// Factor by which syncs take longer than usual.
    pub(crate) sync_slowness: u64,
    /// Probability that a message is lost.
    pub(crate) loss: f64,
    /// Drops append requests with an entry of the sender's current term.
    pub(crate) drop_own_term_entries: bool,
    settings: Settings,
    rng: Pcg64Mcg,
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), (Member, Event)>,
    nodes: BTreeMap<Member, Node>,
    lost_disks: BTreeSet<Member>,
    /// Members on one side of a network partition.
    cut_off: BTreeSet<Member>,
    /// Whether only messages from `cut_off` to the other side are lost.
    one_way: bool,
    /// Membership changes that the operator repeats until they are done.
    pending_commands: Vec<(Command, Change)>,
    last_clock_jump: Duration,
    model: Model,
}

impl Simulation {
    /// Starts `voters` instances and initializes a cluster of them.
    pub(crate) fn initialized(seed: u64, voters: usize) -> Self {
        let mut simulation = Self::uninitialized(seed, voters);
        let ids: Vec<_> = simulation.nodes.keys().copied().collect();
        let peers = ids
            .iter()
            .map(|id| Peer::voter(*id, id.to_string()))
            .collect();
        simulation.call_replica(ids[0], |replica, now| replica.init(now, peers).unwrap());
        simulation
    }

    /// Starts instances with empty data folders. With an even seed, each message
    /// holds at most one entry.
    pub(crate) fn uninitialized(seed: u64, instances: usize) -> Self {
        let message_bytes = if seed.is_multiple_of(2) { 1 } else { 1 << 20 };
        let mut simulation = Self {
            fault: DriverFault::None,
            sync_slowness: 1,
            loss: 0.0,
            drop_own_term_entries: false,
            settings: Settings::builder()
                .max_message_bytes(message_bytes)
                .build()
                .unwrap(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Duration::from_secs(100),
            sequence: 0,
            queue: BTreeMap::new(),
            nodes: BTreeMap::new(),
            lost_disks: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            one_way: false,
            pending_commands: Vec::new(),
            last_clock_jump: Duration::ZERO,
            model: Model::default(),
        };
        for _ in 0..instances {
            simulation.start_empty_instance();
        }
        simulation
    }

    /// Initializes a cluster, waits for its leader and then sets `fault`.
    pub(crate) fn with_leader(seed: u64, voters: usize, fault: DriverFault) -> Self {
        let mut simulation = Self::initialized(seed, voters);
        simulation.run_until(10_000, |simulation| simulation.leader().is_some());
        simulation.run(2_000);
        simulation.fault = fault;
        simulation
    }

    /// Runs until the condition holds; panics if it doesn't within `ms`.
    pub(crate) fn run_until(&mut self, ms: u64, condition: impl Fn(&Self) -> bool) {
        for _ in 0..ms / 10 {
            if condition(self) {
                return;
            }
            self.run(10);
        }
        panic!("condition not reached within {ms} ms: {}", self.describe());
    }

    /// All members but the leader; panics if there are not exactly `N`.
    pub(crate) fn followers<const N: usize>(&self) -> [Member; N] {
        let leader = self.leader();
        let followers: Vec<_> = self
            .nodes
            .keys()
            .copied()
            .filter(|id| Some(*id) != leader)
            .collect();
        followers.try_into().unwrap()
    }

    /// Whether all changes are done and all members are voters with their disks.
    pub(crate) fn is_repaired(&self) -> bool {
        let has_live_voters_only = |n: &Node| {
            n.replica
                .members()
                .peers()
                .iter()
                .all(|p| p.voter && !self.lost_disks.contains(&p.id().unwrap()))
        };
        self.pending_commands.is_empty()
            && self
                .leader()
                .is_some_and(|id| has_live_voters_only(&self.nodes[&id]))
    }

    pub(crate) fn term(&self) -> u64 {
        self.nodes.values().map(|n| n.replica.term()).max().unwrap()
    }

    /// Handles all events of the next `ms` of true time.
    pub(crate) fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= end) {
            let ((at, _), (to, event)) = entry.remove_entry();
            self.now = self.now.max(at);
            self.handle(to, event);
            self.check();
        }
        self.now = end;
        self.check();
    }

    /// Ends all network faults; panics unless all members then agree and commit
    /// entries again.
    pub(crate) fn assert_agreement(&mut self) {
        self.cut_off.clear();
        self.loss = 0.0;
        for _ in 0..100 {
            self.run(300);
            self.propose(0);
            if self.pending_commands.is_empty() && self.agrees() {
                return;
            }
        }
        panic!(
            "no agreement after 30 s without faults: {}",
            self.describe()
        );
    }

    /// Number of entries that were applied by any member.
    pub(crate) fn committed(&self) -> usize {
        self.model.committed().len()
    }

    pub(crate) fn leader(&self) -> Option<Member> {
        let leaders = self
            .nodes
            .iter()
            .filter(|(_, n)| n.up && n.replica.role() == Role::Leader);
        leaders
            .max_by_key(|(_, n)| n.replica.term())
            .map(|(id, _)| *id)
    }

    fn agrees(&self) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        let members = self.nodes[&leader].replica.members();
        let last = self.committed() as u64;
        let holds = |id| {
            self.nodes
                .get(&id)
                .is_some_and(|n| n.up && n.replica.applied_index() + 3 >= last)
        };
        members.ids().all(holds) && last > 1
    }

    fn describe(&self) -> String {
        let describe = |(id, n): (&Member, &Node)| {
            let r = &n.replica;
            format!(
                "\n{id} up={} {} term={} applied={} [{}]",
                n.up,
                r.role(),
                r.term(),
                r.applied_index(),
                r.members()
            )
        };
        self.nodes.iter().map(describe).collect()
    }

    fn nth_instance(&self, n: usize) -> Member {
        *self.nodes.keys().nth(n % self.nodes.len()).unwrap()
    }

    fn node(&mut self, id: Member) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    fn start_empty_instance(&mut self) -> Member {
        let id = Member::random(&mut self.rng);
        let clock_offset = Duration::from_millis(self.rng.random_range(0..9000));
        self.start_instance(id, MemoryStore::new(id), clock_offset);
        id
    }

    fn start_instance(&mut self, id: Member, mut store: MemoryStore, clock_offset: Duration) {
        let kept = self.rng.random_range(0..=store.pending());
        let recovered = store.crash(kept);
        let rng = Pcg64Mcg::seed_from_u64(self.rng.random());
        let replica = Replica::new(self.settings, recovered, rng, self.now + clock_offset);
        let incarnation = self.sequence;
        let proposed = BTreeMap::new();
        let node = Node {
            replica,
            store,
            clock_offset,
            frozen_until: Duration::ZERO,
            full_until: Duration::ZERO,
            up: true,
            incarnation,
            proposed,
        };
        self.nodes.insert(id, node);
        self.carry_out_actions(id);
        self.schedule(0, id, Event::Tick { incarnation });
    }

    fn schedule(&mut self, delay_us: u64, to: Member, event: Event) {
        self.sequence += 1;
        let at = self.now + Duration::from_micros(delay_us);
        self.queue.insert((at, self.sequence), (to, event));
    }

    fn handle(&mut self, to: Member, event: Event) {
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.frozen_until > self.now && node.up {
            self.sequence += 1;
            let key = (node.frozen_until, self.sequence);
            self.queue.insert(key, (to, event));
            return;
        }
        let (up, incarnation) = (node.up, node.incarnation);
        match event {
            Event::Deliver { from, message } if up => {
                self.call_replica(to, |r, now| r.receive(now, from, message))
            }
            Event::Tick { incarnation: of } if up && of == incarnation => {
                self.call_replica(to, |r, now| r.tick(now));
                self.send_commands(to);
                self.schedule(
                    TICK_INTERVAL.as_micros() as u64,
                    to,
                    Event::Tick { incarnation },
                );
            }
            Event::Sync {
                incarnation: of,
                number,
            } if up && of == incarnation => {
                self.node(to).store.sync().unwrap();
                self.call_replica(to, |r, now| r.synced(now, number));
            }
            Event::Report {
                incarnation: of,
                number,
            } if up && of == incarnation => {
                self.call_replica(to, |r, now| r.synced(now, number));
            }
            Event::Reopen { incarnation: of } if up && of == incarnation => self.reopen(to),
            Event::Start if !up => {
                let node = self.nodes.remove(&to).unwrap();
                self.start_instance(to, node.store, node.clock_offset);
            }
            _ => {}
        }
    }

    fn call_replica<T>(
        &mut self,
        id: Member,
        call: impl FnOnce(&mut Replica<Pcg64Mcg>, Duration) -> T,
    ) -> T {
        let now = self.now;
        let node = self.node(id);
        let result = call(&mut node.replica, now + node.clock_offset);
        self.carry_out_actions(id);
        result
    }

    fn carry_out_actions(&mut self, id: Member) {
        let actions = self.node(id).replica.take_actions();
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.send(id, to, message),
                Action::Write(_) if self.is_full(id) => return self.fail(id),
                Action::Write(write) => self.write(id, &write),
                Action::Apply(entry) => self.apply(id, &entry),
                Action::Restore(snapshot) => self.model.check_restored(&snapshot),
                Action::Role(Role::Leader) => self.model.check_new_leader(&self.nodes[&id].replica),
                Action::Role(_) => self.node(id).proposed.clear(),
            }
        }
    }

    fn write(&mut self, id: Member, write: &gentian_quorum::store::Write) {
        self.node(id).store.write(write).unwrap();
        let (incarnation, number) = (self.nodes[&id].incarnation, write.number);
        let mut delay = self.rng.random_range(500..20_000) * self.sync_slowness;
        if self.fault == DriverFault::EarlySync {
            delay *= 50;
            self.schedule(
                0,
                id,
                Event::Report {
                    incarnation,
                    number,
                },
            );
        }
        self.schedule(
            delay,
            id,
            Event::Sync {
                incarnation,
                number,
            },
        );
    }

    fn apply(&mut self, id: Member, entry: &gentian_quorum::Entry) {
        let term = self.nodes[&id].replica.term();
        self.model.check_applied(entry, term);
        let node = self.node(id);
        if node.proposed.remove(&entry.index) == Some(entry.term) {
            self.model.record_acknowledged(entry.index);
        }
    }

    fn check(&self) {
        let up = self.nodes.values().filter(|n| n.up);
        self.model
            .check_leases(self.now, up.map(|n| (&n.replica, n.clock_offset)));
    }
}

//! A seeded scheduler of replicas in virtual time.

#![allow(dead_code)]

pub(crate) mod model;
pub(crate) mod ops;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use gentian_quorum::{
    id::{Command, Member},
    members::{Change, Peer},
    message::{self, MessageBatch},
    replica::{Role, Settings},
    store::MemoryStore,
    Action, Message, Replica, Store,
};
use model::Model;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const TICK: Duration = Duration::from_millis(40);

/// How a driver may be wrong, to see that the checks find it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    #[default]
    None,
    /// Reports writes as synced when they are only written.
    EarlySync,
    /// An instance that lost its disk keeps its id.
    SameId,
}

struct Node {
    replica: Replica<Pcg64Mcg>,
    store: MemoryStore,
    offset: Duration,
    frozen: Duration,
    up: bool,
    run: u64,
    waiting: BTreeMap<u64, u64>,
}

#[derive(Clone)]
enum Event {
    Deliver { from: Member, message: Message },
    Tick { run: u64 },
    Sync { run: u64, number: u64 },
    Report { run: u64, number: u64 },
    Start,
}

/// All instances, their network and their operator.
pub(crate) struct World {
    pub(crate) fault: Fault,
    pub(crate) loss: f64,
    /// Drops entries that their sender created in its own term.
    pub(crate) only_earlier_terms: bool,
    settings: Settings,
    rng: Pcg64Mcg,
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), (Member, Event)>,
    nodes: BTreeMap<Member, Node>,
    lost: BTreeSet<Member>,
    cut: BTreeSet<Member>,
    one_way: bool,
    commands: Vec<(Command, Change)>,
    last_jump: Duration,
    model: Model,
}

impl World {
    /// Starts `voters` empty instances and initializes the first.
    pub(crate) fn new(seed: u64, voters: usize) -> Self {
        let mut world = Self::empty(seed, voters);
        let ids: Vec<_> = world.nodes.keys().copied().collect();
        let peers = ids
            .iter()
            .map(|id| Peer::voter(*id, id.to_string()))
            .collect();
        world.with(ids[0], |replica, now| replica.init(now, peers).unwrap());
        world
    }

    /// Starts instances whose data folders are empty; with an even seed each
    /// entry travels in a message of its own.
    pub(crate) fn empty(seed: u64, instances: usize) -> Self {
        let message_bytes = if seed.is_multiple_of(2) { 1 } else { 1 << 20 };
        let mut world = Self {
            fault: Fault::None,
            loss: 0.0,
            only_earlier_terms: false,
            settings: Settings::builder()
                .max_message_bytes(message_bytes)
                .build()
                .unwrap(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Duration::from_secs(100),
            sequence: 0,
            queue: BTreeMap::new(),
            nodes: BTreeMap::new(),
            lost: BTreeSet::new(),
            cut: BTreeSet::new(),
            one_way: false,
            commands: Vec::new(),
            last_jump: Duration::ZERO,
            model: Model::default(),
        };
        for _ in 0..instances {
            world.fresh();
        }
        world
    }

    /// Starts a cluster and waits for its leader.
    pub(crate) fn started(seed: u64, voters: usize, fault: Fault) -> Self {
        let mut world = Self::new(seed, voters);
        world.run_until(10_000, |world| world.leader().is_some());
        world.run(2_000);
        world.fault = fault;
        world
    }

    pub(crate) fn run_until(&mut self, ms: u64, reached: impl Fn(&Self) -> bool) {
        for _ in 0..ms / 10 {
            if reached(self) {
                return;
            }
            self.run(10);
        }
        panic!("not reached within {ms} ms: {}", self.describe());
    }

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

    /// Whether no member waits for its replacement.
    pub(crate) fn is_repaired(&self) -> bool {
        let voters = |n: &Node| {
            n.replica
                .members()
                .peers()
                .iter()
                .all(|p| p.voter && !self.lost.contains(&p.id().unwrap()))
        };
        self.commands.is_empty() && self.leader().is_some_and(|id| voters(&self.nodes[&id]))
    }

    pub(crate) fn term(&self) -> u64 {
        self.nodes.values().map(|n| n.replica.term()).max().unwrap()
    }

    /// Advances the true time.
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

    /// Heals everything; all live members must then agree and commit again.
    pub(crate) fn settle(&mut self) {
        self.cut.clear();
        self.loss = 0.0;
        for _ in 0..100 {
            self.run(300);
            self.propose(0);
            if self.commands.is_empty() && self.agrees() {
                return;
            }
        }
        panic!(
            "no agreement after 30 s without faults: {}",
            self.describe()
        );
    }

    /// How many entries were applied anywhere.
    pub(crate) fn committed(&self) -> usize {
        self.model.truth().len()
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

    fn pick(&self, at: usize) -> Member {
        *self.nodes.keys().nth(at % self.nodes.len()).unwrap()
    }

    fn node(&mut self, id: Member) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    fn fresh(&mut self) -> Member {
        let id = Member::random(&mut self.rng);
        let offset = Duration::from_millis(self.rng.random_range(0..9000));
        self.boot(id, MemoryStore::new(id), offset);
        id
    }

    fn boot(&mut self, id: Member, mut store: MemoryStore, offset: Duration) {
        let kept = self.rng.random_range(0..=store.pending());
        let recovered = store.crash(kept);
        let seed = Pcg64Mcg::seed_from_u64(self.rng.random());
        let replica = Replica::new(self.settings, recovered, seed, self.now + offset);
        let run = self.sequence;
        let waiting = BTreeMap::new();
        let node = Node {
            replica,
            store,
            offset,
            frozen: Duration::ZERO,
            up: true,
            run,
            waiting,
        };
        self.nodes.insert(id, node);
        self.perform(id);
        self.schedule(0, id, Event::Tick { run });
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
        if node.frozen > self.now && node.up {
            self.sequence += 1;
            let key = (node.frozen, self.sequence);
            self.queue.insert(key, (to, event));
            return;
        }
        let (up, run) = (node.up, node.run);
        match event {
            Event::Deliver { from, message } if up => {
                self.with(to, |r, now| r.receive(now, from, message))
            }
            Event::Tick { run: of } if up && of == run => {
                self.with(to, |r, now| r.tick(now));
                self.operate(to);
                self.schedule(TICK.as_micros() as u64, to, Event::Tick { run });
            }
            Event::Sync { run: of, number } if up && of == run => {
                self.node(to).store.sync().unwrap();
                self.with(to, |r, now| r.synced(now, number));
            }
            Event::Report { run: of, number } if up && of == run => {
                self.with(to, |r, now| r.synced(now, number));
            }
            Event::Start if !up => {
                let node = self.nodes.remove(&to).unwrap();
                self.boot(to, node.store, node.offset);
            }
            _ => {}
        }
    }

    fn with<T>(
        &mut self,
        id: Member,
        call: impl FnOnce(&mut Replica<Pcg64Mcg>, Duration) -> T,
    ) -> T {
        let now = self.now;
        let node = self.node(id);
        let result = call(&mut node.replica, now + node.offset);
        self.perform(id);
        result
    }

    fn perform(&mut self, id: Member) {
        let actions = self.node(id).replica.take_actions();
        for action in actions {
            match action {
                Action::Send { to, message, .. } => self.send(id, to, message),
                Action::Write(write) => self.write(id, &write),
                Action::Apply(entry) => self.apply(id, &entry),
                Action::Restore(snapshot) => self.model.restored(&snapshot),
                Action::Role(Role::Leader) => self.model.led(&self.nodes[&id].replica),
                Action::Role(_) => self.node(id).waiting.clear(),
            }
        }
    }

    fn write(&mut self, id: Member, write: &gentian_quorum::store::Write) {
        self.node(id).store.write(write).unwrap();
        let (run, number) = (self.nodes[&id].run, write.number);
        let mut delay = self.rng.random_range(500..20_000);
        if self.fault == Fault::EarlySync {
            delay *= 50;
            self.schedule(0, id, Event::Report { run, number });
        }
        self.schedule(delay, id, Event::Sync { run, number });
    }

    fn apply(&mut self, id: Member, entry: &gentian_quorum::Entry) {
        let term = self.nodes[&id].replica.term();
        self.model.applied(entry, term);
        let node = self.node(id);
        if node.waiting.remove(&entry.index) == Some(entry.term) {
            self.model.acknowledge(entry.index);
        }
    }

    fn send(&mut self, from: Member, to: Member, message: Message) {
        if self.rng.random_bool(self.loss) || self.is_cut(from, to) {
            return;
        }
        if self.only_earlier_terms && has_own_entry(&message) {
            return;
        }
        let letter = MessageBatch {
            address: from.to_string(),
            messages: vec![message],
        };
        let message = MessageBatch::decode(&letter.encode())
            .unwrap()
            .messages
            .remove(0);
        let copies = if self.rng.random_bool(self.loss / 2.0) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let late = self.rng.random_bool(self.loss / 4.0);
            let delay = if late {
                self.rng.random_range(0..3_000_000)
            } else {
                self.rng.random_range(500..15_000)
            };
            let message = message.clone();
            self.schedule(delay, to, Event::Deliver { from, message });
        }
    }

    fn is_cut(&self, from: Member, to: Member) -> bool {
        let (out, into) = (self.cut.contains(&from), self.cut.contains(&to));
        out != into && (!self.one_way || out)
    }

    fn check(&self) {
        let up = self.nodes.values().filter(|n| n.up);
        self.model
            .leases(self.now, up.map(|n| (&n.replica, n.offset)));
    }
}

fn has_own_entry(message: &Message) -> bool {
    match &message.body {
        message::Body::AppendRequest(append) => {
            append.entries.iter().any(|e| e.term == message.term)
        }
        _ => false,
    }
}

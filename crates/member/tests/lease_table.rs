//! The leader's table under death, restart, drain, leader change and stalls.

mod common;

use std::time::Duration;

use common::{check, ensure, member, ms, name};
use gentian_member::lease_table::{Announcement, LeaseTable, Timing};
use gentian_member::view::{Event, Reason, Window};
use gentian_wire::id::Node;
use proptest::prelude::*;
use proptest::test_runner::TestCaseResult;

const TICK_MS: u64 = 250;
const LEASE_MS: u64 = 4_000;
const MARGIN_MS: u64 = 1_000;
const QUARANTINE_MS: u64 = 5_000;
const AGENTS: u8 = 3;

#[derive(Clone, Copy, Debug)]
enum Step {
    Ticks(u8),
    Stop(u8),
    Start(u8),
    /// An earlier run of the agent renews once more.
    Ghost(u8),
    Drain(u8),
    Resize(u8, u32),
    NewLeader,
    Stall(u64),
    LoseProposals,
}

fn step() -> impl Strategy<Value = Step> {
    let agent = || 0..AGENTS;
    prop_oneof![
        8 => (1u8..30).prop_map(Step::Ticks),
        2 => agent().prop_map(Step::Stop),
        3 => agent().prop_map(Step::Start),
        1 => agent().prop_map(Step::Ghost),
        1 => agent().prop_map(Step::Drain),
        1 => (agent(), 1u32..9).prop_map(|(n, slots)| Step::Resize(n, slots)),
        1 => Just(Step::NewLeader),
        1 => (1_000u64..20_000).prop_map(Step::Stall),
        1 => Just(Step::LoseProposals),
    ]
}

/// What is true of an agent, whatever the leader knows.
#[derive(Clone, Copy, Default)]
struct Agent {
    running: bool,
    draining: bool,
    incarnation: u64,
    slots: u32,
    started: u64,
    heard: u64,
}

struct World {
    now: u64,
    agents: [Agent; AGENTS as usize],
    table: LeaseTable,
    window: Window,
    settled_from: u64,
    lossy: bool,
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            agents: Default::default(),
            table: LeaseTable::new(Duration::ZERO, timing()),
            window: Window::default(),
            settled_from: 0,
            lossy: false,
        }
    }

    fn step(&mut self, step: Step) -> TestCaseResult {
        match step {
            Step::Ticks(count) => return (0..count).try_for_each(|_| self.tick()),
            Step::Stop(n) => self.agents[usize::from(n)].running = false,
            Step::Start(n) => self.start(n),
            Step::Ghost(n) => self.ghost(n)?,
            Step::Drain(n) => {
                let agent = &mut self.agents[usize::from(n)];
                agent.draining = agent.running;
            }
            Step::Resize(n, slots) => self.agents[usize::from(n)].slots = slots,
            Step::NewLeader => {
                self.table = LeaseTable::new(ms(self.now), timing());
                self.settled_from = self.now;
            }
            Step::Stall(millis) => {
                self.now += millis;
                self.settled_from = self.now;
                let events = self.table.tick(ms(self.now), &self.window);
                self.propose(events)?;
            }
            Step::LoseProposals => self.lossy = true,
        }
        Ok(())
    }

    fn start(&mut self, n: u8) {
        let agent = &mut self.agents[usize::from(n)];
        *agent = Agent {
            running: true,
            incarnation: agent.incarnation + 1,
            slots: 8,
            started: self.now,
            heard: agent.heard,
            draining: false,
        };
    }

    fn ghost(&mut self, n: u8) -> TestCaseResult {
        let agent = self.agents[usize::from(n)];
        if !agent.running || agent.incarnation < 2 || agent.heard <= agent.started {
            return Ok(());
        }
        let late = announcement(n, agent.incarnation - 1, 8, false);
        let refused = self.table.renew(ms(self.now), late, &self.window).is_err();
        let listed = self.window.members().get(&node(n));
        let listed = listed.is_some_and(|member| member.incarnation.0 == agent.incarnation);
        let known = listed || agent.heard > self.settled_from;
        ensure(refused || !known, || {
            "an earlier run got a lease".to_owned()
        })
    }

    fn tick(&mut self) -> TestCaseResult {
        self.now += TICK_MS;
        for n in 0..AGENTS {
            if self.agents[usize::from(n)].running
                && (self.now / TICK_MS + u64::from(n)).is_multiple_of(4)
            {
                self.renew(n)?;
            }
        }
        let events = self.table.tick(ms(self.now), &self.window);
        self.propose(events)?;
        self.lossy = false;
        (0..AGENTS).try_for_each(|n| self.settled(n))
    }

    fn renew(&mut self, n: u8) -> TestCaseResult {
        let agent = &mut self.agents[usize::from(n)];
        agent.heard = self.now;
        let sent = announcement(n, agent.incarnation, agent.slots, agent.draining);
        let renewed = self.table.renew(ms(self.now), sent, &self.window);
        ensure(renewed.is_ok(), || format!("{renewed:?}"))?;
        let event = self.table.due_event(ms(self.now), &node(n), &self.window);
        self.propose(Vec::from_iter(event))
    }

    fn propose(&mut self, events: Vec<Event>) -> TestCaseResult {
        for event in events {
            self.allowed(&event)?;
            if !self.lossy {
                self.window.apply(event);
            }
        }
        Ok(())
    }

    /// Whether the truth about the agents allows what the table proposes.
    fn allowed(&self, event: &Event) -> TestCaseResult {
        let of = |node: &Node| (0..AGENTS).find(|n| self::node(*n) == *node);
        let agent = |node| self.agents[usize::from(of(node).expect("known"))];
        let fine = match event {
            Event::Join(member) => {
                let agent = agent(&member.node);
                let quarantined = self.now < agent.started + QUARANTINE_MS;
                let current = agent.incarnation == member.incarnation.0;
                !quarantined || !current
            }
            Event::Leave {
                node,
                incarnation,
                reason: Reason::Expired,
            } => {
                let agent = agent(node);
                let gone = !agent.running || incarnation.0 < agent.incarnation;
                gone && agent.heard + LEASE_MS < self.now
            }
            Event::Leave {
                node,
                reason: Reason::Leaving,
                ..
            } => agent(node).draining,
            Event::Leave {
                node, incarnation, ..
            } => incarnation.0 < agent(node).incarnation,
            Event::Update(_) | Event::Forget(_) => true,
        };
        ensure(fine, || format!("{event:?} at {}", self.now))
    }

    /// What must hold once the leader has had its time.
    fn settled(&self, n: u8) -> TestCaseResult {
        let agent = self.agents[usize::from(n)];
        let listed = self.window.members().get(&node(n));
        let since = |at: u64| self.now.saturating_sub(at.max(self.settled_from));
        let slack = 3_000;
        let fine = if !agent.running {
            listed.is_none() || since(agent.heard) <= LEASE_MS + MARGIN_MS + slack
        } else if agent.draining {
            listed.is_none() || since(agent.heard) <= slack
        } else if since(agent.started) > QUARANTINE_MS + slack {
            listed.is_some_and(|member| member.incarnation.0 == agent.incarnation)
        } else {
            true
        };
        ensure(fine || self.lossy, || format!("agent {n} at {}", self.now))
    }
}

fn timing() -> Timing {
    Timing {
        lease: ms(LEASE_MS),
        margin: ms(MARGIN_MS),
        quarantine: ms(QUARANTINE_MS),
    }
}

fn node(n: u8) -> Node {
    name(&format!("agent-{n}"))
}

fn announcement(n: u8, incarnation: u64, slots: u32, leaving: bool) -> Announcement {
    let member = member(n, incarnation, slots);
    Announcement {
        node: member.node.clone(),
        incarnation: member.incarnation,
        member: Some(member),
        leaving,
    }
}

#[test]
fn only_the_gone_go_and_only_the_ready_join() {
    check(1_500, proptest::collection::vec(step(), 1..60), |steps| {
        let mut world = World::new();
        steps.into_iter().try_for_each(|step| world.step(step))
    });
}

#[test]
fn a_draining_agent_is_let_go_with_its_renewal() {
    let mut world = World::new();
    let steps = [Step::Start(0), Step::Ticks(40)];
    steps
        .into_iter()
        .try_for_each(|s| world.step(s))
        .expect("fine");
    assert!(world.window.members().contains_key(&node(0)));
    world.agents[0].draining = true;
    world.renew(0).expect("fine");
    assert!(world.window.members().is_empty());
    let overtaken = announcement(0, 1, 8, false);
    let renewed = world.table.renew(ms(world.now), overtaken, &world.window);
    assert_eq!(renewed, Ok(()));
    assert_eq!(world.table.tick(ms(world.now), &world.window), []);
}

//! Model-based tests of the leader's lease table under crashes, restarts, drains,
//! leader changes and stalls of the leader.

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
    /// A delayed renewal of the agent's previous incarnation arrives.
    StaleRenewal(u8),
    Drain(u8),
    /// The agent's upstream changes its number of slots.
    Resize(u8, u32),
    NewLeader,
    /// The leader doesn't run for a number of milliseconds.
    Stall(u64),
    /// Proposals are lost until the next tick has ended.
    LoseProposals,
}

fn step() -> impl Strategy<Value = Step> {
    let agent = || 0..AGENTS;
    prop_oneof![
        8 => (1u8..30).prop_map(Step::Ticks),
        2 => agent().prop_map(Step::Stop),
        3 => agent().prop_map(Step::Start),
        1 => agent().prop_map(Step::StaleRenewal),
        1 => agent().prop_map(Step::Drain),
        1 => (agent(), 1u32..9).prop_map(|(n, slots)| Step::Resize(n, slots)),
        1 => Just(Step::NewLeader),
        1 => (1_000u64..20_000).prop_map(Step::Stall),
        1 => Just(Step::LoseProposals),
    ]
}

/// The actual state of an agent, as opposed to what the leader knows of it.
#[derive(Clone, Copy, Default)]
struct Agent {
    running: bool,
    draining: bool,
    incarnation: u64,
    slots: u32,
    started: u64,
    last_renewal: u64,
}

struct World {
    now: u64,
    agents: [Agent; AGENTS as usize],
    table: LeaseTable,
    window: Window,
    /// When the leader started or its last stall ended.
    leader_since: u64,
    lose_proposals: bool,
}

impl World {
    fn new() -> World {
        World {
            now: 0,
            agents: Default::default(),
            table: LeaseTable::new(Duration::ZERO, timing()),
            window: Window::default(),
            leader_since: 0,
            lose_proposals: false,
        }
    }

    fn step(&mut self, step: Step) -> TestCaseResult {
        match step {
            Step::Ticks(count) => return (0..count).try_for_each(|_| self.tick()),
            Step::Stop(n) => self.agents[usize::from(n)].running = false,
            Step::Start(n) => self.start(n),
            Step::StaleRenewal(n) => self.stale_renewal(n)?,
            Step::Drain(n) => {
                let agent = &mut self.agents[usize::from(n)];
                agent.draining = agent.running;
            }
            Step::Resize(n, slots) => self.agents[usize::from(n)].slots = slots,
            Step::NewLeader => {
                self.table = LeaseTable::new(ms(self.now), timing());
                self.leader_since = self.now;
            }
            Step::Stall(millis) => {
                self.now += millis;
                self.leader_since = self.now;
                let events = self.table.tick(ms(self.now), &self.window);
                self.propose(events)?;
            }
            Step::LoseProposals => self.lose_proposals = true,
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
            last_renewal: agent.last_renewal,
            draining: false,
        };
    }

    fn stale_renewal(&mut self, n: u8) -> TestCaseResult {
        let agent = self.agents[usize::from(n)];
        if !agent.running || agent.incarnation < 2 || agent.last_renewal <= agent.started {
            return Ok(());
        }
        let stale = announcement(n, agent.incarnation - 1, 8, false);
        let refused = self.table.renew(ms(self.now), stale, &self.window).is_err();
        let listed = self.window.members().get(&node(n));
        let listed = listed.is_some_and(|member| member.incarnation.0 == agent.incarnation);
        let known = listed || agent.last_renewal > self.leader_since;
        ensure(refused || !known, || {
            "a superseded incarnation got a lease".to_owned()
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
        self.lose_proposals = false;
        (0..AGENTS).try_for_each(|n| self.check_converged(n))
    }

    fn renew(&mut self, n: u8) -> TestCaseResult {
        let agent = &mut self.agents[usize::from(n)];
        agent.last_renewal = self.now;
        let sent = announcement(n, agent.incarnation, agent.slots, agent.draining);
        let renewed = self.table.renew(ms(self.now), sent, &self.window);
        ensure(renewed.is_ok(), || format!("{renewed:?}"))?;
        let event = self.table.due_event(ms(self.now), &node(n), &self.window);
        self.propose(Vec::from_iter(event))
    }

    fn propose(&mut self, events: Vec<Event>) -> TestCaseResult {
        for event in events {
            self.check_allowed(&event)?;
            if !self.lose_proposals {
                self.window.apply(event);
            }
        }
        Ok(())
    }

    /// Checks that the actual state of the agents justifies a proposed event.
    fn check_allowed(&self, event: &Event) -> TestCaseResult {
        let index = |node: &Node| (0..AGENTS).find(|n| self::node(*n) == *node);
        let agent = |node| self.agents[usize::from(index(node).expect("a known agent"))];
        let allowed = match event {
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
                gone && agent.last_renewal + LEASE_MS < self.now
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
        ensure(allowed, || format!("{event:?} at {}", self.now))
    }

    /// Checks that the view reflects the agent's state once the leader has had
    /// time to notice and propose a change.
    fn check_converged(&self, n: u8) -> TestCaseResult {
        let agent = self.agents[usize::from(n)];
        let listed = self.window.members().get(&node(n));
        let since = |at: u64| self.now.saturating_sub(at.max(self.leader_since));
        let slack = 3_000;
        let converged = if !agent.running {
            listed.is_none() || since(agent.last_renewal) <= LEASE_MS + MARGIN_MS + slack
        } else if agent.draining {
            listed.is_none() || since(agent.last_renewal) <= slack
        } else if since(agent.started) > QUARANTINE_MS + slack {
            listed.is_some_and(|member| member.incarnation.0 == agent.incarnation)
        } else {
            true
        };
        ensure(converged || self.lose_proposals, || {
            format!("agent {n} at {}", self.now)
        })
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
fn members_leave_and_join_only_when_their_state_justifies_it() {
    check(1_500, proptest::collection::vec(step(), 1..60), |steps| {
        let mut world = World::new();
        steps.into_iter().try_for_each(|step| world.step(step))
    });
}

#[test]
fn a_draining_agent_leaves_the_view_at_once_and_stays_out() {
    let mut world = World::new();
    let steps = [Step::Start(0), Step::Ticks(40)];
    steps
        .into_iter()
        .try_for_each(|s| world.step(s))
        .expect("steps pass");
    assert!(world.window.members().contains_key(&node(0)));
    world.agents[0].draining = true;
    world.renew(0).expect("renewal passes");
    assert!(world.window.members().is_empty());
    let reordered = announcement(0, 1, 8, false);
    let renewed = world.table.renew(ms(world.now), reordered, &world.window);
    assert_eq!(renewed, Ok(()));
    assert_eq!(world.table.tick(ms(world.now), &world.window), []);
}

//! What the dispatch thread knows, and its decisions.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::wire::control::Member;
use gentian::wire::id;
use tokio::sync::oneshot;

use super::{Demand, Place, Reason, Refusal, Report, Verdict};
use crate::renew::Held;

const MAX_WAITING: usize = 4096;
const RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
pub(super) struct State {
    held: Arc<Held>,
    agents: BTreeMap<id::Node, Agent>,
    waiting: VecDeque<(Demand, oneshot::Sender<Verdict>)>,
}

#[derive(Debug)]
struct Agent {
    member: Member,
    /// Places that this entry has given and not heard of again.
    given: u32,
    /// Slots that others took when the agent last answered.
    others: u32,
}

impl State {
    pub(super) fn demand(&mut self, demand: Demand, sender: oneshot::Sender<Verdict>) {
        if self.waiting.len() >= MAX_WAITING {
            refuse(sender, Reason::QueueFull);
            return;
        }
        self.waiting.push_back((demand, sender));
    }

    pub(super) fn report(&mut self, report: &Report) {
        let Some(agent) = self.agents.get_mut(&report.place.agent) else {
            return;
        };
        if agent.incarnation() != report.place.incarnation {
            return;
        }
        agent.given = agent.given.saturating_sub(1);
        if let Some(load) = &report.load {
            agent.others = load.busy.saturating_sub(agent.given);
        }
    }

    pub(super) fn hold(&mut self, held: Arc<Held>) {
        let changed = held.view != self.held.view;
        self.held = held;
        if !changed {
            return;
        }
        let mut agents = BTreeMap::new();
        for member in &self.held.members {
            let Some(name) = name(member) else { continue };
            let fresh = Agent {
                member: member.clone(),
                given: 0,
                others: 0,
            };
            let agent = match self.agents.remove(&name) {
                Some(known) if known.incarnation() == fresh.incarnation() => Agent {
                    member: fresh.member,
                    ..known
                },
                _ => fresh,
            };
            agents.insert(name, agent);
        }
        self.agents = agents;
    }

    /// Gives places to those that wait, and gives up those it must.
    pub(super) fn place(&mut self, now: Instant) {
        for _ in 0..self.waiting.len() {
            let Some((demand, sender)) = self.waiting.pop_front() else {
                return;
            };
            if sender.is_closed() {
                continue;
            }
            match self.decide(&demand, now) {
                Some(verdict) => self.tell(sender, verdict),
                None => self.waiting.push_back((demand, sender)),
            }
        }
    }

    fn tell(&mut self, sender: oneshot::Sender<Verdict>, verdict: Verdict) {
        if let Err(Verdict::Start(place)) = sender.send(verdict) {
            if let Some(agent) = self.agents.get_mut(&place.agent) {
                agent.given = agent.given.saturating_sub(1);
            }
        }
    }

    fn decide(&mut self, demand: &Demand, now: Instant) -> Option<Verdict> {
        if now >= demand.deadline {
            return Some(Verdict::Refuse(refusal(Reason::DeadlinePassed)));
        }
        if !self.held.in_force(now) {
            return Some(Verdict::Refuse(refusal(Reason::NoLease)));
        }
        let view = id::View(self.held.view);
        let serving = |pair: &(&id::Node, &mut Agent)| pair.1.serves(demand, pair.0);
        let mut agents: Vec<_> = self.agents.iter_mut().filter(serving).collect();
        if agents.is_empty() {
            return Some(Verdict::Refuse(refusal(Reason::NoUpstream)));
        }
        agents.retain(|pair| !demand.refused_by.contains(pair.0));
        let free = |pair: &(&id::Node, &mut Agent)| pair.1.free(&demand.service);
        let (name, agent) = agents.into_iter().max_by_key(free)?;
        if agent.free(&demand.service) == 0 {
            return None;
        }
        agent.given += 1;
        Some(Verdict::Start(agent.place(name, view)))
    }
}

impl Agent {
    fn serves(&self, demand: &Demand, name: &id::Node) -> bool {
        let listed = demand.candidates.is_empty() || demand.candidates.contains(name);
        listed && self.slots(&demand.service) > 0
    }

    fn slots(&self, service: &id::Service) -> u32 {
        let mut upstreams = self.member.upstreams.iter();
        let found = upstreams.find(|upstream| upstream.service == service.as_str());
        found.map_or(0, |upstream| upstream.slots)
    }

    fn free(&self, service: &id::Service) -> u32 {
        let taken = self.given + self.others;
        self.slots(service).saturating_sub(taken)
    }

    fn incarnation(&self) -> id::Incarnation {
        let node = self.member.node.as_ref();
        id::Incarnation(node.map_or(0, |node| node.incarnation))
    }

    fn place(&self, name: &id::Node, view: id::View) -> Place {
        let node = self.member.node.as_ref();
        Place {
            agent: name.clone(),
            incarnation: self.incarnation(),
            address: node.map(|node| node.address.clone()).unwrap_or_default(),
            view,
        }
    }
}

fn name(member: &Member) -> Option<id::Node> {
    member.node.as_ref()?.name.parse().ok()
}

fn refusal(reason: Reason) -> Refusal {
    Refusal {
        reason,
        retry_after: Some(RETRY_AFTER),
    }
}

fn refuse(sender: oneshot::Sender<Verdict>, reason: Reason) {
    // A caller that no longer waits needs no verdict.
    let _ = sender.send(Verdict::Refuse(refusal(reason)));
}

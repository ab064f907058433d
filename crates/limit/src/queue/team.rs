//! What waits of one team.

use std::collections::HashMap;

use super::fair::Fair;
use super::list::{List, Slab, Ticket};
use super::{share, Flow, SINGLE_WEIGHT};

/// The flows of one team.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) weight: u32,
    flows: HashMap<Flow, List>,
    turns: Fair<Flow>,
    len: usize,
}

impl Default for State {
    fn default() -> State {
        State {
            weight: 1,
            flows: HashMap::new(),
            turns: Fair::default(),
            len: 0,
        }
    }
}

impl State {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push<T>(&mut self, flow: Flow, ticket: Ticket, entries: &mut Slab<T>) {
        let list = self.flows.entry(flow).or_default();
        if list.len() == 0 {
            self.turns.activate(flow);
        }
        entries.push_back(list, ticket);
        self.len += 1;
    }

    pub(crate) fn unlink<T>(&mut self, flow: Flow, ticket: Ticket, entries: &mut Slab<T>) {
        let Some(list) = self.flows.get_mut(&flow) else {
            return;
        };
        entries.unlink(list, ticket);
        self.len -= 1;
        if list.len() == 0 {
            self.flows.remove(&flow);
            self.turns.deactivate(&flow);
        }
    }

    pub(crate) fn charge(&mut self, flow: Flow, cost: u64) {
        self.turns.charge(&flow, cost, weight(flow));
    }

    /// The team's flows in the order of their turns.
    pub(crate) fn lists(&self) -> impl Iterator<Item = &List> {
        self.turns.iter().filter_map(|flow| self.flows.get(flow))
    }

    pub(crate) fn newest(&self, flow: Flow) -> Option<Ticket> {
        self.flows.get(&flow)?.tail()
    }

    /// Requests of the team that will start before a further one of `flow`.
    pub(crate) fn ahead(&self, flow: Flow) -> usize {
        let own = self.flows.get(&flow).map_or(0, List::len);
        let others: usize = self
            .flows
            .iter()
            .filter(|(other, _)| **other != flow)
            .map(|(other, list)| list.len().min(share(own + 1, weight(*other), weight(flow))))
            .sum();
        own + others
    }
}

fn weight(flow: Flow) -> u32 {
    match flow {
        Flow::Single => SINGLE_WEIGHT,
        Flow::Job(_) => 1,
    }
}

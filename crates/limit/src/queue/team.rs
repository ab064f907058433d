//! Waiting requests of one team, by flow.

use std::collections::HashMap;

use super::fair::FairQueue;
use super::list::{List, Slab, Ticket};
use super::{proportional_count, Flow, SINGLE_WEIGHT};

/// Waiting requests of one team, fair between its flows.
#[derive(Debug)]
pub(crate) struct TeamQueue {
    pub(crate) weight: u32,
    flows: HashMap<Flow, List>,
    fair_order: FairQueue<Flow>,
    len: usize,
}

impl Default for TeamQueue {
    fn default() -> TeamQueue {
        TeamQueue {
            weight: 1,
            flows: HashMap::new(),
            fair_order: FairQueue::default(),
            len: 0,
        }
    }
}

impl TeamQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push<T>(&mut self, flow: Flow, ticket: Ticket, entries: &mut Slab<T>) {
        let list = self.flows.entry(flow).or_default();
        if list.len() == 0 {
            self.fair_order.activate(flow);
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
            self.fair_order.deactivate(&flow);
        }
    }

    pub(crate) fn charge(&mut self, flow: Flow, cost: u64) {
        self.fair_order.charge(&flow, cost, flow_weight(flow));
    }

    /// Iterates over the team's flows in the order in which they are to be served.
    pub(crate) fn lists(&self) -> impl Iterator<Item = &List> {
        self.fair_order
            .iter()
            .filter_map(|flow| self.flows.get(flow))
    }

    pub(crate) fn newest(&self, flow: Flow) -> Option<Ticket> {
        self.flows.get(&flow)?.tail()
    }

    /// Number of the team's requests that start before one newly added to `flow`.
    pub(crate) fn ahead(&self, flow: Flow) -> usize {
        let own = self.flows.get(&flow).map_or(0, List::len);
        let others: usize = self
            .flows
            .iter()
            .filter(|(other, _)| **other != flow)
            .map(|(other, list)| {
                list.len().min(proportional_count(
                    own + 1,
                    flow_weight(*other),
                    flow_weight(flow),
                ))
            })
            .sum();
        own + others
    }
}

fn flow_weight(flow: Flow) -> u32 {
    match flow {
        Flow::Single => SINGLE_WEIGHT,
        Flow::Job(_) => 1,
    }
}

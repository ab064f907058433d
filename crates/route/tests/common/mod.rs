//! Upstreams of one service and tasks for them, for the tests of placement.

#![allow(dead_code)]

use std::collections::BTreeMap;

use gentian_route::placement::{PlacementRequest, Placer, UpstreamReport};
use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::{Constraints, Need};

pub(crate) const TASK: Need = Need {
    cpu: 3_100,
    memory: 64,
    accelerators: 0,
};

pub(crate) fn service() -> Service {
    "desk".parse().expect("a valid name")
}

pub(crate) fn node(index: usize) -> Node {
    format!("agent-{index}").parse().expect("a valid name")
}

/// The report on an idle upstream.
pub(crate) fn report(cores: u32) -> UpstreamReport {
    UpstreamReport {
        service: service(),
        capacity: Need {
            cpu: cores * 1_000,
            memory: 65_536,
            accelerators: 0,
        },
        used_by_others: Need::default(),
        accepts_runs: true,
        run_time_ratio: None,
        labels: Vec::new(),
    }
}

/// Creates a placer with one upstream for each number of cores.
pub(crate) fn placer_with(cores: &[u32]) -> Placer {
    let mut placer = Placer::new(&"entry".parse().expect("a valid name"));
    for (index, cores) in cores.iter().enumerate() {
        placer.update(&node(index), Incarnation(1), true, report(*cores));
    }
    placer
}

pub(crate) fn place_one(
    placer: &mut Placer,
    constraints: &Constraints,
    avoid: &[Node],
) -> Option<Node> {
    let request = PlacementRequest {
        avoid,
        ..PlacementRequest::new(TASK, constraints)
    };
    placer.place(&service(), &request).ok()
}

pub(crate) fn place_up_to(placer: &mut Placer, count: usize) -> BTreeMap<Node, usize> {
    let mut placed = BTreeMap::new();
    for _ in 0..count {
        match place_one(placer, &Constraints::default(), &[]) {
            Some(node) => *placed.entry(node).or_default() += 1,
            None => break,
        }
    }
    placed
}

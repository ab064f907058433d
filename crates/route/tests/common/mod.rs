//! Upstreams of one service, for the tests of placement.

use gentian_route::placement::{Placer, UpstreamReport};
use gentian_wire::id::{Incarnation, Node, Service};
use gentian_wire::need::Need;

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

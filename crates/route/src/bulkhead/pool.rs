//! A part of a service's upstreams.

use std::collections::BTreeSet;

use gentian_wire::id::Node;
use xxhash_rust::xxh3::xxh3_64;

/// The upstreams that a task may use.
#[derive(Clone, Copy, Debug, Default)]
pub enum Pool<'a> {
    /// All.
    #[default]
    All,
    /// Those whose agents are listed.
    Only(&'a BTreeSet<Node>),
    /// All but those whose agents are listed.
    Except(&'a BTreeSet<Node>),
}

impl Pool<'_> {
    /// Whether the upstream of an agent belongs to the pool.
    pub fn includes(&self, node: &Node) -> bool {
        match self {
            Pool::All => true,
            Pool::Only(nodes) => nodes.contains(node),
            Pool::Except(nodes) => !nodes.contains(node),
        }
    }
}

/// Position in an order of all agents that is the same for every entry, and spreads over
/// racks and data centres.
pub(super) fn position(node: &Node) -> u64 {
    xxh3_64(node.as_str().as_bytes())
}

//! The choice of an upstream for one demand.

use std::time::Duration;

use gentian::route::choice::{Choice, Known};
use gentian::route::view::{Index, View};
use gentian::wire::id;
use rand::Rng;

use super::PlaceRequest;

/// The upstream for a demand. Those that have refused it are avoided as long
/// as there are others.
pub(super) fn choose<R: Rng>(
    view: &mut View,
    demand: &PlaceRequest,
    now: Duration,
    rng: &mut R,
) -> Option<Index> {
    let find = |nodes: &[id::Node]| -> Vec<Index> {
        nodes.iter().filter_map(|node| view.find(node)).collect()
    };
    let avoid = find(&demand.tried_agents);
    let candidates = find(&demand.candidates);
    if demand.candidates.is_empty() {
        let others = view
            .iter()
            .any(|(index, upstream)| upstream.takes_work() && !avoid.contains(&index));
        let avoid = if others { &avoid[..] } else { &[] };
        return Known.choose(view, avoid, now, rng);
    }
    let others: Vec<Index> = candidates
        .iter()
        .filter(|index| !avoid.contains(index))
        .copied()
        .collect();
    let takes_work = |index: &Index| {
        view.get(*index)
            .is_some_and(|upstream| upstream.takes_work())
    };
    if others.iter().any(takes_work) {
        return Known.among(view, &others, now);
    }
    Known.among(view, &candidates, now)
}

//! Chooses the upstream for one request.

use std::time::Duration;

use gentian::route::policy::{MostFreeSlots, Policy};
use gentian::route::view::{Index, LoadView};
use gentian::wire::id;
use rand::Rng;

use super::PlaceRequest;

/// Chooses an upstream for a request, or none if it should wait. Agents that were
/// tried before are avoided as long as others take work.
pub(super) fn choose<R: Rng>(
    view: &mut LoadView,
    request: &PlaceRequest,
    now: Duration,
    rng: &mut R,
) -> Option<Index> {
    let find = |nodes: &[id::Node]| -> Vec<Index> {
        nodes
            .iter()
            .filter_map(|node| view.index_of(node))
            .collect()
    };
    let avoid = find(&request.tried_agents);
    let candidates = find(&request.candidates);
    if request.candidates.is_empty() {
        let others = view
            .iter()
            .any(|(index, upstream)| upstream.takes_work() && !avoid.contains(&index));
        let avoid = if others { &avoid[..] } else { &[] };
        return MostFreeSlots.choose(view, avoid, now, rng);
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
        return MostFreeSlots.choose_among(view, &others, now);
    }
    MostFreeSlots.choose_among(view, &candidates, now)
}

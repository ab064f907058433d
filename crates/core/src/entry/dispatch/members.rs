//! What the view and the configuration in force say of the upstreams.

use std::collections::BTreeMap;

use gentian::config::document::Document;
use gentian::route::view::Member;
use gentian::wire::control;
use gentian::wire::id;

/// The upstreams of each service, by the name of their agent.
pub(super) type Services = BTreeMap<id::Service, BTreeMap<id::Node, Offer>>;

/// One upstream of a service, and where its agent is reached.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) member: Member,
    pub(super) address: String,
}

/// Sorts the members of a view by service. Members that are malformed are left
/// out: nothing can be sent to them.
pub(super) fn services(members: &[control::Member], document: &Document) -> Services {
    let mut services = Services::new();
    for member in members {
        for upstream in &member.upstreams {
            let Some((service, offer)) = offer(member, upstream, document) else {
                continue;
            };
            let agents = services.entry(service).or_default();
            agents.insert(offer.member.node.clone(), offer);
        }
    }
    services
}

fn offer(
    member: &control::Member,
    upstream: &control::Upstream,
    document: &Document,
) -> Option<(id::Service, Offer)> {
    let node = member.node.as_ref()?;
    let name: id::Node = node.name.parse().ok()?;
    let data_center: id::DataCenter = node.data_center.parse().ok()?;
    let rack: id::Rack = node.rack.parse().ok()?;
    let allowed = document.upstreams.admits(&name, &data_center, &rack);
    let member = Member {
        node: name,
        incarnation: id::Incarnation(node.incarnation),
        data_center,
        slots: upstream.slots,
        connections: upstream.connections,
        allowed,
        leaving: upstream.leaving,
    };
    let address = node.address.clone();
    Some((upstream.service.parse().ok()?, Offer { member, address }))
}

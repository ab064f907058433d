//! The upstreams of each service, from the view and the configuration in force.

use std::collections::BTreeMap;

use gentian::config::document::Document;
use gentian::route::view::Member;
use gentian::wire::control;
use gentian::wire::id;

/// The upstreams of each service, by the name of their agent.
pub(super) type ByService = BTreeMap<id::Service, BTreeMap<id::Node, Upstream>>;

/// One upstream of a service, and the address of its agent.
#[derive(Clone, Debug)]
pub(super) struct Upstream {
    pub(super) member: Member,
    pub(super) address: String,
}

/// Groups the upstreams of a view's members by service. Malformed members are left
/// out, since nothing can be sent to them.
pub(super) fn upstreams_by_service(members: &[control::Member], document: &Document) -> ByService {
    let mut services = ByService::new();
    for member in members {
        for message in &member.upstreams {
            let Some((service, upstream)) = upstream(member, message, document) else {
                continue;
            };
            let agents = services.entry(service).or_default();
            agents.insert(upstream.member.node.clone(), upstream);
        }
    }
    services
}

/// Parses one upstream; none if a field is malformed.
fn upstream(
    member: &control::Member,
    message: &control::Upstream,
    document: &Document,
) -> Option<(id::Service, Upstream)> {
    let node = member.node.as_ref()?;
    let name: id::Node = node.name.parse().ok()?;
    let data_center: id::DataCenter = node.data_center.parse().ok()?;
    let rack: id::Rack = node.rack.parse().ok()?;
    let allowed = document.upstreams.admits(&name, &data_center, &rack);
    let member = Member {
        node: name,
        incarnation: id::Incarnation(node.incarnation),
        data_center,
        slots: message.slots,
        connections: message.connections,
        allowed,
        leaving: message.leaving,
    };
    let address = node.address.clone();
    Some((message.service.parse().ok()?, Upstream { member, address }))
}

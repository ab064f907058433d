//! Renewals of the nodes' leases, with the configuration and the views that a node lacks.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use gentian::member::lease_table::Announcement;
use gentian::member::member::{self, Member};
use gentian::wire::control::{self as messages, RenewReply, RenewRequest, Role};
use gentian::wire::id::View;
use prost::Message;
use tonic::Status;

use super::{leader_address, malformed, millis, Service};
use crate::control::state::{AppliedState, Leader, ReplicatedLog, LEASE_DURATION};

impl<L: ReplicatedLog> Service<L> {
    pub(super) fn handle_renew(&self, request: &RenewRequest) -> Result<RenewReply, Status> {
        let announcement = announcement(request).map_err(malformed)?;
        let node = announcement.node.clone();
        let is_entry = announcement.member.is_none();
        let before = self.log.leader();
        let Leader::This { term } = before else {
            return Ok(not_granted(before));
        };
        let now = self.shared.now();
        let (reply, event) = {
            let applied = self.shared.read();
            let window = applied.state.window();
            let mut leader_state = self.leader_state();
            let leases = &mut leader_state.for_term(term, now).leases;
            if let Err(stale) = leases.renew(now, announcement, window) {
                log::warn!("{stale}");
                return Ok(RenewReply::default());
            }
            let mut reply = grant(&applied, request, now);
            if is_entry {
                set_present(&mut reply, leases.alive(now), request.known_roster);
            }
            reply.control = self.log.members();
            (reply, leases.due_event(now, &node, window))
        };
        if let Some(event) = event {
            let service = self.clone();
            tokio::spawn(async move { service.commit_event(event).await });
        }
        let after = self.log.leader();
        Ok(match after == before {
            true => reply,
            false => not_granted(after),
        })
    }
}

/// Returns the reply that grants a lease, with the configuration and the view changes
/// that the node lacks.
fn grant(applied: &AppliedState, request: &RenewRequest, now: Duration) -> RenewReply {
    let ledger = applied.state.ledger();
    let window = applied.state.window();
    let mut reply = RenewReply {
        granted: true,
        lease_ms: millis(LEASE_DURATION),
        version: ledger.version().0,
        view: window.number().0,
        view_age_ms: applied.view_age(now).as_millis() as u64,
        ..RenewReply::default()
    };
    if request.known_version != reply.version {
        reply.document = applied.node_document();
    }
    window
        .delta_since(View(request.known_view))
        .write(&mut reply);
    reply
}

/// Adds the agents with a live lease to the reply to an entry, unless their fingerprint
/// is `known_roster`, the one of the list that the entry has.
fn set_present<'a>(
    reply: &mut RenewReply,
    alive: impl Iterator<Item = &'a Announcement>,
    known_roster: u64,
) {
    let staying = alive.filter(|announcement| !announcement.leaving);
    let present = staying.filter_map(|announcement| announcement.member.as_ref());
    let present: Vec<messages::Member> = present.map(messages::Member::from).collect();
    let mut hasher = DefaultHasher::new();
    for member in &present {
        member.encode_to_vec().hash(&mut hasher);
    }
    // 0 is reserved for a node that has received no list yet.
    reply.roster = hasher.finish().max(1);
    if reply.roster != known_roster {
        reply.present = present;
    }
}

/// Replies to a renewal on an instance that doesn't lead.
fn not_granted(leader: Leader) -> RenewReply {
    RenewReply {
        leader_address: leader_address(leader),
        ..RenewReply::default()
    }
}

fn announcement(request: &RenewRequest) -> member::Result<Announcement> {
    let node = request.node.as_ref().ok_or(member::Error::MissingNode)?;
    let message = gentian::wire::control::Member {
        node: Some(node.clone()),
        upstreams: request
            .upstreams
            .iter()
            .filter(|upstream| !upstream.leaving)
            .cloned()
            .collect(),
    };
    let member = Member::try_from(&message)?;
    Ok(Announcement {
        node: member.node.clone(),
        incarnation: member.incarnation,
        member: (node.role() == Role::Agent).then_some(member),
        leaving: request.leaving,
    })
}

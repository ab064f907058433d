//! Automatic repair of a cluster's membership.
//!
//! Instances that belong to no cluster send join requests until they are added.
//! The leader adds an instance to replace a member that lost its disk or has been
//! silent, or if there are too few members. Only one change is made at a time,
//! and a member is removed only once its replacement has a vote (see
//! [`members`](crate::members)).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id;
use crate::members::{Change, Members, Peer};

/// How long a member may be silent before it may be replaced.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a join request is valid; an instance that still wants to join has
/// repeated it by then.
const JOIN_REQUEST_TTL: Duration = Duration::from_millis(1_500);

/// Decides which change of the members the leader should make next.
#[derive(Clone, Debug)]
pub struct MembershipRepair {
    target_members: usize,
    leading_since: Duration,
    /// Address and time of the latest join request of each instance.
    join_requests: BTreeMap<id::Member, (String, Duration)>,
}

impl MembershipRepair {
    /// Aims at a cluster that tolerates the loss of `tolerated` members at once.
    pub fn new(tolerated: usize) -> MembershipRepair {
        MembershipRepair {
            target_members: 2 * tolerated + 1,
            leading_since: Duration::ZERO,
            join_requests: BTreeMap::new(),
        }
    }

    /// Records that this instance became leader at `now`. It may not have heard
    /// from any other member yet, so their silence counts from `now`.
    pub fn started_leading(&mut self, now: Duration) {
        self.leading_since = now;
        self.join_requests.clear();
    }

    /// Records a join request.
    pub fn join_requested(&mut self, member: id::Member, address: String, now: Duration) {
        self.join_requests.insert(member, (address, now));
        self.join_requests
            .retain(|_, (_, at)| now.saturating_sub(*at) < JOIN_REQUEST_TTL);
    }

    /// The change to make now, if any.
    ///
    /// `own` is the leader's id; `last_heard` is when each member was last heard from.
    pub fn next_change(
        &self,
        members: &Members,
        own: id::Member,
        last_heard: &BTreeMap<id::Member, Duration>,
        now: Duration,
    ) -> Option<Change> {
        let is_silent = |peer: &&Peer| {
            let id = peer.id();
            let heard = id
                .and_then(|id| last_heard.get(&id))
                .copied()
                .unwrap_or_default();
            let requested = id.and_then(|id| self.join_requests.get(&id));
            let requested = requested.map_or(Duration::ZERO, |(_, at)| *at);
            let silence = now.saturating_sub(heard.max(requested).max(self.leading_since));
            id != Some(own) && silence > SILENCE_TIMEOUT
        };
        if let Some(learner) = members.peers().iter().find(|peer| !peer.voter) {
            return self.change_for_learner(learner, is_silent(&learner), now);
        }
        if members.replaced_member().is_some() {
            return None;
        }
        let (id, address) = self.candidates(members, now).next()?;
        let lost_disk = members.peers().iter().find(|peer| peer.address == *address);
        let lost = lost_disk.or_else(|| members.peers().iter().find(is_silent));
        let address = address.clone();
        if let Some(old) = lost.and_then(Peer::id) {
            return Some(Change::Replace { old, id, address });
        }
        let too_few = members.peers().len() < self.target_members;
        too_few.then_some(Change::Add { id, address })
    }

    /// The change needed if `learner` is lost and would never get its vote, which
    /// would block all further changes.
    fn change_for_learner(&self, learner: &Peer, silent: bool, now: Duration) -> Option<Change> {
        let old = learner.id()?;
        let lost_disk = self
            .valid_requests(now)
            .find(|(id, a)| *id != old && **a == learner.address);
        match lost_disk {
            Some((id, address)) => Some(Change::Replace {
                old,
                id,
                address: address.clone(),
            }),
            None => silent.then_some(Change::Remove { id: old }),
        }
    }

    /// Instances that want to join and are not members. Those that have a member's
    /// address come first: each is that member after the loss of its disk.
    fn candidates<'a>(
        &'a self,
        members: &'a Members,
        now: Duration,
    ) -> impl Iterator<Item = (id::Member, &'a String)> {
        let is_outside = move |(id, _): &(id::Member, &String)| members.get(*id).is_none();
        let is_member_address =
            move |address: &String| members.peers().iter().any(|p| p.address == *address);
        let lost_disk = self
            .valid_requests(now)
            .filter(is_outside)
            .filter(move |(_, a)| is_member_address(a));
        let new = self
            .valid_requests(now)
            .filter(is_outside)
            .filter(move |(_, a)| !is_member_address(a));
        lost_disk.chain(new)
    }

    fn valid_requests(&self, now: Duration) -> impl Iterator<Item = (id::Member, &String)> {
        let requests = self.join_requests.iter();
        let valid = requests.filter(move |(_, (_, at))| now.saturating_sub(*at) < JOIN_REQUEST_TTL);
        valid.map(|(id, (address, _))| (*id, address))
    }
}

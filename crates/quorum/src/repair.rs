//! Which change of the members heals a cluster that nobody operates.
//!
//! Instances that belong to no cluster ask to join, again and again. The leader
//! lets one in for a member that lost its disk, for one that has been silent, or
//! where there are too few. One change goes at a time, and a member leaves only
//! once another has its vote (see [`members`](crate::members)).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::id::Member;
use crate::members::{Change, Members, Peer};

/// Time without a word after which a member may be replaced.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an instance that has not asked again counts as gone.
const ASKED: Duration = Duration::from_millis(1_500);

/// What the leader knows of those that want to join and of its members.
#[derive(Clone, Debug)]
pub struct MembershipRepair {
    wanted: usize,
    leads_since: Duration,
    asked: BTreeMap<Member, (String, Duration)>,
}

impl MembershipRepair {
    /// Keeps a cluster that bears the loss of `tolerated` members at once.
    pub fn new(tolerated: usize) -> MembershipRepair {
        MembershipRepair {
            wanted: 2 * tolerated + 1,
            leads_since: Duration::ZERO,
            asked: BTreeMap::new(),
        }
    }

    /// Takes in that this instance leads from now on: it has heard nothing yet.
    pub fn started_leading(&mut self, now: Duration) {
        self.leads_since = now;
        self.asked.clear();
    }

    /// Takes in that an instance wants to join.
    pub fn join_requested(&mut self, member: Member, address: String, now: Duration) {
        self.asked.insert(member, (address, now));
        self.asked
            .retain(|_, (_, at)| now.saturating_sub(*at) < ASKED);
    }

    /// The change to begin now, where `heard` tells when a member was heard last.
    pub fn next_change(
        &self,
        members: &Members,
        own: Member,
        heard: &BTreeMap<Member, Duration>,
        now: Duration,
    ) -> Option<Change> {
        let silent = |peer: &&Peer| {
            let id = peer.id();
            let last = id
                .and_then(|id| heard.get(&id))
                .copied()
                .unwrap_or_default();
            let asked = id.and_then(|id| self.asked.get(&id));
            let asked = asked.map_or(Duration::ZERO, |(_, at)| *at);
            let since = now.saturating_sub(last.max(asked).max(self.leads_since));
            id != Some(own) && since > SILENCE_TIMEOUT
        };
        if let Some(learner) = members.peers().iter().find(|peer| !peer.voter) {
            return self.unblock(learner, silent(&learner), now);
        }
        if members.replaced_member().is_some() {
            return None;
        }
        let (id, address) = self.candidates(members, now).next()?;
        let emptied = members.peers().iter().find(|peer| peer.address == *address);
        let lost = emptied.or_else(|| members.peers().iter().find(silent));
        let address = address.clone();
        if let Some(old) = lost.and_then(Peer::id) {
            return Some(Change::Replace { old, id, address });
        }
        let few = members.peers().len() < self.wanted;
        few.then_some(Change::Add { id, address })
    }

    /// What ends a change that waits for a learner that is gone.
    fn unblock(&self, learner: &Peer, silent: bool, now: Duration) -> Option<Change> {
        let old = learner.id()?;
        let emptied = self
            .fresh(now)
            .find(|(id, a)| *id != old && **a == learner.address);
        match emptied {
            Some((id, address)) => Some(Change::Replace {
                old,
                id,
                address: address.clone(),
            }),
            None => silent.then_some(Change::Remove { id: old }),
        }
    }

    /// Those that ask and are no members, with instances that lost a member's
    /// disk first.
    fn candidates<'a>(
        &'a self,
        members: &'a Members,
        now: Duration,
    ) -> impl Iterator<Item = (Member, &'a String)> {
        let foreign = move |(id, _): &(Member, &String)| members.get(*id).is_none();
        let known = move |address: &String| members.peers().iter().any(|p| p.address == *address);
        let emptied = self
            .fresh(now)
            .filter(foreign)
            .filter(move |(_, a)| known(a));
        let new = self
            .fresh(now)
            .filter(foreign)
            .filter(move |(_, a)| !known(a));
        emptied.chain(new)
    }

    fn fresh(&self, now: Duration) -> impl Iterator<Item = (Member, &String)> {
        let asked = self.asked.iter();
        let fresh = asked.filter(move |(_, (_, at))| now.saturating_sub(*at) < ASKED);
        fresh.map(|(id, (address, _))| (*id, address))
    }
}

//! The set of members and its changes, one at a time.
//!
//! Any two successive sets differ by at most one voter, so their majorities
//! share a member. A new member starts as a learner without a vote. Replacing a
//! lost member adds the learner, promotes it, and only then removes the old
//! member: the number of live voters never falls on the way.

use std::fmt;

use crate::id;

/// Most voters a cluster may have at rest.
pub const MAX_VOTERS: usize = 7;

/// Commands remembered so that a resent one changes nothing.
const MAX_DONE: usize = 64;

/// One member as the others know it.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Peer {
    #[prost(uint64, tag = "1")]
    id: u64,
    /// Address that the transport understands.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Whether the member has a vote; otherwise it is a learner.
    #[prost(bool, tag = "3")]
    pub voter: bool,
    #[prost(uint64, tag = "4")]
    replaces: u64,
}

impl Peer {
    /// A member with a vote.
    pub fn voter(id: id::Member, address: impl Into<String>) -> Self {
        Self {
            id: id.get(),
            address: address.into(),
            voter: true,
            replaces: 0,
        }
    }

    /// The member's id.
    pub fn id(&self) -> Option<id::Member> {
        id::Member::new(self.id)
    }

    /// The member that leaves once this one has a vote.
    pub fn replaces(&self) -> Option<id::Member> {
        id::Member::new(self.replaces)
    }
}

/// A change that an operator asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, which gets a vote once it has caught up.
    Add {
        /// Id of the new member.
        id: id::Member,
        /// Its address.
        address: String,
    },
    /// Removes a member or learner.
    Remove {
        /// Id of the leaving member.
        id: id::Member,
    },
    /// Adds a learner that takes the place of a lost member once it has caught up.
    Replace {
        /// Id of the lost member.
        old: id::Member,
        /// Id of the new member.
        id: id::Member,
        /// Address of the new member.
        address: String,
    },
}

/// Why a change is refused.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The member is not in the set.
    #[error("member {0} does not exist")]
    UnknownMember(id::Member),
    /// The new member is already in the set.
    #[error("member {0} already belongs to the cluster")]
    AlreadyMember(id::Member),
    /// Two members would share an address.
    #[error("address {0:?} already belongs to a member")]
    AddressInUse(String),
    /// The set would be empty.
    #[error("member {0} is the last voter")]
    LastVoter(id::Member),
    /// The set would be too large.
    #[error("a cluster has at most {MAX_VOTERS} members")]
    ClusterFull,
    /// The first set must name 1 to [`MAX_VOTERS`] different members.
    #[error("{0} members named, a first set has 1 to {MAX_VOTERS}")]
    InitialCount(usize),
}

/// `Result` of a change to the members.
pub type Result<T> = std::result::Result<T, Error>;

/// The members of a cluster.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Members {
    #[prost(message, repeated, tag = "1")]
    peers: Vec<Peer>,
    #[prost(bytes = "vec", repeated, tag = "2")]
    done: Vec<Vec<u8>>,
}

impl Members {
    /// The first set of a new cluster, all with a vote.
    pub fn initial(peers: Vec<Peer>) -> Result<Self> {
        if peers.is_empty() || peers.len() > MAX_VOTERS {
            return Err(Error::InitialCount(peers.len()));
        }
        let mut members = Self::default();
        for peer in peers {
            let Some(id) = peer.id() else { continue };
            members.check_new(id, &peer.address, None)?;
            members.peers.push(Peer::voter(id, peer.address));
        }
        Ok(members)
    }

    /// All members, in the order of their joining.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Ids of all members, learners included.
    pub fn ids(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.peers.iter().filter_map(Peer::id)
    }

    /// Ids of the members with a vote.
    pub fn voters(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.peers.iter().filter(|p| p.voter).filter_map(Peer::id)
    }

    /// The member of that id.
    pub fn get(&self, id: id::Member) -> Option<&Peer> {
        self.peers.iter().find(|p| p.id == id.get())
    }

    /// Whether `id` has a vote.
    pub fn is_voter(&self, id: id::Member) -> bool {
        self.get(id).is_some_and(|p| p.voter)
    }

    /// Voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached, or `None` without voters.
    pub fn majority_value(&self, value: impl Fn(id::Member) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied()
    }

    /// Whether the command was carried out before.
    pub fn is_done(&self, command: id::Command) -> bool {
        self.done
            .iter()
            .any(|d| d[..] == command.get().to_be_bytes())
    }

    /// The set after an operator's change.
    pub fn with_change(&self, command: id::Command, change: &Change) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Add { id, address } => next.add(*id, address, None)?,
            Change::Remove { id } => next.remove(*id)?,
            Change::Replace { old, id, address } => next.add(*id, address, Some(*old))?,
        }
        next.done.push(command.get().to_be_bytes().to_vec());
        if next.done.len() > MAX_DONE {
            next.done.remove(0);
        }
        Ok(next)
    }

    /// The set after `id` got its vote.
    pub fn with_voter(&self, id: id::Member) -> Self {
        let mut next = self.clone();
        if let Some(peer) = next.peers.iter_mut().find(|p| p.id == id.get()) {
            peer.voter = true;
        }
        next
    }

    /// A replaced member that may leave now: its successor has a vote.
    pub fn replaced_member(&self) -> Option<id::Member> {
        let successors = self.peers.iter().filter(|p| p.voter);
        successors
            .filter_map(Peer::replaces)
            .find(|old| self.get(*old).is_some())
    }

    /// The set without `id`.
    pub fn without(&self, id: id::Member) -> Self {
        let mut next = self.clone();
        next.peers.retain(|p| p.id != id.get());
        for peer in &mut next.peers {
            if peer.replaces == id.get() {
                peer.replaces = 0;
            }
        }
        next
    }

    fn add(&mut self, id: id::Member, address: &str, old: Option<id::Member>) -> Result<()> {
        self.check_new(id, address, old)?;
        let replaces = match old {
            Some(old) => self.succeed(old)?,
            None => 0,
        };
        let staying = self.peers.iter().filter(|p| p.replaces == 0).count();
        if old.is_none() && staying >= MAX_VOTERS {
            return Err(Error::ClusterFull);
        }
        self.peers.push(Peer {
            id: id.get(),
            address: address.to_owned(),
            voter: false,
            replaces,
        });
        Ok(())
    }

    /// Makes way for a successor of `old` and returns whom that one replaces:
    /// a learner that is lost in its turn goes at once and hands its task on.
    fn succeed(&mut self, old: id::Member) -> Result<u64> {
        let peer = self.get(old).cloned().ok_or(Error::UnknownMember(old))?;
        let leaving = if peer.voter { peer.id } else { peer.replaces };
        self.peers.retain(|p| p.id != old.get() || p.voter);
        self.peers
            .retain(|p| p.voter || leaving == 0 || p.replaces != leaving);
        Ok(leaving)
    }

    fn remove(&mut self, id: id::Member) -> Result<()> {
        if self.get(id).is_none() {
            return Err(Error::UnknownMember(id));
        }
        if self.is_voter(id) && self.voters().count() == 1 {
            return Err(Error::LastVoter(id));
        }
        *self = self.without(id);
        Ok(())
    }

    fn check_new(&self, id: id::Member, address: &str, old: Option<id::Member>) -> Result<()> {
        if self.get(id).is_some() {
            return Err(Error::AlreadyMember(id));
        }
        let leaving =
            |p: &Peer| old.is_some_and(|old| p.id() == Some(old) || p.replaces() == Some(old));
        if self
            .peers
            .iter()
            .any(|p| p.address == address && !leaving(p))
        {
            return Err(Error::AddressInUse(address.to_owned()));
        }
        Ok(())
    }
}

impl fmt::Display for Members {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, peer) in self.peers.iter().enumerate() {
            let comma = if i == 0 { "" } else { ", " };
            let role = if peer.voter { "voter" } else { "learner" };
            write!(f, "{comma}{:016x} {} {role}", peer.id, peer.address)?;
        }
        Ok(())
    }
}

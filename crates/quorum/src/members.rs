//! The members of a cluster, and how the set changes.
//!
//! Any two successive sets differ by at most one voter, so any two of their
//! majorities share a member. A new member starts as a learner without a vote.
//! Replacing a lost member adds a learner, promotes it, and only then removes the
//! lost member, so that the number of live voters never falls in between.

use std::fmt;

use crate::id;

/// Maximum number of members of a cluster, not counting learners that are to
/// replace another member.
pub const MAX_VOTERS: usize = 7;

/// Number of latest commands that are remembered, so that a command that is sent
/// again changes nothing.
const MAX_DONE_COMMANDS: usize = 64;

/// A member in the list that all members hold.
#[derive(Clone, Eq, PartialEq, prost::Message)]
pub struct Peer {
    #[prost(uint64, tag = "1")]
    id: u64,
    /// Address at which the transport reaches the member.
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

    /// The member that is removed once this one has a vote.
    pub fn replaces(&self) -> Option<id::Member> {
        id::Member::new(self.replaces)
    }
}

/// A requested change of the members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Adds a learner, which becomes a voter once it has caught up with the log.
    Add {
        /// Id of the new member.
        id: id::Member,
        /// Address of the new member.
        address: String,
    },
    /// Removes a member, voter or learner.
    Remove {
        /// Id of the member to remove.
        id: id::Member,
    },
    /// Adds a learner that replaces a lost member once it has caught up with the log.
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
    /// There is no member with this id.
    #[error("member {0} does not exist")]
    UnknownMember(id::Member),
    /// A member with this id exists already.
    #[error("member {0} already belongs to the cluster")]
    AlreadyMember(id::Member),
    /// Another member has this address.
    #[error("address {0:?} already belongs to a member")]
    AddressInUse(String),
    /// The cluster would have no voter left.
    #[error("member {0} is the last voter")]
    LastVoter(id::Member),
    /// The cluster already has [`MAX_VOTERS`] members.
    #[error("a cluster has at most {MAX_VOTERS} members")]
    ClusterFull,
    /// A new cluster can't start with this number of members.
    #[error("a cluster starts with 1 to {MAX_VOTERS} members, not {0}")]
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
    done_commands: Vec<Vec<u8>>,
}

impl Members {
    /// The initial members of a new cluster, all voters.
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

    /// All members, in the order in which they were added.
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Ids of all members, learners included.
    pub fn ids(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.peers.iter().filter_map(Peer::id)
    }

    /// Ids of the voters.
    pub fn voters(&self) -> impl Iterator<Item = id::Member> + '_ {
        self.peers.iter().filter(|p| p.voter).filter_map(Peer::id)
    }

    /// The member with this id.
    pub fn get(&self, id: id::Member) -> Option<&Peer> {
        self.peers.iter().find(|p| p.id == id.get())
    }

    /// Whether `id` is a voter.
    pub fn is_voter(&self, id: id::Member) -> bool {
        self.get(id).is_some_and(|p| p.voter)
    }

    /// Number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of the voters has reached, where `value`
    /// gives that of each voter; `None` if there are no voters.
    pub fn majority_value(&self, value: impl Fn(id::Member) -> u64) -> Option<u64> {
        let mut values: Vec<u64> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied()
    }

    /// Whether a change with this command id is among the last ones made, whose ids
    /// are remembered.
    pub fn is_done(&self, command: id::Command) -> bool {
        self.done_commands
            .iter()
            .any(|done| done[..] == command.get().to_be_bytes())
    }

    /// The members after `change`; remembers `command` as done.
    pub fn with_change(&self, command: id::Command, change: &Change) -> Result<Self> {
        let mut next = self.clone();
        match change {
            Change::Add { id, address } => next.add(*id, address, None)?,
            Change::Remove { id } => next.remove(*id)?,
            Change::Replace { old, id, address } => next.add(*id, address, Some(*old))?,
        }
        next.done_commands
            .push(command.get().to_be_bytes().to_vec());
        if next.done_commands.len() > MAX_DONE_COMMANDS {
            next.done_commands.remove(0);
        }
        Ok(next)
    }

    /// The members with `id` as a voter.
    pub fn with_voter(&self, id: id::Member) -> Self {
        let mut next = self.clone();
        if let Some(peer) = next.peers.iter_mut().find(|p| p.id == id.get()) {
            peer.voter = true;
        }
        next
    }

    /// A replaced member that can be removed now, since its replacement is a voter.
    pub fn replaced_member(&self) -> Option<id::Member> {
        let successors = self.peers.iter().filter(|p| p.voter);
        successors
            .filter_map(Peer::replaces)
            .find(|old| self.get(*old).is_some())
    }

    /// The members without `id`.
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
            Some(old) => self.prepare_replacement(old)?,
            None => 0,
        };
        let remaining = self.peers.iter().filter(|p| p.replaces == 0).count();
        if old.is_none() && remaining >= MAX_VOTERS {
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

    /// Prepares the replacement of `old` and returns the raw id of the member that
    /// the new learner replaces, or 0 if there is none.
    ///
    /// If `old` is itself a learner, it is removed at once, and the new learner
    /// replaces the member that `old` was to replace, if any. Any other learner that
    /// was to replace the same member is removed as well.
    fn prepare_replacement(&mut self, old: id::Member) -> Result<u64> {
        let peer = self.get(old).cloned().ok_or(Error::UnknownMember(old))?;
        let replaced = if peer.voter { peer.id } else { peer.replaces };
        self.peers.retain(|p| p.id != old.get() || p.voter);
        self.peers
            .retain(|p| p.voter || replaced == 0 || p.replaces != replaced);
        Ok(replaced)
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

    /// Checks that neither the id nor the address is in use, apart from the address
    /// of `old` and of a learner that was to replace it.
    fn check_new(&self, id: id::Member, address: &str, old: Option<id::Member>) -> Result<()> {
        if self.get(id).is_some() {
            return Err(Error::AlreadyMember(id));
        }
        let is_replaced =
            |p: &Peer| old.is_some_and(|old| p.id() == Some(old) || p.replaces() == Some(old));
        if self
            .peers
            .iter()
            .any(|p| p.address == address && !is_replaced(p))
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

//! The durable state of a member: log entries, hard state and snapshots.

use bytes::Bytes;

use crate::{id, members::Members};

/// One entry of the replicated log.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Entry {
    /// Position in the log, from 1.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Content; `None` in the entry with which a leader starts its term.
    #[prost(oneof = "Body", tags = "3, 4")]
    pub body: Option<Body>,
}

/// Content of an [`Entry`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// An opaque payload for the state machine.
    #[prost(bytes = "bytes", tag = "3")]
    Data(Bytes),
    /// The new set of members, in force as soon as the entry is appended.
    #[prost(message, tag = "4")]
    Members(Members),
}

impl Entry {
    /// Encoded size in bytes, used to bound the size of messages.
    pub fn size(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}

/// The state besides the log that a member must sync before it answers a message
/// (the persistent state of the Raft paper), and a lower bound of the commit index.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HardState {
    /// Latest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Raw id of the member voted for in `term`, or 0.
    #[prost(uint64, tag = "2")]
    pub vote: u64,
    /// Raw id of the cluster, or 0 if the member belongs to none yet.
    #[prost(uint64, tag = "3")]
    pub cluster: u64,
    /// An index known to be committed; it may lag behind the commit index.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Raw id of the leader of `term`, or 0 if this member has not heard from it.
    #[prost(uint64, tag = "5")]
    pub leader: u64,
}

impl HardState {
    /// The member voted for in this term.
    pub fn vote(&self) -> Option<id::Member> {
        id::Member::new(self.vote)
    }

    /// The leader of this term, if this member has heard from it.
    pub fn leader(&self) -> Option<id::Member> {
        id::Member::new(self.leader)
    }

    /// The cluster this member belongs to.
    pub fn cluster(&self) -> Option<id::Cluster> {
        id::Cluster::new(self.cluster)
    }
}

/// State of the state machine after all entries up to `index`. The snapshot replaces
/// these entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Snapshot {
    /// Last index the snapshot covers; 0 for the empty log.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the entry at `index`.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Members as of `index`.
    #[prost(message, required, tag = "3")]
    pub members: Members,
    /// State as encoded by the state machine; empty in the default snapshot of a
    /// new member.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

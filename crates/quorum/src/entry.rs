//! What is kept durably: log entries, the hard state and snapshots.

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
    /// Content; `None` marks the start of a leader's term.
    #[prost(oneof = "Body", tags = "3, 4")]
    pub body: Option<Body>,
}

/// Content of an [`Entry`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// A payload for the state machine.
    #[prost(bytes = "bytes", tag = "3")]
    Data(Bytes),
    /// The members from this entry on, in force as soon as it is appended.
    #[prost(message, tag = "4")]
    Members(Members),
}

impl Entry {
    /// Approximate encoded size in bytes, used to bound messages.
    pub fn size(&self) -> usize {
        prost::Message::encoded_len(self)
    }
}

/// Durable state beside the log.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct HardState {
    /// Latest term seen.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Raw id of the member voted for in `term`, or 0.
    #[prost(uint64, tag = "2")]
    pub vote: u64,
    /// Raw id of the cluster, or 0 for a member that belongs to none yet.
    #[prost(uint64, tag = "3")]
    pub cluster: u64,
    /// An index known to be committed; a hint that may lag.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
}

impl HardState {
    /// The member voted for in this term.
    pub fn vote(&self) -> Option<id::Member> {
        id::Member::new(self.vote)
    }

    /// The cluster this member belongs to.
    pub fn cluster(&self) -> Option<id::Cluster> {
        id::Cluster::new(self.cluster)
    }
}

/// State of the machine after all entries up to `index`, in their place.
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
    /// The state machine's own encoding; empty if nothing was ever applied.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: Bytes,
}

//! Why a replica refuses a request.

use crate::{id, members};

/// Why a request was not taken.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Another member leads, if any is known.
    #[error("this member is not the leader")]
    NotLeader {
        /// The leader it follows.
        leader: Option<id::Member>,
    },
    /// An earlier change of the members, or the start of the term, is not committed yet.
    #[error("another change of the members is in progress")]
    ChangeInProgress,
    /// The command was carried out before.
    #[error("command {0} was already carried out")]
    AlreadyDone(id::Command),
    /// The change contradicts the members in force.
    #[error("members can't be changed: {0}")]
    InvalidChange(#[from] members::Error),
    /// The first member set must name this member.
    #[error("first members don't include this member {0}")]
    NotInInitialMembers(id::Member),
    /// The member already belongs to a cluster.
    #[error("member {0} already belongs to a cluster")]
    AlreadyInitialized(id::Member),
    /// The store failed; the member must be reopened.
    #[error("member {0} is halted after a store error")]
    Halted(id::Member),
}

/// `Result` of a request to a replica.
pub type Result<T> = std::result::Result<T, Error>;

//! Why a replica rejects a request.

use crate::{id, members};

/// Why a request was rejected.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Only the leader accepts this request.
    #[error("this member is not the leader")]
    NotLeader {
        /// The leader that this member follows, if it knows one.
        leader: Option<id::Member>,
    },
    /// An earlier change of the members, or the first entry of the leader's
    /// term, is not committed yet.
    #[error("another change of the members is in progress")]
    ChangeInProgress,
    /// A change with this command id was made before.
    #[error("command {0} was already carried out")]
    AlreadyDone(id::Command),
    /// The change doesn't fit the members in force.
    #[error("members can't be changed: {0}")]
    InvalidChange(#[from] members::Error),
    /// The initial members must include this member.
    #[error("initial members don't include this member {0}")]
    NotInInitialMembers(id::Member),
    /// The member already belongs to a cluster.
    #[error("member {0} already belongs to a cluster")]
    AlreadyInitialized(id::Member),
    /// The store failed; a new replica must be started from the reopened store.
    #[error("member {0} is halted after a store error")]
    Halted(id::Member),
}

/// `Result` of a request to a replica.
pub type Result<T> = std::result::Result<T, Error>;

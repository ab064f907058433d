//! The interface of the replicated log that the control service uses.

use std::future::Future;
use std::net::SocketAddr;

use gentian::quorum::id::Member;

/// Why a change has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was proposed, since this instance isn't the leader.
    #[error("this control instance is not the leader")]
    NotLeader,
    /// The payload may or may not be committed.
    #[error("leadership was lost before the change was confirmed; it may still be committed")]
    Unknown,
    /// Nothing was proposed: the change may have been accepted long ago, and the record that
    /// tells is not at this instance yet.
    #[error("the old versions that would tell the answer are not at this instance yet")]
    Missing,
}

/// The result of a proposal.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// The leader as far as this instance knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Leader {
    /// This instance leads in this term: a majority has confirmed it at the time of
    /// the call, and everything committed before is applied here.
    This { term: u64 },
    /// Another instance; `None` if no leader is known.
    Other(Option<SocketAddr>),
}

/// What an instance holds of the log, and has yet to do with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Backlog {
    /// Size of the entries after the snapshot, in bytes.
    pub(crate) log_bytes: usize,
    /// Size of the state in the snapshot, in bytes.
    pub(crate) snapshot_bytes: usize,
    /// Number of committed entries that are not applied.
    pub(crate) unapplied: u64,
}

/// A replicated log whose entries are applied to a [`SharedState`](super::SharedState).
pub(crate) trait ReplicatedLog: Send + Sync + 'static {
    /// Proposes a payload and returns the state machine's reply once it is applied.
    fn propose(&self, payload: Vec<u8>) -> impl Future<Output = Result<Vec<u8>>> + Send;

    /// Returns the leader at the time of the call.
    fn leader(&self) -> Leader;

    /// Whether this instance is leader in its own view, but no majority has confirmed
    /// it lately, as just after a stall of the process. [`leader`](Self::leader) then
    /// names nobody.
    fn is_unconfirmed(&self) -> bool;

    /// Returns what this instance holds of the log.
    fn backlog(&self) -> Backlog;

    /// Returns the peer addresses of the control instances.
    fn members(&self) -> Vec<String>;

    /// Records the join request of an instance. Returns whether it is already a member.
    fn join(&self, member: Member, address: String) -> bool;
}

//! The replicated log, as the control service uses it.

use std::future::Future;
use std::net::SocketAddr;

use gentian::quorum::id::Member;

/// Why a payload got no reply.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was proposed, since this instance doesn't lead.
    #[error("this control instance does not lead")]
    NotLeader,
    /// The payload may or may not be accepted.
    #[error("leadership was lost before the change was known to be accepted")]
    Unknown,
}

/// A result whose error is a payload without a reply.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Who leads, as far as this instance knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Leader {
    /// This instance leads in the given term: at the time of the call a majority
    /// has confirmed it, and all that was accepted before is applied here.
    Own { term: u64 },
    /// Another instance, or none that is known.
    Other(Option<SocketAddr>),
}

/// A replicated log that feeds a [`Shared`](super::Shared) state.
pub(crate) trait Log: Send + Sync + 'static {
    /// Proposes a payload and returns the machine's reply once it is applied.
    fn propose(&self, payload: Vec<u8>) -> impl Future<Output = Result<Vec<u8>>> + Send;

    /// Who leads at the time of the call.
    fn leader(&self) -> Leader;

    /// Peer addresses of the control instances.
    fn members(&self) -> Vec<String>;

    /// Notes that an instance wants to join; whether it is a member already.
    fn join(&self, member: Member, address: String) -> bool;
}

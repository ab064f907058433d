//! The state machine that a replicated log feeds.

/// A snapshot that the state machine could not read.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("snapshot can't be restored: {0}")]
pub struct RestoreError(pub String);

/// `Result` of restoring a snapshot.
pub type Result<T> = std::result::Result<T, RestoreError>;

/// State built by applying committed entries in order.
///
/// It must be deterministic: the same payloads in the same order give the same
/// state and the same answers on every member.
pub trait StateMachine {
    /// Applies the committed payload at `index` and returns the answer for whoever proposed it.
    ///
    /// Indexes grow but may skip numbers, since the log also holds entries of its own.
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8>;

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by an encoded one.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;
}

//! The state machine to which the entries of the log are applied.

/// The state machine can't decode a snapshot; holds the reason.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("snapshot can't be restored: {0}")]
pub struct RestoreError(pub String);

/// `Result` of restoring a snapshot.
pub type Result<T> = std::result::Result<T, RestoreError>;

/// State that results from applying the committed entries in order.
///
/// Applying entries must be deterministic: the same payloads in the same order must give the
/// same state and the same replies on every member.
pub trait StateMachine {
    /// Applies the committed payload at `index` and returns the reply to its proposer.
    ///
    /// Indexes increase but may have gaps, since the log also holds entries without
    /// a payload.
    fn apply(&mut self, index: u64, payload: &[u8]) -> Vec<u8>;

    /// Whether what the state machine keeps outside of its state is durable, so that the entries
    /// that led to it may be replaced by a snapshot.
    fn may_compact(&mut self) -> bool {
        true
    }

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Replaces the whole state by one that [`snapshot`](Self::snapshot) encoded.
    fn restore(&mut self, bytes: &[u8]) -> Result<()>;
}

//! What a replica asks of its driver.

use crate::{
    entry::{Entry, Snapshot},
    id,
    message::Message,
    store::Write,
};

/// What the driver must do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Receiver.
        to: id::Member,
        /// Its address, if the members in force name one.
        address: Option<String>,
        /// The message.
        message: Message,
    },
    /// Write to the store, sync, then report [`Replica::synced`] with its number.
    /// Several writes may share one sync.
    Write(Write),
    /// Apply a committed entry.
    Apply(Entry),
    /// Restore the state machine; entries after the snapshot follow.
    Restore(Snapshot),
    /// The role changed.
    Role(Role),
}

/// Role of a member, as reported to the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Follows a leader, or waits for one.
    Follower,
    /// Campaigns.
    Candidate,
    /// Leads in its term.
    Leader,
    /// Stopped after a store error.
    Halted,
}

/// Place of an entry; the same index under another term is another entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Index in the log.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
}

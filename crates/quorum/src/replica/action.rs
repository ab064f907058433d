//! The actions that a replica asks its driver to carry out.

use crate::{
    entry::{Entry, Snapshot},
    id,
    message::Message,
    store::Write,
};

/// One action for the driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message. Delivery need not be reliable.
    Send {
        /// The receiver.
        to: id::Member,
        /// Its address, or `None` if it is not among the members in force.
        address: Option<String>,
        /// The message.
        message: Message,
    },
    /// Write to the store, sync it, then call [`Replica::synced`] with the write's
    /// number. Several writes may share one sync.
    ///
    /// [`Replica::synced`]: super::Replica::synced
    Write(Write),
    /// Apply a committed entry to the state machine.
    Apply(Entry),
    /// Restore the state machine from a snapshot; later [`Action::Apply`]s carry
    /// the entries after it.
    Restore(Snapshot),
    /// This member's role has changed.
    Role(Role),
}

/// Role of a member, as reported to the driver.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub enum Role {
    /// Follows a leader, or waits to hear from one.
    Follower,
    /// Asks for votes.
    Candidate,
    /// Leads the cluster in the current term.
    Leader,
    /// Stopped after a store error.
    Halted,
}

/// Identifies an entry; entries with equal index but different terms differ.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Position {
    /// Index in the log.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
}

//! Agreement on a replicated log, with its durable store.
//!
//! [`replica::Replica`] is a leader-based state machine in the manner of Raft:
//! events go in, [`replica::Action`]s come out, and it touches no clock, file or
//! socket. The driver writes to a [`store::Store`], reports what was synced, and
//! carries the messages. Entries are opaque bytes that a [`state_machine::StateMachine`]
//! applies in the same order everywhere.
//!
//! A member is identified by a random id kept beside its log, so an instance
//! that lost its disk is a stranger until an operator replaces the lost member.

pub mod entry;
pub mod id;
pub mod log;
pub mod members;
pub mod message;
pub mod repair;
pub mod replica;
pub mod state_machine;
pub mod store;

pub use entry::{Body, Entry, HardState, Snapshot};
pub use members::Members;
pub use message::Message;
pub use replica::{Action, Replica};
pub use state_machine::StateMachine;
pub use store::Store;

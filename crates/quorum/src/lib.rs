//! A replicated log with the Raft consensus protocol, and its durable store.
//!
//! [`replica::Replica`] implements the protocol without I/O: the caller, called
//! the driver, passes in events and carries out the [`replica::Action`]s that come
//! out. The driver writes to a [`store::Store`], reports which writes are synced,
//! and sends and receives the messages. Entries are opaque bytes that a
//! [`state_machine::StateMachine`] applies in the same order on every member.
//!
//! A member is identified by a random id that is stored with its log. An instance
//! that lost its disk therefore comes back under a new id, and has no vote until
//! it has replaced the lost member (see [`members::Change`]).

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

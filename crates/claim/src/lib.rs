//! At-most-once execution: job claims, the agent's gate and tombstones.
//!
//! A job's key determines its home agent, which tells the first coordinator of
//! the job from later ones ([`home`]). A task's key determines a few candidate
//! agents ([`placement`]). The gate of each candidate starts a task at most
//! once ([`gate`]). A coordinator that takes a job over from an earlier one asks
//! the gates whether its tasks have started. It does so under a higher ballot,
//! and a gate that has not started a task leaves a tombstone: from then on it
//! refuses to start the task for a coordinator with a lower ballot. The entry
//! sends the messages to home and gates as told by one state machine per job
//! ([`coordinator`]).
//!
//! Tasks that may run again once an earlier run is known to have ended need no
//! claims or gates: their runs go on only while leases are renewed. The agent tracks the
//! runs at its upstream ([`run`]), and an entry those that it has ordered ([`ordered`]). A
//! task under which upstreams crash is tried a few times only ([`crash`]).
//!
//! Nothing in this crate does I/O, reads a clock or draws random numbers: the
//! caller passes in the wall time as a [`Duration`](std::time::Duration) since
//! the Unix epoch, and messages are returned as values. All records are in
//! memory only; therefore a restarted agent refuses every key that was created
//! before its restart ([`key_window`]).

pub mod coordinator;
pub mod crash;
pub mod gate;
pub mod home;
pub mod key_window;
pub mod ordered;
pub mod placement;
pub mod refusal;
pub mod run;

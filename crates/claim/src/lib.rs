//! At most once: job claims, the agent's gate, tombstones.
//!
//! A job's key names its home agent, which tells the first coordinator from
//! the later ones ([`home`]). A task's key names a few candidate agents
//! ([`placement`]), and the gate of each starts a key once, or never after it has
//! promised a tombstone ([`gate`]). The entry drives both with one state
//! machine per job ([`coordinator`]).
//!
//! What may run again after it is surely gone needs less: its runs live under
//! leases ([`run`]).
//!
//! Nothing here does I/O, reads a clock or draws random numbers: wall time
//! comes in as a [`Duration`](std::time::Duration) since the Unix epoch, and
//! replies leave as values. The price of memory without a disk is that a
//! restarted agent refuses every key older than itself ([`key_window`]).

pub mod coordinator;
pub mod gate;
pub mod home;
pub mod key_window;
pub mod placement;
pub mod refusal;
pub mod run;

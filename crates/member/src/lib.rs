//! Announcements, heartbeats, leases, views and drain.
//!
//! Agents announce themselves; the leader of the control instances turns
//! announcements and their absence into numbered [`view`]s, which go through
//! the replicated log beside the configuration ([`state`]). What a lost leader
//! need not hand on stays out of the log: who renewed when ([`lease`]) and
//! which shares of quotas are lent ([`share`]). A node keeps its side of the
//! lease in [`renewal`].

pub mod lease;
pub mod member;
pub mod renewal;
pub mod share;
pub mod state;
pub mod view;

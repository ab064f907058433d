//! Announcements, heartbeats, leases, views and drain.
//!
//! Agents announce themselves; the leader of the control instances turns
//! announcements and their absence into numbered [`view`]s, which go through
//! the replicated log beside the configuration ([`state`]). What a lost leader
//! need not hand on stays out of the log: who renewed when ([`lease_table`]) and
//! which shares of quotas are lent ([`quota_share`]). A node keeps its side of the
//! lease in [`node_lease`].

pub mod lease_table;
pub mod member;
pub mod node_lease;
pub mod quota_share;
pub mod state;
pub mod view;

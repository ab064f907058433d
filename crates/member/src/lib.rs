//! Cluster membership: announcements, heartbeats, leases, views and drain.
//!
//! Entries and agents announce themselves with every lease renewal. The leader
//! of the control instances turns the announcements of agents, and their
//! absence, into numbered membership [`view`]s, which are replicated in the same
//! log as the configuration ([`state`]).
//!
//! State that a new leader can do without is not replicated: which nodes renewed
//! when ([`lease_table`]), and which shares of teams' quotas are lent
//! ([`quota_share`]). Each node tracks its own lease with [`node_lease`].

pub mod lease_table;
pub mod member;
pub mod node_lease;
pub mod quota_share;
pub mod state;
pub mod view;

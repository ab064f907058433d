//! Simulation of entries and agents that run coordinators, homes and gates over
//! an unreliable network.

mod cluster;
mod faults;
mod random_events;

//! Ids, sizes, rates, outcomes and messages shared by the roles of gentiancove.
//!
//! The messages under [`agent`], [`control`] and [`quorum`] are generated from
//! `proto/` by `tools/codegen` and committed, so that the build needs no
//! generator. Everything else in the workspace uses the newtypes of [`id`],
//! [`size`] and [`rate`], and converts at the edge where a message is sent or
//! received.

pub mod id;
pub mod need;
pub mod outcome;
pub mod rate;
pub mod size;

mod convert;

pub use convert::Malformed;

/// Messages between an entry and an agent.
pub mod agent {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.agent.v1.rs");
}

/// Messages between a node and a control instance.
pub mod control {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.control.v1.rs");
}

/// Messages between control instances.
pub mod quorum {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.quorum.v1.rs");
}

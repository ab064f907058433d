//! Identifiers, sizes, rates, outcomes and protobuf messages shared by all roles of
//! gentiancove.
//!
//! The modules [`agent`], [`control`] and [`quorum`] are generated from `proto/` by
//! `tools/codegen` and committed, so that the build needs no code generator. The rest
//! of the workspace uses the newtypes of [`id`], [`size`] and [`rate`], and converts
//! where a message is sent or received.

pub mod address;
pub mod id;
pub mod need;
pub mod outcome;
pub mod rate;
pub mod size;

mod convert;

pub use convert::Malformed;

/// The protocol between an entry and an agent.
pub mod agent {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.agent.v1.rs");
}

/// The protocol between entries or agents and a control instance.
pub mod control {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.control.v1.rs");
}

/// The protocol between control instances.
pub mod quorum {
    #![allow(missing_docs, unreachable_pub, clippy::all, rustdoc::all)]
    include!("generated/gentiancove.quorum.v1.rs");
}

//! The numbered configuration: documents, patches, versions, digests.
//!
//! Operators change the [`document::Document`] only by a [`patch::Patch`] that
//! names the version in force. The [`ledger::Ledger`] is the state machine that
//! accepts or refuses patches, in the order of the replicated log, and keeps
//! every accepted one for the monitor. It keeps patches rather than documents:
//! an older document costs a replay, and a version costs a few hundred bytes.

pub mod document;
pub mod ledger;
pub mod patch;

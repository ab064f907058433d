//! Versioned configuration: documents, patches, history and digests.
//!
//! Operators change the configuration [`document::Document`] only by sending a
//! [`patch::Patch`] that names the version in force. The [`ledger::Ledger`] is
//! the state machine that accepts or refuses patches in the order of the
//! replicated log, and keeps every accepted patch so that the history can be
//! audited. It keeps patches rather than documents: reconstructing an older
//! document takes a replay, but each version costs only a few hundred bytes.

pub mod document;
pub mod ledger;
pub mod patch;

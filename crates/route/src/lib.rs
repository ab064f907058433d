//! Selection of upstreams: load estimates, balancing policies, outlier ejection,
//! placement by resources, and learned run times.
//!
//! This crate only decides; it does no I/O. Time is passed in as a `Duration` since
//! an arbitrary monotonic origin, and randomness as a generator, so that the same
//! events give the same choices.
//!
//! An entry keeps one [`LoadView`](view::LoadView) per service, asks a
//! [`Policy`](policy::Policy) for an upstream, and reports the requests that it starts
//! and the answers with their load back to the view.

pub mod bulkhead;
pub mod outlier;
pub mod placement;
pub mod policy;
pub mod run_times;
pub mod speed;
pub mod view;

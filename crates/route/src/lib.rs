//! Choosing an upstream: load view, choice, ejection and learned run times.
//!
//! Decisions only: time is a `Duration` since an arbitrary monotonic origin and
//! randomness a generator passed in, so that the same events give the same
//! choices. An entry keeps one [`LoadView`](view::LoadView) per service, asks a
//! [`Policy`](policy::Policy) for an upstream, and tells the view what it
//! started, what was answered and with which load.

pub mod outlier;
pub mod placement;
pub mod policy;
pub mod run_times;
pub mod view;

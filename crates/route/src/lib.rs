//! Choosing an upstream: load view, choice, ejection and learned run times.
//!
//! Decisions only: time is a `Duration` since an arbitrary monotonic origin and
//! randomness a generator passed in, so that the same events give the same
//! choices. An entry keeps one [`View`](view::View) per service, asks a
//! [`Choice`](choice::Choice) for an upstream, and tells the view what it
//! started, what was answered and with which load.

pub mod choice;
pub mod eject;
pub mod room;
pub mod runtime;
pub mod view;

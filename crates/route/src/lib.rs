//! Choosing an upstream: load view, choice, ejection.

//! The gentiancove binary.
fn main() {}

//! The gentiancove binary.

use std::process::ExitCode;

mod args;
mod client;
mod settings;
mod upstream;

fn main() -> ExitCode {
    args::main()
}

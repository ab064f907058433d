//! The gentiancove binary: parses the command line and runs its subcommand.

use std::process::ExitCode;

mod agent;
mod args;
mod client;
mod clock;
mod control;
mod entry;
mod lag;
mod load;
mod local;
mod logging;
mod metrics;
mod panics;
mod reload;
mod renew;
mod report;
mod run;
mod serve;
mod settings;
mod unread;
mod upstream;

fn main() -> ExitCode {
    args::main()
}

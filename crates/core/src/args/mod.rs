//! The command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod check;
mod config;
mod error;
mod explain;
mod load;
mod local;
mod members;
mod operator;
mod output;
mod report;
mod run;
mod status;
mod upstream;

pub(crate) use error::{Error, Result};

const HELP: &str = "\
Examples:
  gentiancove local
  gentiancove run --settings entry.json
  gentiancove check-settings --settings entry.json
  gentiancove config get --control http://127.0.0.1:7001
  gentiancove config patch --control http://127.0.0.1:7001 --base 4 '{\"teams\":{\"barn\":{}}}'

Exit codes:
  0  it worked
  1  it failed
  2  the command line or the settings are wrong
  3  the patch names another version than the one in force
  4  nobody answered; where it was a patch, send it again with the same --id
  5  a check failed, such as an answer that is not its request's own, or an alert";

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "gentiancove", version, max_term_width = 100, after_help = HELP)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the roles that a settings file names, until SIGTERM
    Run(run::Args),
    /// Runs a whole system with an example upstream in one process
    Local(local::Args),
    /// Checks a settings file and prints the settings in force
    CheckSettings(check::Args),
    /// Reads and changes the numbered configuration
    #[command(subcommand)]
    Config(config::Command),
    /// Shows what an entry, an agent or a control instance knows
    Status(status::Args),
    /// Reports how fast services and teams use up their error budgets
    Report(report::Args),
    /// Adds, removes or replaces a control instance
    #[command(subcommand)]
    Members(members::Command),
    /// Sends load to entries and measures what their callers see
    Load(load::Args),
    /// Shows the log lines of one request, in their order
    Explain(explain::Args),
    /// Runs an upstream that sleeps as asked and echoes what it gets
    ExampleUpstream(upstream::Args),
}

/// Runs the command that the command line names.
pub(crate) fn main() -> ExitCode {
    error::install_handler();
    match Cli::parse().command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.tell(),
    }
}

impl Command {
    fn run(self) -> Result<()> {
        match self {
            Command::Run(args) => args.run(),
            Command::Local(args) => args.run(),
            Command::CheckSettings(args) => args.run(),
            Command::Config(command) => command.run(),
            Command::Status(args) => args.run(),
            Command::Report(args) => args.run(),
            Command::Members(command) => command.run(),
            Command::Load(args) => args.run(),
            Command::Explain(args) => args.run(),
            Command::ExampleUpstream(args) => args.run(),
        }
    }
}

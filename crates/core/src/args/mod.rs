//! The command line.

use std::process::ExitCode;

use clap::{Parser, Subcommand};

mod check;
mod config;
mod drain;
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
  0  success
  1  failure
  2  the command line or the settings are invalid
  3  the base version of the patch is not the version in force
  4  no address answered; a patch can be sent again with the same --id
  5  a check failed, such as a wrong answer, an alert that fires or a digest that differs";

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "gentiancove", version, max_term_width = 100, after_help = HELP)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the roles that a settings file configures, until SIGTERM
    Run(run::Args),
    /// Runs a complete system with an example upstream in one process
    Local(local::Args),
    /// Validates a settings file and prints the settings with defaults filled in
    CheckSettings(check::Args),
    /// Reads and changes the versioned configuration
    #[command(subcommand)]
    Config(config::Command),
    /// Gives a data centre no new work; what runs there goes on to its end
    Drain(drain::Args),
    /// Gives a drained data centre work again
    Undrain(drain::Args),
    /// Lists the drained data centres
    Drains(drain::ListArgs),
    /// Shows the status of entries, agents and control instances
    Status(status::Args),
    /// Reports how fast services and teams use up their error budgets
    Report(report::Args),
    /// Lists and changes the control instances
    #[command(subcommand)]
    Members(members::Command),
    /// Sends load to entries and measures their answers
    Load(load::Args),
    /// Shows the log lines of one request in order of time
    Explain(explain::Args),
    /// Runs an upstream that sleeps as long as a request asks and echoes its body
    ExampleUpstream(upstream::Args),
}

/// Parses the command line and runs its subcommand.
pub(crate) fn main() -> ExitCode {
    error::install_handler();
    match Cli::parse().command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => error.report(),
    }
}

impl Command {
    fn run(self) -> Result<()> {
        match self {
            Command::Run(args) => args.run(),
            Command::Local(args) => args.run(),
            Command::CheckSettings(args) => args.run(),
            Command::Config(command) => command.run(),
            Command::Drain(args) => args.drain(),
            Command::Undrain(args) => args.undrain(),
            Command::Drains(args) => args.run(),
            Command::Status(args) => args.run(),
            Command::Report(args) => args.run(),
            Command::Members(command) => command.run(),
            Command::Load(args) => args.run(),
            Command::Explain(args) => args.run(),
            Command::ExampleUpstream(args) => args.run(),
        }
    }
}

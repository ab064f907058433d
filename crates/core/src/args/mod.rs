//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};
use gentian_wire::id;

use crate::settings::Settings;
use crate::{run, upstream};

/// A dispatcher for sub-second tasks.
#[derive(Debug, Parser)]
#[command(name = "gentiancove", version, max_term_width = 100)]
pub(crate) struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the roles that a settings file names, until SIGTERM
    Run(Run),
    /// Runs an upstream that sleeps as asked and echoes what it gets
    ExampleUpstream(ExampleUpstream),
}

impl Cli {
    /// Runs the chosen command.
    pub(crate) fn run(self) -> miette::Result<()> {
        match self.command {
            Command::Run(command) => command.run(),
            Command::ExampleUpstream(command) => command.run(),
        }
    }
}

#[derive(Args, Debug)]
struct Run {
    /// The JSON settings file
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Run {
    fn run(self) -> miette::Result<()> {
        let settings = Settings::read(&self.settings)?;
        Ok(run::run(&settings)?)
    }
}

#[derive(Args, Debug)]
struct ExampleUpstream {
    /// Base URL of the local agent
    #[arg(long, value_name = "URL")]
    agent: String,
    /// Service that the upstream serves
    #[arg(long, default_value = "demo")]
    service: id::Service,
    /// Tasks that may run at once, as announced
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Connections that may be open at once, as announced
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Address to listen on; port 0 takes a free one
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How tasks are treated: normal, fail, slow or reset
    #[arg(long, default_value_t)]
    mode: upstream::Mode,
}

impl ExampleUpstream {
    fn run(self) -> miette::Result<()> {
        let builder = upstream::Builder::new(self.service, self.agent)
            .slots(self.slots)
            .connections(self.connections)
            .listen(self.listen)
            .mode(self.mode);
        upstream::run(builder).map_err(|error| miette::miette!("{error}"))
    }
}

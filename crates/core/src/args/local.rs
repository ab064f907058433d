//! `local`: runs a complete system in one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Result;
use crate::local::{self, Options};

#[derive(clap::Args, Debug)]
#[command(
    args_override_self = true,
    after_help = "\
Example:
  gentiancove local --entry 127.0.0.1:0

Prints the addresses, then an example request and an example job with their answers. On
SIGTERM or Ctrl-C the system answers the requests in progress and stops."
)]
pub(super) struct Args {
    /// Listen address for callers; port 0 picks a free port
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
    entry: SocketAddr,
    /// Listen address for upstreams
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
    agent: SocketAddr,
    /// Listen address for operators
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:7001")]
    control: SocketAddr,
    /// Directory for the configuration and its history
    #[arg(long, value_name = "DIR", default_value = "local.data")]
    data: PathBuf,
    /// Stops after the example is answered
    #[arg(long)]
    once: bool,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let options = Options {
            entry: self.entry,
            agent: self.agent,
            control: self.control,
            data: self.data,
        };
        Ok(local::run(&options, self.once)?)
    }
}

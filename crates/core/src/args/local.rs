//! `local`: a whole system in one process.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::Result;
use crate::local::{self, Places};

#[derive(clap::Args, Debug)]
#[command(
    args_override_self = true,
    after_help = "\
Example:
  gentiancove local --entry 127.0.0.1:0

The addresses are printed, then an example request and an example job with their answers. SIGTERM or Ctrl-C stops
the system once it has answered the requests in progress."
)]
pub(super) struct Args {
    /// Address for callers; port 0 takes a free one
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
    entry: SocketAddr,
    /// Address for upstreams
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8081")]
    agent: SocketAddr,
    /// Address for operators
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:7001")]
    control: SocketAddr,
    /// Folder for the configuration and its history
    #[arg(long, value_name = "DIR", default_value = "local.data")]
    data: PathBuf,
    /// Stops once the example is answered
    #[arg(long)]
    once: bool,
}

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let places = Places {
            entry: self.entry,
            agent: self.agent,
            control: self.control,
            data: self.data,
        };
        Ok(local::run(&places, self.once)?)
    }
}

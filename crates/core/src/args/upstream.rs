//! `example-upstream`: something to send tasks to.

use std::net::SocketAddr;

use gentian_wire::id;

use super::Result;
use crate::client::Base;
use crate::upstream;

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Example:
  gentiancove example-upstream --agent http://127.0.0.1:8081 --service demo

A task sleeps for the milliseconds in its header x-run-ms, or in the field run_ms of its
JSON body, and is answered with its own body. GET /executions tells what has run.")]
pub(super) struct Args {
    /// Base URL of the local agent
    #[arg(long, value_name = "URL")]
    agent: Base,
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

impl Args {
    pub(super) fn run(self) -> Result<()> {
        let builder = upstream::Builder::new(self.service, self.agent.to_string())
            .slots(self.slots)
            .connections(self.connections)
            .listen(self.listen)
            .mode(self.mode);
        Ok(upstream::run(builder)?)
    }
}

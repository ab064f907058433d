//! `example-upstream`: runs an upstream for demonstrations and tests.

use std::net::SocketAddr;

use gentian_wire::id;

use super::Result;
use crate::client::BaseUrl;
use crate::upstream;

#[derive(clap::Args, Debug)]
#[command(after_help = "\
Example:
  gentiancove example-upstream --agent http://127.0.0.1:8081 --service demo

A task sleeps for the number of milliseconds in its header x-run-ms, or in the field run_ms
of its JSON body, and is answered with its own body. GET /executions returns counts of the
tasks that have run.")]
pub(super) struct Args {
    /// Base URL of the local agent
    #[arg(long, value_name = "URL")]
    agent: BaseUrl,
    /// Service that the upstream provides
    #[arg(long, default_value = "demo")]
    service: id::Service,
    /// Number of concurrent tasks to announce to the agent
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Number of concurrent connections to announce to the agent
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// Address to listen on; port 0 picks a free port
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// How tasks are handled: normal, fail, slow or reset
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

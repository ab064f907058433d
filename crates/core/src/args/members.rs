//! `members`: lists and changes the members of the control cluster, one at a time.

use std::net::SocketAddr;

use clap::Subcommand;
use http::Method;
use serde_json::{json, Value};

use super::operator::Control;
use super::{output, Result};

#[derive(Debug, Subcommand)]
pub(super) enum Command {
    /// Lists the control instances
    List {
        #[command(flatten)]
        control: Control,
    },
    /// Initializes a new cluster with these instances; works only once per cluster
    Init {
        #[command(flatten)]
        control: Control,
        /// Peer addresses of all instances, including the one at the control URL
        #[arg(required = true)]
        peers: Vec<SocketAddr>,
    },
    /// Adds an instance; it votes once it has replicated all accepted changes
    Add {
        #[command(flatten)]
        control: Control,
        /// Peer address of the new instance
        peer: SocketAddr,
    },
    /// Removes an instance
    Remove {
        #[command(flatten)]
        control: Control,
        /// Peer address of the instance
        peer: SocketAddr,
    },
    /// Replaces an instance that has failed or lost its disk
    Replace {
        #[command(flatten)]
        control: Control,
        /// Peer address of the old instance
        old: SocketAddr,
        /// Peer address of the new instance; the same address if only the disk was lost
        new: SocketAddr,
    },
}

impl Command {
    pub(super) fn run(self) -> Result<()> {
        let members = match self {
            Command::List { control } => control.get("/v1/members")?,
            Command::Init { control, peers } => init(&control, &peers)?,
            Command::Add { control, peer } => change(&control, &json!({ "add": peer }))?,
            Command::Remove { control, peer } => change(&control, &json!({ "remove": peer }))?,
            Command::Replace { control, old, new } => {
                change(&control, &json!({ "remove": old, "add": new }))?
            }
        };
        output::print_line(&format!("{members:#}"))
    }
}

/// Sends a change, retrying at other instances. This is safe: a change states
/// which instances are to be members, so applying it twice has the same result.
fn change(control: &Control, change: &Value) -> Result<Value> {
    control.send(&Method::POST, "/v1/members", change)?.json()
}

/// Initializes a cluster. The request goes to one instance only and is never
/// retried at another: two instances that each initialized a cluster could not be
/// merged later.
fn init(control: &Control, peers: &[SocketAddr]) -> Result<Value> {
    let body = json!({ "init": peers });
    control
        .send_once(&Method::POST, "/v1/members", &body)?
        .json()
}

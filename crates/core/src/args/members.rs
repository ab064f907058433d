//! `members`: the control instances, changed one at a time.

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
    /// Makes the instances the first members of a new cluster, once and for all
    Init {
        #[command(flatten)]
        control: Control,
        /// Peer addresses of all the instances, that of the control URL included
        #[arg(required = true)]
        peers: Vec<SocketAddr>,
    },
    /// Adds an instance, which votes once it holds everything accepted
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
    /// Replaces an instance that lost its disk, or that has died
    Replace {
        #[command(flatten)]
        control: Control,
        /// Peer address of the old instance
        old: SocketAddr,
        /// Peer address of the new one; the same where only the disk was lost
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

/// A change is safe to send twice: it says which instances there are to be.
fn change(control: &Control, change: &Value) -> Result<Value> {
    control.send(&Method::POST, "/v1/members", change)?.json()
}

/// Two instances that both founded a cluster would never agree, so only one is asked.
fn init(control: &Control, peers: &[SocketAddr]) -> Result<Value> {
    let body = json!({ "init": peers });
    control
        .send_once(&Method::POST, "/v1/members", &body)?
        .json()
}

//! `members`: the control instances, changed one at a time.
//!
//! A change carries the id of its command, so that one that is sent again
//! changes nothing more.

use std::net::SocketAddr;

use clap::Subcommand;
use gentian_quorum::id;
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
    /// Adds an instance, which votes once it holds everything accepted
    Add {
        #[command(flatten)]
        target: Target,
        /// Id of the new instance, as its status shows it
        id: id::Member,
        /// Peer address of the new instance
        peer: SocketAddr,
    },
    /// Removes an instance
    Remove {
        #[command(flatten)]
        target: Target,
        /// Id of the instance
        id: id::Member,
    },
    /// Replaces an instance that has died or lost its disk
    Replace {
        #[command(flatten)]
        target: Target,
        /// Id of the old instance
        old: id::Member,
        /// Id of the new instance, as its status shows it
        id: id::Member,
        /// Peer address of the new instance
        peer: SocketAddr,
    },
}

#[derive(clap::Args, Debug)]
pub(super) struct Target {
    #[command(flatten)]
    control: Control,
    /// Id of a command whose answer was lost, to send it again [default: a new one]
    #[arg(long, value_name = "ID")]
    command: Option<id::Command>,
}

impl Command {
    pub(super) fn run(self) -> Result<()> {
        let members = match self {
            Command::List { control } => control.get("/v1/members")?,
            Command::Add { target, id, peer } => {
                target.change(&json!({ "add": { "id": text(id), "address": peer } }))?
            }
            Command::Remove { target, id } => {
                target.change(&json!({ "remove": { "id": text(id) } }))?
            }
            Command::Replace {
                target,
                old,
                id,
                peer,
            } => {
                let (old, id) = (text(old), text(id));
                target.change(&json!({ "replace": { "old": old, "id": id, "address": peer } }))?
            }
        };
        output::print_line(&format!("{members:#}"))
    }
}

impl Target {
    fn change(&self, change: &Value) -> Result<Value> {
        let random = || id::Command::random(&mut rand::rng());
        let command = self.command.unwrap_or_else(random);
        eprintln!("command id {command}");
        let body = json!({ "command": command.to_string(), "change": change });
        self.control
            .send(&Method::POST, "/v1/members", &body)?
            .json()
    }
}

fn text(id: id::Member) -> String {
    id.to_string()
}

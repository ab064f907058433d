//! The agents that a membership view lists, with their upstreams.

use std::net::SocketAddr;

use gentian_wire::id::{self, DataCenter, Incarnation, Node, Rack, Region};
use gentian_wire::{address, control};
use serde::{Deserialize, Serialize};

/// The result of reading an announcement or view member from a message.
pub type Result<T> = std::result::Result<T, Error>;

/// A malformed announcement or view member.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// The message has no node.
    #[error("announcement has no node")]
    MissingNode,
    /// The name of a node, location or service is malformed.
    #[error(transparent)]
    Name(#[from] id::Error),
    /// The address is not an IP address with a port at which the node can be called.
    #[error("address {0:?} is not an IP address and port")]
    Address(String),
}

/// An agent that is a member of a view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Name of the agent.
    pub node: Node,
    /// Distinguishes this run of the agent process from earlier ones.
    pub incarnation: Incarnation,
    /// Address at which entries connect to the agent.
    pub address: SocketAddr,
    /// Data centre the agent runs in.
    pub data_center: DataCenter,
    /// Rack the agent runs in.
    pub rack: Rack,
    /// Region the agent runs in.
    pub region: Region,
    /// Upstreams that run next to the agent.
    pub upstreams: Vec<Upstream>,
}

/// An agent's upstream for one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// The service it runs tasks of.
    pub service: id::Service,
    /// Number of tasks it runs concurrently.
    pub slots: u32,
    /// Number of connections it accepts.
    pub connections: u32,
}

/// Reads a list of members. The second list holds the reasons why entries were left out; none
/// of them spoils the others.
pub fn read_list(messages: &[control::Member]) -> (Vec<Member>, Vec<Error>) {
    let (mut members, mut errors) = (Vec::new(), Vec::new());
    for message in messages {
        match Member::try_from(message) {
            Ok(member) => members.push(member),
            Err(error) => errors.push(error),
        }
    }
    (members, errors)
}

impl TryFrom<&control::Member> for Member {
    type Error = Error;

    fn try_from(message: &control::Member) -> Result<Member> {
        let node = message.node.as_ref().ok_or(Error::MissingNode)?;
        Ok(Member {
            node: node.name.parse()?,
            incarnation: Incarnation(node.incarnation),
            address: parse_address(&node.address)?,
            data_center: node.data_center.parse()?,
            rack: node.rack.parse()?,
            region: node.region.parse()?,
            upstreams: message
                .upstreams
                .iter()
                .map(Upstream::try_from)
                .collect::<Result<_>>()?,
        })
    }
}

impl TryFrom<&control::Upstream> for Upstream {
    type Error = Error;

    fn try_from(message: &control::Upstream) -> Result<Upstream> {
        Ok(Upstream {
            service: message.service.parse()?,
            slots: message.slots,
            connections: message.connections,
        })
    }
}

impl From<&Member> for control::Member {
    fn from(member: &Member) -> control::Member {
        control::Member {
            node: Some(control::Node {
                name: member.node.to_string(),
                incarnation: member.incarnation.0,
                role: control::Role::Agent.into(),
                address: member.address.to_string(),
                data_center: member.data_center.to_string(),
                rack: member.rack.to_string(),
                region: member.region.to_string(),
            }),
            upstreams: member
                .upstreams
                .iter()
                .map(control::Upstream::from)
                .collect(),
        }
    }
}

impl From<&Upstream> for control::Upstream {
    fn from(upstream: &Upstream) -> control::Upstream {
        control::Upstream {
            service: upstream.service.to_string(),
            slots: upstream.slots,
            connections: upstream.connections,
            leaving: false,
        }
    }
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    address::parse(text).ok_or_else(|| Error::Address(text.to_owned()))
}

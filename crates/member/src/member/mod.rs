//! An agent and its upstreams, as a view lists them.

use std::net::SocketAddr;

use gentian_wire::control;
use gentian_wire::id::{self, DataCenter, Incarnation, Node, Rack, Region};
use serde::{Deserialize, Serialize};

/// A result whose error is an announcement that can't be used.
pub type Result<T> = std::result::Result<T, Error>;

/// An announcement that can't be used.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// It doesn't say who announces.
    #[error("an announcement without a node")]
    MissingNode,
    /// A name in it is malformed.
    #[error(transparent)]
    Name(#[from] id::Error),
    /// The address is no IP number and port.
    #[error("address {0:?} is not an IP number and port")]
    Address(String),
}

/// An agent in a view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// Its name.
    pub node: Node,
    /// Tells it from its earlier runs.
    pub incarnation: Incarnation,
    /// Where entries reach it.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_center: DataCenter,
    /// Its rack.
    pub rack: Rack,
    /// Its region.
    pub region: Region,
    /// What runs beside it.
    pub upstreams: Vec<Upstream>,
}

/// A service that an agent's upstream serves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Upstream {
    /// The service.
    pub service: id::Service,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Connections it takes.
    pub connections: u32,
}

impl TryFrom<&control::Member> for Member {
    type Error = Error;

    fn try_from(message: &control::Member) -> Result<Member> {
        let node = message.node.as_ref().ok_or(Error::MissingNode)?;
        Ok(Member {
            node: node.name.parse()?,
            incarnation: Incarnation(node.incarnation),
            address: read_address(&node.address)?,
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

fn read_address(text: &str) -> Result<SocketAddr> {
    text.parse().map_err(|_| Error::Address(text.to_owned()))
}

//! Changes of the control members, requested by address.
//!
//! Operators use addresses, replicas use ids. The leader queries an address for the
//! id of the instance that runs there now. A request states the desired members, so a
//! repeated request finds them in force already and changes nothing.

use std::net::SocketAddr;

use gentian::quorum::id::{Command, Member};
use gentian::quorum::members::{Change, Peer};
use gentian::quorum::replica;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::thread::Event;
use super::{transport, Error, Handle, Result, Status};

/// An operator's request to change the control members.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChangeRequest {
    /// Adds the instance at an address.
    Add(SocketAddr),
    /// Removes the instance at an address.
    Remove(SocketAddr),
    /// Replaces the lost instance at the first address by that at the second. They are
    /// equal if only the disk was lost.
    Replace(SocketAddr, SocketAddr),
}

impl Handle {
    /// Initializes a cluster of the instances at `addresses`, which must include this one.
    /// Succeeds if this instance already belongs to a cluster with just these addresses.
    pub(crate) async fn init(&self, addresses: &[SocketAddr]) -> Result<()> {
        let mut peers = Vec::new();
        for address in addresses {
            peers.push(Peer::voter(identify(*address).await?, address.to_string()));
        }
        let addresses: Vec<_> = peers.iter().map(|p| p.address.clone()).collect();
        match self.request(|reply| Event::Init { peers, reply }).await {
            Err(Error::Refused(replica::Error::AlreadyInitialized(_)))
                if self.has_addresses(&addresses) =>
            {
                Ok(())
            }
            result => result.map(drop),
        }
    }

    /// Makes a change, which is in force once this returns `Ok`.
    pub(crate) async fn change(&self, request: ChangeRequest) -> Result<()> {
        if self.leader().is_err() {
            let error = replica::Error::NotLeader { leader: None };
            return Err(Error::Refused(error));
        }
        let Some(change) = self.plan(request).await? else {
            return Ok(());
        };
        let command = Command::random(&mut StdRng::from_os_rng());
        let event = |reply| Event::ChangeMembers {
            command,
            change,
            reply,
        };
        self.request(event).await.map(drop)
    }

    /// Returns the change that the request needs; `None` if it is already in force.
    async fn plan(&self, request: ChangeRequest) -> Result<Option<Change>> {
        match request {
            ChangeRequest::Add(address) => {
                let id = identify(address).await?;
                let address = address.to_string();
                let known = self.status().members.get(id).is_some();
                Ok((!known).then_some(Change::Add { id, address }))
            }
            ChangeRequest::Remove(address) => {
                let old = member_at(&self.status(), address, None);
                Ok(old.map(|id| Change::Remove { id }))
            }
            ChangeRequest::Replace(old, new) => self.plan_replace(old, new).await,
        }
    }

    async fn plan_replace(&self, old: SocketAddr, new: SocketAddr) -> Result<Option<Change>> {
        let id = identify(new).await?;
        let status = self.status();
        let known = status.members.get(id).is_some();
        match member_at(&status, old, Some(id)) {
            Some(_) if known => Ok(None),
            Some(old) => Ok(Some(Change::Replace {
                old,
                id,
                address: new.to_string(),
            })),
            None if known => Ok(None),
            None => Err(Error::Invalid {
                field: "remove",
                value: old.to_string(),
                reason: "no control instance has this address".to_owned(),
            }),
        }
    }

    fn has_addresses(&self, addresses: &[String]) -> bool {
        let members = self.status().members;
        let current: Vec<_> = members.peers().iter().map(|p| &p.address).collect();
        current.len() == addresses.len() && addresses.iter().all(|a| current.contains(&a))
    }
}

/// Returns the member at an address, other than `except`. If a lost member and its
/// replacement share the address, the newer one is returned.
fn member_at(status: &Status, address: SocketAddr, except: Option<Member>) -> Option<Member> {
    let address = address.to_string();
    let peers = status.members.peers().iter().rev();
    let mut ids = peers.filter(|p| p.address == address).filter_map(Peer::id);
    ids.find(|id| Some(*id) != except)
}

/// Queries the id of the instance at an address.
async fn identify(address: SocketAddr) -> Result<Member> {
    let id = transport::identify(&address.to_string()).await;
    id.map_err(|status| Error::Invalid {
        field: "add",
        value: address.to_string(),
        reason: status.message().to_owned(),
    })
}

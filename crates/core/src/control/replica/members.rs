//! Changes of the control instances by their addresses.
//!
//! Operators know addresses, replicas know ids. The leader asks an address for
//! the id of whatever runs there now, so that the same request sent twice finds
//! its work done: it says which instances there are to be.

use std::net::SocketAddr;

use gentian::quorum::id::{Command, Member};
use gentian::quorum::members::{Change, Peer};
use gentian::quorum::replica;
use rand::rngs::StdRng;
use rand::SeedableRng;

use super::thread::Event;
use super::{transport, Error, Handle, Result, Status};

/// What an operator asks of the control instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Request {
    /// Adds the instance at an address.
    Add(SocketAddr),
    /// Removes the instance at an address.
    Remove(SocketAddr),
    /// Replaces a lost instance; both addresses are equal if only the disk was lost.
    Replace(SocketAddr, SocketAddr),
}

impl Handle {
    /// Makes the instances at `addresses` the first members; this one must be among them.
    pub(crate) async fn init(&self, addresses: &[SocketAddr]) -> Result<()> {
        let mut peers = Vec::new();
        for address in addresses {
            peers.push(Peer::voter(identify(*address).await?, address.to_string()));
        }
        let wanted: Vec<_> = peers.iter().map(|p| p.address.clone()).collect();
        match self.ask(|answer| Event::Init { peers, answer }).await {
            Err(Error::Refused(replica::Error::AlreadyInitialized(_))) if self.has(&wanted) => {
                Ok(())
            }
            answer => answer.map(drop),
        }
    }

    /// Carries out a change; it is in force once this returns.
    pub(crate) async fn change(&self, request: Request) -> Result<()> {
        if self.leader().is_err() {
            let error = replica::Error::NotLeader { leader: None };
            return Err(Error::Refused(error));
        }
        let Some(change) = self.plan(request).await? else {
            return Ok(());
        };
        let command = Command::random(&mut StdRng::from_os_rng());
        let event = |answer| Event::Change {
            command,
            change,
            answer,
        };
        self.ask(event).await.map(drop)
    }

    /// The change that is still to be made, if any.
    async fn plan(&self, request: Request) -> Result<Option<Change>> {
        match request {
            Request::Add(address) => {
                let id = identify(address).await?;
                let address = address.to_string();
                let known = self.status().members.get(id).is_some();
                Ok((!known).then_some(Change::Add { id, address }))
            }
            Request::Remove(address) => {
                let old = member(&self.status(), address, None);
                Ok(old.map(|id| Change::Remove { id }))
            }
            Request::Replace(old, new) => self.plan_replace(old, new).await,
        }
    }

    async fn plan_replace(&self, old: SocketAddr, new: SocketAddr) -> Result<Option<Change>> {
        let id = identify(new).await?;
        let status = self.status();
        let known = status.members.get(id).is_some();
        match member(&status, old, Some(id)) {
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

    fn has(&self, addresses: &[String]) -> bool {
        let members = self.status().members;
        let held: Vec<_> = members.peers().iter().map(|p| &p.address).collect();
        held.len() == addresses.len() && addresses.iter().all(|a| held.contains(&a))
    }
}

/// The member at an address, other than `except`; the newest where there are two.
fn member(status: &Status, address: SocketAddr, except: Option<Member>) -> Option<Member> {
    let address = address.to_string();
    let peers = status.members.peers().iter().rev();
    let mut ids = peers.filter(|p| p.address == address).filter_map(Peer::id);
    ids.find(|id| Some(*id) != except)
}

async fn identify(address: SocketAddr) -> Result<Member> {
    let id = transport::identify(&address.to_string()).await;
    id.map_err(|status| Error::Invalid {
        field: "add",
        value: address.to_string(),
        reason: status.message().to_owned(),
    })
}

//! Implements the control service's interface of the replicated log.

use gentian::quorum::id::Member;

use super::{Error, Handle};
use crate::control::state::{self, Backlog, Leader, ReplicatedLog};

impl ReplicatedLog for Handle {
    fn members(&self) -> Vec<String> {
        let members = self.status().members;
        members
            .peers()
            .iter()
            .map(|peer| peer.address.clone())
            .collect()
    }

    fn backlog(&self) -> Backlog {
        let status = self.status();
        Backlog {
            log_bytes: status.log_bytes,
            snapshot_bytes: status.snapshot_bytes,
            unapplied: status.commit.saturating_sub(status.applied),
        }
    }

    fn join(&self, member: Member, address: String) -> bool {
        self.join_requested(member, address)
    }

    async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, state::Error> {
        let reply = Handle::propose(self, payload).await;
        reply.map_err(|error| match error {
            Error::Unknown => state::Error::Unknown,
            // Nothing was proposed, so the caller may try another instance.
            Error::Refused(_) | Error::Busy | Error::Invalid { .. } => state::Error::NotLeader,
        })
    }

    fn is_unconfirmed(&self) -> bool {
        Handle::is_unconfirmed(self)
    }

    fn leader(&self) -> Leader {
        match Handle::leader(self) {
            Ok(term) => Leader::This { term },
            Err(address) => Leader::Other(address.and_then(|address| address.parse().ok())),
        }
    }
}

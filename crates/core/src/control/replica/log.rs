//! The replica as the log that feeds the control service.

use gentian::quorum::id::Member;

use super::{Error, Handle};
use crate::control::state::{self, Leader, Log};

impl Log for Handle {
    fn members(&self) -> Vec<String> {
        let members = self.status().members;
        members
            .peers()
            .iter()
            .map(|peer| peer.address.clone())
            .collect()
    }

    fn join(&self, member: Member, address: String) -> bool {
        self.asked(member, address)
    }

    async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>, state::Error> {
        let reply = Handle::propose(self, payload).await;
        reply.map_err(|error| match error {
            Error::Unknown => state::Error::Unknown,
            // Nothing was proposed, so another instance may well take it.
            Error::Refused(_) | Error::Busy | Error::Invalid { .. } => state::Error::NotLeader,
        })
    }

    fn leader(&self) -> Leader {
        match Handle::leader(self) {
            Ok(term) => Leader::Own { term },
            Err(address) => Leader::Other(address.and_then(|address| address.parse().ok())),
        }
    }
}

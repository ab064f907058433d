//! Loans of teams' quotas to entries.

use gentian::member::quota_share::{Borrower, ShareRequest};
use gentian::wire::control::{LendReply, LendRequest, Share};
use gentian::wire::id::{Incarnation, Node, Team};
use tonic::Status;

use super::{leader_address, malformed, millis, Service};
use crate::control::state::{AppliedState, Leader, ReplicatedLog, LOAN_DURATION};

impl<L: ReplicatedLog> Service<L> {
    pub(super) fn handle_lend(&self, request: &LendRequest) -> Result<LendReply, Status> {
        let entry: Node = request.entry.parse().map_err(malformed)?;
        let borrower = (entry, Incarnation(request.incarnation));
        let before = self.log.leader();
        let Leader::This { term } = before else {
            return Ok(not_lent(before));
        };
        let shares = request.shares.iter();
        let shares = shares.map(|share| self.lend(term, &borrower, share));
        let shares = shares.collect::<Result<_, Status>>()?;
        let after = self.log.leader();
        if after != before {
            return Ok(not_lent(after));
        }
        Ok(LendReply {
            leader_address: String::new(),
            shares,
            lease_ms: millis(LOAN_DURATION),
        })
    }

    fn lend(&self, term: u64, borrower: &Borrower, share: &Share) -> Result<Share, Status> {
        let team: Team = share.team.parse().map_err(malformed)?;
        let quota = quota(&self.shared.read(), &team);
        let now = self.shared.now();
        let mut leader_state = self.leader_state();
        let lender = &mut leader_state.for_term(term, now).lender;
        let request = ShareRequest {
            held: share.held,
            wanted: share.wanted,
        };
        Ok(Share {
            team: share.team.clone(),
            held: share.held,
            wanted: lender.lend(now, borrower, &team, request, quota),
        })
    }
}

/// Replies to a loan request on an instance that doesn't lead.
fn not_lent(leader: Leader) -> LendReply {
    LendReply {
        leader_address: leader_address(leader),
        ..LendReply::default()
    }
}

/// Returns a team's quota, which is 0 for an unknown team.
fn quota(applied: &AppliedState, team: &Team) -> u32 {
    let document = applied.document();
    let team = document.and_then(|document| document.teams.get(team));
    team.map_or(0, |team| team.concurrent)
}

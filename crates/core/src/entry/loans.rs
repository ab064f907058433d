//! The entry's side of quota lending: requests loans of the teams' quotas from control
//! ahead of need, so that no caller's request waits for control.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gentian::limit::quota::LoanRequest;
use gentian::wire::control::{LendReply, LendRequest, Share};
use gentian::wire::id::{Incarnation, Node, Team};
use tokio::sync::watch;

use super::dispatch::{Handle, TeamLoan};
use crate::renew::ControlPeers;

/// Time between two requests for loans.
const REQUEST_PERIOD: Duration = Duration::from_millis(1000);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// Requests and renews loans.
#[derive(Debug)]
pub(super) struct LoanLoop {
    entry: Node,
    incarnation: Incarnation,
    peers: ControlPeers,
    dispatcher: Handle,
}

impl LoanLoop {
    /// `control` holds the addresses of the control instances.
    pub(super) fn new(
        entry: Node,
        incarnation: Incarnation,
        control: watch::Receiver<Vec<SocketAddr>>,
        dispatcher: Handle,
    ) -> LoanLoop {
        LoanLoop {
            entry,
            incarnation,
            peers: ControlPeers::new(control),
            dispatcher,
        }
    }

    /// Requests loans until `stop` turns true.
    pub(super) async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let requests = self.dispatcher.loan_requests().await;
            if !requests.is_empty() {
                self.request_loans(requests).await;
            }
            tokio::select! {
                () = tokio::time::sleep(REQUEST_PERIOD) => {}
                _ = stop.wait_for(|stop| *stop) => return,
            }
        }
    }

    async fn request_loans(&mut self, requests: Vec<(Team, LoanRequest)>) {
        let Some(mut client) = self.peers.client(CALL_TIMEOUT) else {
            return;
        };
        let request = LendRequest {
            entry: self.entry.to_string(),
            incarnation: self.incarnation.0,
            shares: requests.iter().map(share).collect(),
        };
        let sent = Instant::now();
        match tokio::time::timeout(CALL_TIMEOUT, client.lend(request)).await {
            Ok(Ok(reply)) => self.handle_reply(sent, reply.get_ref()),
            Ok(Err(_)) | Err(_) => self.peers.rotate(),
        }
    }

    fn handle_reply(&mut self, sent: Instant, reply: &LendReply) {
        if reply.lease_ms == 0 {
            self.peers.follow_leader(&reply.leader_address);
            return;
        }
        // The loan's time is counted from the sending of the request, so that the loan ends
        // here before it ends at control.
        let until = sent + Duration::from_millis(reply.lease_ms.into());
        let loans = reply.shares.iter().filter_map(|share| {
            Some(TeamLoan {
                team: share.team.parse().ok()?,
                amount: share.wanted,
                until,
            })
        });
        self.dispatcher.set_loans(loans.collect());
    }
}

fn share((team, request): &(Team, LoanRequest)) -> Share {
    Share {
        team: team.to_string(),
        held: request.held,
        wanted: request.wanted,
    }
}

//! What control answers to entries and agents.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use gentian::wire::control::control_server::Control;
use gentian::wire::control::{
    LendReply, LendRequest, Member, RenewReply, RenewRequest, Role, Upstream,
};
use tonic::{Request, Response, Status};

const LEASE_MS: u32 = 4000;
const EXPIRY: Duration = Duration::from_millis(6000);

/// One control instance that keeps its state in memory.
#[derive(Debug, Default)]
pub(crate) struct Service {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    view: u64,
    members: BTreeMap<String, (Member, Instant)>,
}

impl State {
    fn renew(&mut self, request: RenewRequest, now: Instant) -> RenewReply {
        self.expire(now);
        self.hear(&request, now);
        let stale = request.known_view != self.view;
        RenewReply {
            granted: true,
            lease_ms: LEASE_MS,
            version: 1,
            view: self.view,
            whole: stale,
            members: match stale {
                true => self.members.values().map(|pair| pair.0.clone()).collect(),
                false => Vec::new(),
            },
            ..RenewReply::default()
        }
    }

    fn expire(&mut self, now: Instant) {
        let before = self.members.len();
        self.members.retain(|_, pair| now < pair.1 + EXPIRY);
        if self.members.len() < before {
            self.view += 1;
        }
    }

    fn hear(&mut self, request: &RenewRequest, now: Instant) {
        let Some(node) = request.node.clone() else {
            return;
        };
        if node.role() != Role::Agent {
            return;
        }
        let member = Member {
            upstreams: staying(&request.upstreams),
            node: Some(node.clone()),
        };
        let changed = self.members.get(&node.name).map(|pair| &pair.0) != Some(&member);
        self.members.insert(node.name, (member, now));
        if changed {
            self.view += 1;
        }
    }
}

fn staying(upstreams: &[Upstream]) -> Vec<Upstream> {
    let stays = |upstream: &&Upstream| !upstream.leaving;
    upstreams.iter().filter(stays).cloned().collect()
}

#[tonic::async_trait]
impl Control for Service {
    async fn renew(&self, request: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        let mut state = self.state.lock().expect("no thread panics with this lock");
        let reply = state.renew(request.into_inner(), Instant::now());
        Ok(Response::new(reply))
    }

    async fn lend(&self, _: Request<LendRequest>) -> Result<Response<LendReply>, Status> {
        Err(Status::unimplemented("quota shares are not lent yet"))
    }
}

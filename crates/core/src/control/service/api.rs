//! The calls of the gRPC service.

use gentian::quorum::id;
use gentian::wire::control::control_server::Control;
use gentian::wire::control::{
    HistoryReply, HistoryRequest, JoinReply, JoinRequest, LendReply, LendRequest, RenewReply,
    RenewRequest,
};
use gentian::wire::id::Version;
use tonic::{Request, Response, Status};

use super::{leader_address, Service};
use crate::control::state::{Leader, ReplicatedLog};

#[tonic::async_trait]
impl<L: ReplicatedLog> Control for Service<L> {
    async fn renew(&self, request: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        self.handle_renew(request.get_ref()).map(Response::new)
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<JoinReply>, Status> {
        let request = request.into_inner();
        let leader = self.log.leader();
        if !matches!(leader, Leader::This { .. }) {
            return Ok(Response::new(JoinReply {
                leader_address: leader_address(leader),
                member: false,
                leads: false,
            }));
        }
        let member = id::Member::new(request.member);
        let member = member
            .ok_or_else(|| Status::invalid_argument("member: must be a non-zero member id"))?;
        Ok(Response::new(JoinReply {
            leader_address: String::new(),
            member: self.log.join(member, request.address),
            leads: true,
        }))
    }

    async fn history(
        &self,
        request: Request<HistoryRequest>,
    ) -> Result<Response<HistoryReply>, Status> {
        let last = Version(request.get_ref().last);
        let content = self.shared.archive().content(last);
        let content = content.map_err(|error| Status::unavailable(error.to_string()))?;
        let content = content.ok_or_else(|| {
            Status::not_found(format!(
                "history up to version {last} is not at this instance"
            ))
        })?;
        Ok(Response::new(HistoryReply {
            content: content.into(),
        }))
    }

    async fn lend(&self, request: Request<LendRequest>) -> Result<Response<LendReply>, Status> {
        self.handle_lend(request.get_ref()).map(Response::new)
    }
}

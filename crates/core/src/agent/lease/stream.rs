//! gRPC streams on which entries order runs and receive reports about them.

use std::sync::Arc;
use std::time::Duration;

use gentian::claim::run::Owner;
use gentian::wire::agent::agent_server::Agent;
use gentian::wire::agent::{
    AskReply, AskRequest, CancelReply, CancelRequest, ClaimReply, ClaimRequest, Orders, Reports,
    StartReply, StartRequest,
};
use gentian::wire::id;
use gentian::wire::id::Incarnation;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use super::supervisor::Supervisor;

/// Most reports queued for one entry. An entry that stops reading loses its stream
/// once the queue is full.
const MAX_QUEUED_REPORTS: usize = 512;

/// Queue of the reports to one entry.
pub(super) type Sender = mpsc::Sender<Result<Reports, Status>>;

/// Handles the agent calls of entries.
#[derive(Debug)]
pub(super) struct Service {
    supervisor: Arc<Supervisor>,
}

impl Service {
    pub(super) fn new(supervisor: Arc<Supervisor>) -> Service {
        Service { supervisor }
    }
}

/// Carries out an entry's orders until its stream ends or a newer one replaces it.
async fn read_orders(
    supervisor: Arc<Supervisor>,
    owner: Owner,
    number: u64,
    mut orders: Streaming<Orders>,
) {
    loop {
        match orders.message().await {
            Ok(Some(message)) => {
                if !supervisor.apply_orders(&owner, number, message) {
                    return;
                }
            }
            Ok(None) => break,
            Err(status) => {
                log::info!("entry {}: stream failed: {}", owner.entry, status.message());
                break;
            }
        }
    }
    supervisor.close_stream(&owner, number);
}

pub(super) fn duration(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn parse_owner(orders: &Orders) -> Result<Owner, Status> {
    let entry: id::Node = orders
        .entry
        .parse()
        .map_err(|error: id::Error| Status::invalid_argument(format!("entry: {error}")))?;
    Ok(Owner {
        entry,
        incarnation: Incarnation(orders.incarnation),
    })
}

fn unsupported<T>() -> Result<T, Status> {
    Err(Status::unimplemented(
        "this agent runs tasks under leases and supports only the Lease call",
    ))
}

#[tonic::async_trait]
impl Agent for Service {
    type LeaseStream = ReceiverStream<Result<Reports, Status>>;

    async fn lease(
        &self,
        request: Request<Streaming<Orders>>,
    ) -> Result<Response<Self::LeaseStream>, Status> {
        let mut orders = request.into_inner();
        let first = orders.message().await?;
        let first = first
            .ok_or_else(|| Status::invalid_argument("the stream ended before its first orders"))?;
        let owner = parse_owner(&first)?;
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_REPORTS);
        let number = self.supervisor.open_stream(&owner, sender, &first);
        self.supervisor.apply_orders(&owner, number, first);
        tokio::spawn(read_orders(self.supervisor.clone(), owner, number, orders));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn start(&self, _: Request<StartRequest>) -> Result<Response<StartReply>, Status> {
        unsupported()
    }

    async fn claim(&self, _: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        unsupported()
    }

    async fn ask(&self, _: Request<AskRequest>) -> Result<Response<AskReply>, Status> {
        unsupported()
    }

    async fn cancel(&self, _: Request<CancelRequest>) -> Result<Response<CancelReply>, Status> {
        unsupported()
    }
}

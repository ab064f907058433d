//! The streams on which entries order runs and hear of them.

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

use super::beside::Beside;

/// Reports that may wait for one entry; one that reads no more loses its stream.
const REPORTS: usize = 512;

/// Where an entry's reports go.
pub(super) type Sender = mpsc::Sender<Result<Reports, Status>>;

/// Takes the orders of entries.
#[derive(Debug)]
pub(super) struct Service {
    beside: Arc<Beside>,
}

impl Service {
    pub(super) fn new(beside: Arc<Beside>) -> Service {
        Service { beside }
    }
}

/// Reads orders until the stream breaks or another takes its place.
async fn follow(beside: Arc<Beside>, owner: Owner, number: u64, mut orders: Streaming<Orders>) {
    loop {
        match orders.message().await {
            Ok(Some(message)) => {
                if !beside.obey(&owner, number, message) {
                    return;
                }
            }
            Ok(None) => break,
            Err(status) => {
                log::info!("entry {}: stream lost: {}", owner.entry, status.message());
                break;
            }
        }
    }
    beside.leave_stream(&owner, number);
}

pub(super) fn time(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn owner(orders: &Orders) -> Result<Owner, Status> {
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
        "this agent runs tasks under leases only",
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
        let first = first.ok_or_else(|| Status::invalid_argument("a stream without orders"))?;
        let owner = owner(&first)?;
        let (sender, receiver) = mpsc::channel(REPORTS);
        let number = self.beside.join_stream(&owner, sender, &first);
        self.beside.obey(&owner, number, first);
        tokio::spawn(follow(self.beside.clone(), owner, number, orders));
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

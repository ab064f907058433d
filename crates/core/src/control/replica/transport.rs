//! Transport of messages between control instances: one-way calls, batched per
//! receiver.
//!
//! A call's response only confirms that the batch arrived, so a slow disk doesn't
//! block the connection. Messages that a receiver doesn't accept in time are dropped;
//! the replicas retransmit as part of the protocol.

use std::collections::HashMap;
use std::time::Duration;

use gentian::quorum::id::Member;
use gentian::quorum::message::MessageBatch;
use gentian::quorum::Message;
use gentian::wire::quorum::quorum_client::QuorumClient;
use gentian::wire::quorum::quorum_server::Quorum;
use gentian::wire::quorum::Envelope;
use tokio::runtime;
use tokio::sync::mpsc;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Request, Response, Status};

use super::thread::{Event, EventSender};

/// Connect timeouts of the attempts to reach a member, in turn. The short ones notice soon
/// that an instance is back after an outage, since an attempt that began during the outage is
/// retried by TCP only after a second; the long one reaches distant members.
const CONNECT_TIMEOUTS: [Duration; 4] = [
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(100),
    Duration::from_millis(600),
];
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Maximum number of messages that wait for one receiver.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of messages in a batch.
const MAX_BATCH_MESSAGES: usize = 64;

/// Maximum size of a received batch, which also limits the size of a snapshot.
pub(crate) const MAX_BATCH_BYTES: usize = 64 << 20;

/// Sends messages to other members, through one queue and task per receiver.
#[derive(Debug)]
pub(super) struct Outbox {
    runtime: runtime::Handle,
    from: Member,
    queues: HashMap<(Member, String), mpsc::Sender<Message>>,
}

impl Outbox {
    pub(super) fn new(runtime: runtime::Handle, from: Member) -> Outbox {
        Outbox {
            runtime,
            from,
            queues: HashMap::new(),
        }
    }

    /// Queues a message, or drops it if the receiver's queue is full. `own_address` is
    /// sent along as the address to reply to.
    pub(super) fn send(
        &mut self,
        to: Member,
        address: String,
        own_address: &str,
        message: Message,
    ) {
        let key = (to, address);
        if !self.queues.contains_key(&key) {
            self.queues.retain(|(id, _), _| *id != to);
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            let route = Route {
                from: self.from,
                to,
                own_address: own_address.to_owned(),
            };
            let address = key.1.clone();
            self.runtime.spawn(deliver(address, route, receiver));
            self.queues.insert(key.clone(), sender);
        }
        // The message is dropped if the queue is full or its task has ended because of
        // an invalid address.
        let _ = self.queues[&key].try_send(message);
    }
}

/// Sender and receiver of a queue's messages.
#[derive(Clone, Debug)]
struct Route {
    from: Member,
    to: Member,
    own_address: String,
}

/// Sends the messages of a queue until its sender is dropped.
async fn deliver(address: String, route: Route, mut queue: mpsc::Receiver<Message>) {
    let mut timeouts = CONNECT_TIMEOUTS.into_iter().cycle();
    let mut connect = || client(&address, timeouts.next().unwrap_or(CONNECT_TIMEOUTS[0]));
    let Ok(mut client) = connect() else {
        return log::error!(
            "control member {} has the invalid address {address:?}, dropping its messages",
            route.to
        );
    };
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, MAX_BATCH_MESSAGES).await > 0 {
        let batch = MessageBatch {
            address: route.own_address.clone(),
            messages: std::mem::take(&mut messages),
        };
        let envelope = Envelope {
            from: route.from.get(),
            to: route.to.get(),
            payload: batch.encode().into(),
        };
        if let Err(status) = client.exchange(envelope).await {
            log::debug!(
                "control member {} at {address} is unreachable, dropping a batch: {status}",
                route.to
            );
            let answered = matches!(status.code(), Code::NotFound | Code::InvalidArgument);
            if !answered {
                client = connect().unwrap_or(client);
            }
        }
    }
}

fn client(
    address: &str,
    connect_timeout: Duration,
) -> Result<QuorumClient<Channel>, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(connect_timeout)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    Ok(QuorumClient::new(endpoint.connect_lazy()))
}

/// Queries the member id of the instance at `address`.
pub(super) async fn identify(address: &str) -> Result<Member, Status> {
    let [.., connect_timeout] = CONNECT_TIMEOUTS;
    let client = client(address, connect_timeout);
    let mut client = client.map_err(|error| Status::invalid_argument(error.to_string()))?;
    let reply = client.exchange(Envelope::default()).await?.into_inner();
    Member::new(reply.from).ok_or_else(|| Status::unavailable("the instance has no member id"))
}

/// Receives message batches from other members.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(super) id: Member,
    pub(super) events: EventSender,
}

#[tonic::async_trait]
impl Quorum for Service {
    /// Passes on the envelope's messages and responds with this member's id. An envelope
    /// without a receiver only queries the id.
    async fn exchange(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = request.into_inner();
        if envelope.to == self.id.get() {
            let batch = MessageBatch::decode(&envelope.payload);
            let batch = batch.map_err(|e| Status::invalid_argument(e.to_string()))?;
            let from = Member::new(envelope.from);
            let from =
                from.ok_or_else(|| Status::invalid_argument("from: must be a non-zero member id"))?;
            // If the queue is full, the batch is dropped, as a network may drop it.
            let _ = self.events.try_send(Event::Messages { from, batch });
        } else if envelope.to != 0 {
            let message = format!("member {:016x} does not run at this address", envelope.to);
            return Err(Status::not_found(message));
        }
        Ok(Response::new(Envelope {
            from: self.id.get(),
            to: envelope.from,
            payload: Vec::new().into(),
        }))
    }
}

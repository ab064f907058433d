//! Messages between control instances: one-way calls, batched per receiver.
//!
//! A call's answer only says that the letter arrived, so a slow disk holds up
//! no connection. Whatever a receiver can't take in time is dropped; the
//! replicas send again by themselves.

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
use tonic::{Request, Response, Status};

use super::thread::{Event, Inbox};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
const QUEUE_MESSAGES: usize = 1024;
const LETTER_MESSAGES: usize = 64;

/// Largest letter taken, which bounds the size of a snapshot.
pub(crate) const LETTER_BYTES: usize = 64 << 20;

/// Sends messages to other members by their addresses.
#[derive(Debug)]
pub(super) struct Post {
    runtime: runtime::Handle,
    from: Member,
    boxes: HashMap<(Member, String), mpsc::Sender<Message>>,
}

impl Post {
    pub(super) fn new(runtime: runtime::Handle, from: Member) -> Post {
        Post {
            runtime,
            from,
            boxes: HashMap::new(),
        }
    }

    /// Queues a message, or drops it if the receiver doesn't keep up.
    pub(super) fn send(&mut self, to: Member, address: String, reply: &str, message: Message) {
        let key = (to, address);
        if !self.boxes.contains_key(&key) {
            self.boxes.retain(|(id, _), _| *id != to);
            let (sender, receiver) = mpsc::channel(QUEUE_MESSAGES);
            let route = Route {
                from: self.from,
                to,
                reply: reply.to_owned(),
            };
            let address = key.1.clone();
            self.runtime.spawn(deliver(address, route, receiver));
            self.boxes.insert(key.clone(), sender);
        }
        // A full queue or an address that can't be called loses the message.
        let _ = self.boxes[&key].try_send(message);
    }
}

#[derive(Clone, Debug)]
struct Route {
    from: Member,
    to: Member,
    reply: String,
}

async fn deliver(address: String, route: Route, mut queue: mpsc::Receiver<Message>) {
    let Ok(mut client) = client(&address) else {
        return log::error!(
            "control member {} has no usable address {address:?}",
            route.to
        );
    };
    let mut messages = Vec::new();
    while queue.recv_many(&mut messages, LETTER_MESSAGES).await > 0 {
        let letter = MessageBatch {
            address: route.reply.clone(),
            messages: std::mem::take(&mut messages),
        };
        let envelope = Envelope {
            from: route.from.get(),
            to: route.to.get(),
            payload: letter.encode().into(),
        };
        if let Err(status) = client.exchange(envelope).await {
            log::debug!("control member {} was not reached: {status}", route.to);
        }
    }
}

fn client(address: &str) -> Result<QuorumClient<Channel>, tonic::transport::Error> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))?
        .connect_timeout(CONNECT_TIMEOUT)
        .timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    Ok(QuorumClient::new(endpoint.connect_lazy()))
}

/// Asks the instance at `address` for its member id.
pub(super) async fn identify(address: &str) -> Result<Member, Status> {
    let client = client(address);
    let mut client = client.map_err(|error| Status::invalid_argument(error.to_string()))?;
    let answer = client.exchange(Envelope::default()).await?.into_inner();
    Member::new(answer.from).ok_or_else(|| Status::unavailable("the instance has no member id"))
}

/// Takes letters from other members.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(super) id: Member,
    pub(super) inbox: Inbox,
}

#[tonic::async_trait]
impl Quorum for Service {
    /// Answers with this member's id; an envelope to nobody only asks for that.
    async fn exchange(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let envelope = request.into_inner();
        if envelope.to == self.id.get() {
            let letter = MessageBatch::decode(&envelope.payload);
            let letter = letter.map_err(|e| Status::invalid_argument(e.to_string()))?;
            let from = Member::new(envelope.from);
            let from = from.ok_or_else(|| Status::invalid_argument("from: no member id"))?;
            // A full inbox loses the letter, as a full network would.
            let _ = self.inbox.try_send(Event::Letter { from, letter });
        } else if envelope.to != 0 {
            let lost = format!("member {:016x} is no longer here", envelope.to);
            return Err(Status::not_found(lost));
        }
        Ok(Response::new(Envelope {
            from: self.id.get(),
            to: envelope.from,
            payload: Vec::new().into(),
        }))
    }
}

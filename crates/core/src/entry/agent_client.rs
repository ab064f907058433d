//! Calls to agents, and the outcome that follows from a failed call.

use std::collections::HashMap;
use std::error::Error as _;
use std::sync::Arc;
use std::time::Duration;

use crate::panics::RwLock;
use gentian::wire::agent::agent_client::AgentClient;
use gentian::wire::agent::{self, Reason, StartReply, StartRequest};
use gentian::wire::outcome::Outcome;
use tonic::transport::{Channel, Endpoint};
use tonic::{ConnectError, Status};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_PERIOD: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// gRPC clients of agents, with one connection per address.
#[derive(Clone, Debug, Default)]
pub(crate) struct AgentClients {
    clients: Arc<RwLock<HashMap<String, AgentClient<Channel>>>>,
}

impl AgentClients {
    /// Starts a task on the agent at `address` and waits for at most `time`. Errors and
    /// timeouts are turned into a reply, so that each call has exactly one outcome.
    pub(crate) async fn start(
        &self,
        address: &str,
        request: StartRequest,
        time: Duration,
    ) -> StartReply {
        let task = request.task.clone();
        let Some(mut client) = self.get(address) else {
            return not_sent();
        };
        match tokio::time::timeout(time, client.start(request)).await {
            Ok(Ok(reply)) => check_task(reply.into_inner(), task.as_ref()),
            Ok(Err(status)) if is_unsent(&status) => not_sent(),
            Ok(Err(_)) | Err(_) => unknown(),
        }
    }

    /// The client of an address; none if the address is malformed.
    pub(crate) fn get(&self, address: &str) -> Option<AgentClient<Channel>> {
        let clients = self.clients.read();
        if let Some(client) = clients.get(address) {
            return Some(client.clone());
        }
        drop(clients);
        let client = connect(address)?;
        let mut clients = self.clients.write();
        Some(clients.entry(address.to_owned()).or_insert(client).clone())
    }
}

fn connect(address: &str) -> Option<AgentClient<Channel>> {
    let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
    let endpoint = endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_PERIOD)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    Some(AgentClient::new(endpoint.connect_lazy()))
}

/// Replaces a reply that names another task by an unknown outcome, since such a reply
/// proves nothing about the task that was sent.
fn check_task(reply: StartReply, task: Option<&agent::Task>) -> StartReply {
    if reply.task.as_ref() == task {
        reply
    } else {
        unknown()
    }
}

/// Whether the request was not sent because there was no connection.
fn is_unsent(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn not_sent() -> StartReply {
    StartReply {
        outcome: agent::Outcome::from(Outcome::NotRun).into(),
        reason: Reason::NoUpstream.into(),
        ..StartReply::default()
    }
}

fn unknown() -> StartReply {
    StartReply {
        outcome: agent::Outcome::from(Outcome::Unknown).into(),
        ..StartReply::default()
    }
}

//! The stream to one agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::run::LEASE;
use gentian::wire::agent::agent_client::AgentClient;
use gentian::wire::agent::{Orders, Reports};
use gentian::wire::id::Node;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::Streaming;

use super::dispatcher::Dispatcher;

const CONNECT: Duration = Duration::from_millis(500);
/// Time between two renewals of the lease while something runs at the agent.
const RENEWAL: Duration = Duration::from_millis(150);
/// Time between two messages while nothing does.
const IDLE: Duration = Duration::from_millis(500);
/// Time without an answer after which a stream counts as lost.
const SILENT: Duration = Duration::from_millis(600);
const PAUSE: Duration = Duration::from_millis(100);
const ORDERS: usize = 64;

/// Keeps a stream to an agent for as long as the process runs.
pub(super) async fn run(dispatcher: Arc<Dispatcher>, node: Node, address: SocketAddr) {
    loop {
        if let Err(status) = stream(&dispatcher, &node, address).await {
            log::info!("agent {node}: stream lost: {}", status.message());
        }
        dispatcher.disconnected(&node);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Where a stream stands.
struct Clock {
    told: Option<(Duration, Instant)>,
    asked: Option<Instant>,
}

impl Clock {
    /// Until when the agent may keep this entry's runs, on the agent's clock.
    fn lease(&self) -> u64 {
        let Some((clock, at)) = self.told else {
            return 0;
        };
        let until = clock + at.elapsed() + LEASE;
        u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
    }
}

async fn stream(
    dispatcher: &Dispatcher,
    node: &Node,
    address: SocketAddr,
) -> Result<(), tonic::Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .tcp_nodelay(true)
        .connect_timeout(CONNECT);
    let connected = tokio::time::timeout(CONNECT, endpoint.connect()).await;
    let connected = connected.map_err(|_| tonic::Status::unavailable("no connection in time"))?;
    let channel = connected.map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let (sender, receiver) = mpsc::channel(ORDERS);
    let first = dispatcher.first_orders(node);
    let _ = sender.try_send(first);
    let call = AgentClient::new(channel).lease(ReceiverStream::new(receiver)).await?;
    exchange(dispatcher, node, &sender, call.into_inner()).await
}

async fn exchange(
    dispatcher: &Dispatcher,
    node: &Node,
    sender: &mpsc::Sender<Orders>,
    mut reports: Streaming<Reports>,
) -> Result<(), tonic::Status> {
    let wake = dispatcher.wake(node);
    let mut clock = Clock {
        told: None,
        asked: Some(Instant::now()),
    };
    let mut ordered = Instant::now();
    loop {
        let period = if dispatcher.has_runs(node) { RENEWAL } else { IDLE };
        let silent = clock.asked.map(|at| at + SILENT);
        tokio::select! {
            report = reports.message() => {
                let report = report?.ok_or_else(|| tonic::Status::unavailable("closed"))?;
                let first = clock.told.is_none();
                clock.told = Some((Duration::from_millis(report.clock_ms), Instant::now()));
                clock.asked = None;
                dispatcher.reported(node, first, report);
                if !first {
                    continue;
                }
            }
            () = wake.notified(), if clock.told.is_some() => {}
            () = until(Some(ordered + period)), if clock.told.is_some() => {}
            () = until(silent) => return Err(tonic::Status::unavailable("no answer in time")),
        }
        let orders = dispatcher.orders(node, clock.lease());
        if sender.try_send(orders).is_err() {
            return Err(tonic::Status::unavailable("orders are not taken"));
        }
        ordered = Instant::now();
        clock.asked = clock.asked.or(Some(ordered));
    }
}

async fn until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

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
/// Pause before the next stream, doubled each time that none can be opened.
const PAUSE: Duration = Duration::from_millis(50);
const LONGEST_PAUSE: Duration = Duration::from_millis(400);
const ORDERS: usize = 64;

/// Keeps a stream to an agent for as long as the process runs.
pub(super) async fn run(dispatcher: Arc<Dispatcher>, node: Node, address: SocketAddr) {
    let mut pause = PAUSE;
    loop {
        let lost = stream(&dispatcher, &node, address).await;
        if dispatcher.disconnected(&node) {
            log::info!("agent {node}: stream lost: {}", lost.message());
            pause = PAUSE;
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
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

/// Serves one stream to its end, which it returns.
async fn stream(dispatcher: &Dispatcher, node: &Node, address: SocketAddr) -> tonic::Status {
    match open(dispatcher, node, address).await {
        Ok((sender, reports)) => exchange(dispatcher, node, &sender, reports).await,
        Err(status) => status,
    }
}

async fn open(
    dispatcher: &Dispatcher,
    node: &Node,
    address: SocketAddr,
) -> Result<(mpsc::Sender<Orders>, Streaming<Reports>), tonic::Status> {
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
    let mut client = AgentClient::new(channel);
    let call = client.lease(ReceiverStream::new(receiver));
    let call = tokio::time::timeout(SILENT, call).await;
    let call = call.map_err(|_| tonic::Status::unavailable("no answer in time"))??;
    Ok((sender, call.into_inner()))
}

async fn exchange(
    dispatcher: &Dispatcher,
    node: &Node,
    sender: &mpsc::Sender<Orders>,
    mut reports: Streaming<Reports>,
) -> tonic::Status {
    let wake = dispatcher.wake(node);
    let mut clock = Clock {
        told: None,
        asked: Some(Instant::now()),
    };
    let mut ordered = Instant::now();
    loop {
        let period = if dispatcher.has_runs(node) {
            RENEWAL
        } else {
            IDLE
        };
        let silent = clock.asked.map(|at| at + SILENT);
        tokio::select! {
            report = reports.message() => {
                let report = match report {
                    Ok(Some(report)) => report,
                    Ok(None) => return tonic::Status::unavailable("closed"),
                    Err(status) => return status,
                };
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
            () = until(silent) => return tonic::Status::unavailable("no answer in time"),
        }
        let orders = dispatcher.orders(node, clock.lease());
        if sender.try_send(orders).is_err() {
            return tonic::Status::unavailable("orders are not taken");
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

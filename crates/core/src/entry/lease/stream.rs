//! The stream to one agent: sends orders, which renew the lease, and receives reports.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::run::MAX_LEASE;
use gentian::wire::agent::agent_client::AgentClient;
use gentian::wire::agent::{Orders, Reports};
use gentian::wire::id::Node;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Endpoint;
use tonic::Streaming;

use super::dispatcher::Dispatcher;
use crate::lag;
use crate::panics::AbortOnPanic;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two lease renewals while this entry has runs at the agent.
const RENEWAL_PERIOD: Duration = Duration::from_millis(150);
/// Time without a message in either direction, while it has none, after which it sends
/// one to learn whether the agent is still there.
const IDLE_PERIOD: Duration = Duration::from_millis(500);
/// Time without a report, while this process ran, after which a stream counts as lost.
const REPORT_TIMEOUT: Duration = Duration::from_millis(600);
/// Delay before the stream is opened again, doubled each time that this fails.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
const MAX_RECONNECT_DELAY: Duration = Duration::from_millis(400);
/// Messages that may wait to be sent before the stream counts as broken.
const SEND_BUFFER: usize = 64;

/// Keeps a stream to an agent open until the task that runs this is aborted.
pub(super) async fn run(dispatcher: Arc<Dispatcher>, node: Node, address: SocketAddr) {
    let _essential = AbortOnPanic("the stream to an agent");
    let mut delay = RECONNECT_DELAY;
    loop {
        let cause = stream(&dispatcher, &node, address).await;
        if dispatcher.mark_disconnected(&node) {
            log::info!(
                "agent {node}: stream at {address} lost: {}; reconnecting",
                cause.message()
            );
            delay = RECONNECT_DELAY;
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(MAX_RECONNECT_DELAY);
    }
}

/// When messages of one stream were sent and received.
struct Timing {
    /// The agent's clock in its last report, and when that arrived here.
    last_report: Option<(Duration, Instant)>,
    /// This process's running time when the first message after the last report was sent;
    /// none if there is none.
    unanswered_since: Option<Duration>,
    last_sent: Instant,
}

impl Timing {
    /// When the next message is due even if there are no orders. The agent's reports show
    /// that it is there, but only messages to it renew the lease of this entry's runs.
    fn next_message_at(&self, has_runs: bool) -> Instant {
        if has_runs {
            return self.last_sent + RENEWAL_PERIOD;
        }
        let last_received = self.last_report.map(|(_, at)| at);
        last_received.map_or(self.last_sent, |at| at.max(self.last_sent)) + IDLE_PERIOD
    }

    /// When this entry's lease at the agent ends, in milliseconds on the agent's
    /// clock; 0 before the first report. The time that the report took to arrive is
    /// not counted, so a lease ends too early rather than too late.
    fn lease_until_ms(&self) -> u64 {
        let Some((agent_clock, received_at)) = self.last_report else {
            return 0;
        };
        let until = agent_clock + received_at.elapsed() + MAX_LEASE;
        u64::try_from(until.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Opens one stream and serves it until it ends; returns why it ended.
async fn stream(dispatcher: &Dispatcher, node: &Node, address: SocketAddr) -> tonic::Status {
    match open(dispatcher, node, address).await {
        Ok((sender, reports)) => exchange(dispatcher, node, &sender, reports).await,
        Err(status) => status,
    }
}

/// Connects to the agent and sends the first orders.
async fn open(
    dispatcher: &Dispatcher,
    node: &Node,
    address: SocketAddr,
) -> Result<(mpsc::Sender<Orders>, Streaming<Reports>), tonic::Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .expect("a socket address makes a valid URI")
        .tcp_nodelay(true);
    let connected = lag::timeout(CONNECT_TIMEOUT, endpoint.connect()).await;
    let connected = connected.ok_or_else(|| {
        tonic::Status::unavailable(format!("no connection within {CONNECT_TIMEOUT:?}"))
    })?;
    let channel = connected.map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let (sender, receiver) = mpsc::channel(SEND_BUFFER);
    let first = dispatcher.first_orders(node);
    // The receiver is in scope and the buffer is empty, so this can't fail.
    let _ = sender.try_send(first);
    let mut client = AgentClient::new(channel);
    let call = client.lease(ReceiverStream::new(receiver));
    let call = lag::timeout(REPORT_TIMEOUT, call).await;
    let call = call.ok_or_else(|| tonic::Status::unavailable(no_report()))??;
    Ok((sender, call.into_inner()))
}

/// Sends orders and handles reports until the stream ends; returns why it ended.
async fn exchange(
    dispatcher: &Dispatcher,
    node: &Node,
    sender: &mpsc::Sender<Orders>,
    mut reports: Streaming<Reports>,
) -> tonic::Status {
    let orders_ready = dispatcher.orders_ready(node);
    let mut timing = Timing {
        last_report: None,
        unanswered_since: Some(lag::running_time()),
        last_sent: Instant::now(),
    };
    loop {
        let next_message_at = timing.next_message_at(dispatcher.has_runs(node));
        let known = timing.last_report.is_some();
        let report = tokio::select! {
            report = reports.message() => Some(report),
            () = orders_ready.notified(), if known => None,
            () = tokio::time::sleep_until(next_message_at.into()), if known => None,
            () = silence(timing.unanswered_since) => {
                // What has arrived counts, although it wasn't looked at in time.
                let arrived = tokio::time::timeout(Duration::ZERO, reports.message()).await;
                match arrived {
                    Ok(report) => Some(report),
                    Err(_) => return tonic::Status::unavailable(no_report()),
                }
            }
        };
        if let Some(report) = report {
            let report = match report {
                Ok(Some(report)) => report,
                Ok(None) => return tonic::Status::unavailable("the agent closed the stream"),
                Err(status) => return status,
            };
            timing.last_report = Some((Duration::from_millis(report.clock_ms), Instant::now()));
            timing.unanswered_since = None;
            dispatcher.handle_reports(node, !known, report);
            if known {
                continue;
            }
        }
        let orders = dispatcher.orders(node, timing.lease_until_ms());
        if sender.try_send(orders).is_err() {
            return tonic::Status::unavailable("the agent does not read orders");
        }
        timing.last_sent = Instant::now();
        timing
            .unanswered_since
            .get_or_insert_with(lag::running_time);
    }
}

/// Waits until nothing was heard for too long since a message was sent at this running
/// time; forever if none was.
async fn silence(unanswered_since: Option<Duration>) {
    match unanswered_since {
        Some(since) => lag::run_for(since, REPORT_TIMEOUT).await,
        None => std::future::pending().await,
    }
}

fn no_report() -> String {
    let lag = lag::current();
    format!("no report within {REPORT_TIMEOUT:?} in which this process ran; its lag is {lag:?}")
}

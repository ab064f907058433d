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
/// Time without a report after which a stream counts as lost.
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
    /// When the first message after the last report was sent; none if there is none.
    unanswered_since: Option<Instant>,
    /// For how long this process had run by then.
    ran_before: Duration,
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
        .tcp_nodelay(true)
        .connect_timeout(CONNECT_TIMEOUT);
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, endpoint.connect()).await;
    let connected = connected.map_err(|_| {
        tonic::Status::unavailable(format!("no connection within {CONNECT_TIMEOUT:?}"))
    })?;
    let channel = connected.map_err(|error| tonic::Status::unavailable(error.to_string()))?;
    let (sender, receiver) = mpsc::channel(SEND_BUFFER);
    let first = dispatcher.first_orders(node);
    // The receiver is in scope and the buffer is empty, so this can't fail.
    let _ = sender.try_send(first);
    let mut client = AgentClient::new(channel);
    let call = client.lease(ReceiverStream::new(receiver));
    let call = tokio::time::timeout(REPORT_TIMEOUT, call).await;
    let call = call.map_err(|_| {
        tonic::Status::unavailable(format!("no report within {REPORT_TIMEOUT:?}"))
    })??;
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
        unanswered_since: Some(Instant::now()),
        ran_before: lag::running_time(),
        last_sent: Instant::now(),
    };
    loop {
        let next_message_at = timing.next_message_at(dispatcher.has_runs(node));
        let timeout = timing.unanswered_since.map(|at| at + REPORT_TIMEOUT);
        tokio::select! {
            report = reports.message() => {
                let report = match report {
                    Ok(Some(report)) => report,
                    Ok(None) => return tonic::Status::unavailable("the agent closed the stream"),
                    Err(status) => return status,
                };
                let first = timing.last_report.is_none();
                timing.last_report = Some((Duration::from_millis(report.clock_ms), Instant::now()));
                timing.unanswered_since = None;
                dispatcher.handle_reports(node, first, report);
                if !first {
                    continue;
                }
            }
            () = orders_ready.notified(), if timing.last_report.is_some() => {}
            () = sleep_until_if_some(Some(next_message_at)), if timing.last_report.is_some() => {}
            () = sleep_until_if_some(timeout) => {
                let ran = lag::running_time().saturating_sub(timing.ran_before);
                let message = format!(
                    "no report within {REPORT_TIMEOUT:?}, in which this process ran for {ran:?}; its lag is {:?}",
                    lag::current()
                );
                return tonic::Status::unavailable(message);
            }
        }
        let orders = dispatcher.orders(node, timing.lease_until_ms());
        if sender.try_send(orders).is_err() {
            return tonic::Status::unavailable("the agent does not read orders");
        }
        timing.last_sent = Instant::now();
        if timing.unanswered_since.is_none() {
            timing.unanswered_since = Some(timing.last_sent);
            timing.ran_before = lag::running_time();
        }
    }
}

/// Sleeps until the given time, or forever without one.
async fn sleep_until_if_some(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

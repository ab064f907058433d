//! A stream to an agent, as entries open them.

use gentian::wire::agent::agent_client::AgentClient;
use gentian::wire::agent::{Batch, End, Need, Orders, Reports, Run};
use tokio::runtime::Runtime;
use tokio::sync::mpsc::Sender;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;

/// Length of the lease in an order, in milliseconds.
const LEASE_MS: u64 = 500;

/// An open stream to an agent.
pub(crate) struct AgentStream {
    runtime: Runtime,
    orders: Sender<Orders>,
    reports: Streaming<Reports>,
    /// The agent's clock in its first report, in milliseconds.
    clock_ms: u64,
}

impl AgentStream {
    /// Opens a stream of an entry that no other process plays, and waits for a report.
    pub(crate) fn open(agent_peer: &str) -> AgentStream {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let (orders, reports, clock_ms) = runtime.block_on(async {
            let agent = format!("http://{agent_peer}");
            let mut client = AgentClient::connect(agent).await.expect("a connection");
            let (orders, receiver) = tokio::sync::mpsc::channel(8);
            let first = Orders {
                entry: "entry-unaware".to_owned(),
                incarnation: 1,
                ..Orders::default()
            };
            orders.send(first).await.expect("the stream is open");
            let reports = client.lease(ReceiverStream::new(receiver)).await;
            let mut reports = reports.expect("a stream").into_inner();
            let report = reports.message().await.expect("an open stream");
            (orders, reports, report.expect("a report").clock_ms)
        });
        AgentStream {
            runtime,
            orders,
            reports,
            clock_ms,
        }
    }

    /// Sends orders with a lease; returns how the next run ends.
    pub(crate) fn order(&mut self, starts: Vec<Batch>, stops: Vec<Run>) -> End {
        let order = Orders {
            lease_until_ms: self.clock_ms + LEASE_MS,
            starts,
            stops,
            ..Orders::default()
        };
        let (orders, reports) = (&self.orders, &mut self.reports);
        self.runtime.block_on(async {
            orders.send(order).await.expect("the stream is open");
            loop {
                let report = reports.message().await.expect("an open stream");
                if let Some(end) = report.expect("a report").ends.pop() {
                    return end;
                }
            }
        })
    }
}

/// The first run of a task that takes `millis` and needs no capacity, and its start.
pub(crate) fn start(task: &str, millis: u64) -> (Run, Batch) {
    let run = Run {
        task: task.to_owned(),
        run: 1,
    };
    let batch = Batch {
        service: "desk".to_owned(),
        spec: millis.to_string().into(),
        need: Some(Need::default()),
        runs: vec![run.clone()],
        ..Batch::default()
    };
    (run, batch)
}

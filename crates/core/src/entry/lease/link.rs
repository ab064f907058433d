//! The link to one agent: the runs ordered there and the orders to be sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::ordered;
use gentian::claim::run::{Isolation, Run};
use gentian::wire::agent::{self, Batch, Orders};
use gentian::wire::id::{Incarnation, Node};
use gentian::wire::need::Need;
use tokio::sync::Notify;

use super::job::Submission;

/// A run that was ordered from an agent and whose end is not known yet.
#[derive(Clone, Debug)]
pub(super) struct PlacedRun {
    /// Number of the job.
    pub(super) job: u64,
    /// The caller's id of the job.
    pub(super) id: Arc<str>,
    /// Index of the task in its job.
    pub(super) index: usize,
    pub(super) need: Need,
    /// Whether the task has preferred upstreams, near its data, and runs at another.
    pub(super) far_from_data: bool,
    pub(super) ordered_at: Instant,
    /// Last reported percentage, and when the percentage last changed.
    pub(super) progress: (u32, Instant),
    /// Which runs may be beside it.
    pub(super) isolation: Isolation,
}

/// The link to one agent. It outlives the streams, which may break and reconnect.
#[derive(Debug)]
pub(super) struct Link {
    /// Name of the agent.
    pub(super) node: Node,
    /// Whether the agent is in this entry's data centre.
    pub(super) same_data_center: bool,
    /// When the last report of the agent arrived.
    pub(super) last_report_at: Instant,
    /// Notified when there are orders to send.
    pub(super) orders_ready: Arc<Notify>,
    /// The runs ordered from the agent.
    pub(super) runs: ordered::Runs<PlacedRun>,
    /// Starts in the next message.
    pending_starts: Vec<Batch>,
}

impl Link {
    pub(super) fn new(node: Node, same_data_center: bool, now: Duration) -> Link {
        Link {
            node,
            same_data_center,
            last_report_at: Instant::now(),
            orders_ready: Arc::default(),
            runs: ordered::Runs::new(now),
            pending_starts: Vec::new(),
        }
    }

    /// Adds a start of a job's task to the next message.
    pub(super) fn start(
        &mut self,
        run: &Run,
        placed: PlacedRun,
        job: &Submission,
        required_label: Option<&str>,
        estimate: Duration,
    ) {
        let message = agent::Run::from(run);
        let batch = Batch {
            service: job.service.to_string(),
            job: job.id.to_string(),
            queue: job.queue.name.clone(),
            isolation: agent::Isolation::from(placed.isolation).into(),
            spec: job.spec.clone(),
            need: Some(placed.need.into()),
            runs: Vec::new(),
            required_label: required_label.unwrap_or_default().to_owned(),
            estimate_ms: u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX),
        };
        match self.pending_starts.last_mut() {
            Some(last) if is_alike(last, &batch) => last.runs.push(message),
            _ => self.pending_starts.push(Batch {
                runs: vec![message],
                ..batch
            }),
        }
        self.runs.start(run.clone(), placed);
        self.orders_ready.notify_one();
    }

    /// Adds a stop to the next message. Returns the run if it is over with that, since its
    /// start was still to be sent.
    pub(super) fn stop(&mut self, run: Run) -> Option<PlacedRun> {
        let message = agent::Run::from(&run);
        let Some(unsent) = self.runs.stop(run) else {
            self.orders_ready.notify_one();
            return None;
        };
        for batch in &mut self.pending_starts {
            batch.runs.retain(|start| *start != message);
        }
        self.pending_starts.retain(|batch| !batch.runs.is_empty());
        Some(unsent)
    }

    /// The next message: all pending orders and the lease.
    pub(super) fn orders(&mut self, lease_until_ms: u64, now: Duration) -> Orders {
        let orders = self.runs.take_orders(now);
        Orders {
            lease_until_ms,
            starts: std::mem::take(&mut self.pending_starts),
            stops: orders.stops.iter().map(agent::Run::from).collect(),
            ..Orders::default()
        }
    }

    /// The first message of a stream, which lists all runs and orders nothing.
    pub(super) fn first_orders(&mut self, entry: &Node, incarnation: Incarnation) -> Orders {
        self.pending_starts.clear();
        Orders {
            entry: entry.to_string(),
            incarnation: incarnation.0,
            known: self.runs.open().iter().map(agent::Run::from).collect(),
            ..Orders::default()
        }
    }
}

/// Whether starts of two batches may share one: those of one job, with equal needs.
fn is_alike(a: &Batch, b: &Batch) -> bool {
    let kind = |batch: &Batch| (batch.need, batch.isolation, batch.estimate_ms);
    a.job == b.job && kind(a) == kind(b) && a.required_label == b.required_label
}

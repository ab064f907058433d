//! The link to one agent: the runs ordered there and the orders to be sent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::run::{max_orphan_lifetime, Isolation, Run};
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
    /// Whether a stop was ordered.
    pub(super) stop_ordered: bool,
    /// The agent's incarnation at the time of the order; 0 if the agent had not
    /// reported one.
    pub(super) incarnation: Incarnation,
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
    pub(super) connected: bool,
    pub(super) incarnation: Incarnation,
    /// Notified when there are orders to send.
    pub(super) orders_ready: Arc<Notify>,
    /// Runs ordered from the present incarnation.
    pub(super) runs: HashMap<Run, PlacedRun>,
    /// Runs ordered from earlier incarnations, each with the time by which it has
    /// certainly ended.
    orphans: BTreeMap<Run, (Instant, PlacedRun)>,
    pending_starts: Vec<Batch>,
    pending_stops: Vec<Run>,
    /// When orders, and the lease with them, were last sent.
    last_orders_at: Instant,
}

impl Link {
    pub(super) fn new(node: Node, same_data_center: bool) -> Link {
        Link {
            node,
            same_data_center,
            last_report_at: Instant::now(),
            connected: false,
            incarnation: Incarnation(0),
            orders_ready: Arc::default(),
            runs: HashMap::new(),
            orphans: BTreeMap::new(),
            pending_starts: Vec::new(),
            pending_stops: Vec::new(),
            last_orders_at: Instant::now(),
        }
    }

    /// Adds a start of a job's task to the next message.
    pub(super) fn start(
        &mut self,
        run: &Run,
        placed: PlacedRun,
        job: &Submission,
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
            estimate_ms: u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX),
        };
        match self.pending_starts.last_mut() {
            Some(last) if is_alike(last, &batch) => last.runs.push(message),
            _ => self.pending_starts.push(Batch {
                runs: vec![message],
                ..batch
            }),
        }
        self.runs.insert(run.clone(), placed);
        self.orders_ready.notify_one();
    }

    /// Adds a stop to the next message.
    pub(super) fn stop(&mut self, run: Run) {
        if let Some(placed) = self.runs.get_mut(&run) {
            placed.stop_ordered = true;
        }
        self.pending_stops.push(run);
        self.orders_ready.notify_one();
    }

    /// The next message: all pending orders and the lease.
    pub(super) fn orders(&mut self, lease_until_ms: u64) -> Orders {
        self.last_orders_at = Instant::now();
        Orders {
            lease_until_ms,
            starts: std::mem::take(&mut self.pending_starts),
            stops: std::mem::take(&mut self.pending_stops)
                .iter()
                .map(agent::Run::from)
                .collect(),
            ..Orders::default()
        }
    }

    /// The first message of a stream, which lists all runs. The pending starts are not
    /// sent: their runs are listed too, so the agent reports an end for each of them
    /// and their tasks are started again.
    pub(super) fn first_orders(&mut self, entry: &Node, incarnation: Incarnation) -> Orders {
        self.pending_starts.clear();
        let stopped = self.runs.iter().filter(|(_, placed)| placed.stop_ordered);
        self.pending_stops = stopped.map(|(run, _)| run.clone()).collect();
        Orders {
            entry: entry.to_string(),
            incarnation: incarnation.0,
            known: self.runs.keys().map(agent::Run::from).collect(),
            ..Orders::default()
        }
    }

    /// Sets the incarnation of the agent that has answered on the stream. The runs of an
    /// earlier incarnation become orphans, since they may go on until their leases lapse.
    pub(super) fn set_incarnation(&mut self, incarnation: Incarnation) {
        if self.incarnation == incarnation {
            return;
        }
        let expires_at = self.expires_at();
        let others = self
            .runs
            .extract_if(|_, placed| placed.incarnation != incarnation);
        let orphans = others.map(|(run, placed)| (run, (expires_at, placed)));
        self.orphans.extend(orphans);
        self.incarnation = incarnation;
    }

    /// When all runs ordered so far have certainly ended, if no further orders renew
    /// the lease.
    fn expires_at(&self) -> Instant {
        self.last_orders_at + max_orphan_lifetime()
    }

    /// When the next run without a reported end counts as lost: an orphan, or any run
    /// while the agent is disconnected.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        let disconnected = !self.connected && !self.runs.is_empty();
        let disconnected = disconnected.then(|| self.expires_at());
        let orphan = self.orphans.values().map(|(at, _)| *at).min();
        disconnected.into_iter().chain(orphan).min()
    }

    /// Removes and returns the runs that count as lost by now.
    pub(super) fn take_expired(&mut self, now: Instant) -> Vec<(Run, PlacedRun)> {
        let mut expired = Vec::new();
        let due = self.orphans.extract_if(.., |_, (at, _)| *at <= now);
        expired.extend(due.map(|(run, (_, placed))| (run, placed)));
        if !self.connected && self.expires_at() <= now {
            expired.extend(self.runs.drain());
        }
        expired
    }
}

/// Whether starts of two batches may share one: those of one job, with equal needs.
fn is_alike(a: &Batch, b: &Batch) -> bool {
    let kind = |batch: &Batch| (batch.need, batch.isolation, batch.estimate_ms);
    a.job == b.job && kind(a) == kind(b)
}

//! What there is between this entry and one agent.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::{surely_gone, Run};
use gentian::wire::agent::{self, Batch, Orders};
use gentian::wire::id::{Incarnation, Node, Service};
use gentian::wire::need::Need;
use tokio::sync::Notify;

/// A run that is at the agent, or on its way there.
#[derive(Clone, Debug)]
pub(super) struct Placed {
    pub(super) job: u64,
    /// The caller's id of the job.
    pub(super) id: Arc<str>,
    pub(super) index: usize,
    pub(super) need: Need,
    /// It is elsewhere than its data.
    pub(super) away: bool,
    pub(super) at: Instant,
    /// How far it was told to be, and since when.
    pub(super) progress: (u32, Instant),
    /// It was told to stop.
    pub(super) stopped: bool,
    /// The agent that it was ordered of, once that has told.
    pub(super) incarnation: Incarnation,
}

/// What there is between this entry and one agent.
#[derive(Debug)]
pub(super) struct Link {
    /// The agent.
    pub(super) node: Node,
    pub(super) near: bool,
    /// When the agent last told anything.
    pub(super) told_at: Instant,
    pub(super) connected: bool,
    pub(super) incarnation: Incarnation,
    pub(super) wake: Arc<Notify>,
    pub(super) live: HashMap<Run, Placed>,
    orphans: BTreeMap<Run, (Instant, Placed)>,
    starts: Vec<Batch>,
    stops: Vec<Run>,
    ordered_at: Instant,
}

impl Link {
    pub(super) fn new(node: Node, near: bool) -> Link {
        Link {
            node,
            near,
            told_at: Instant::now(),
            connected: false,
            incarnation: Incarnation(0),
            wake: Arc::default(),
            live: HashMap::new(),
            orphans: BTreeMap::new(),
            starts: Vec::new(),
            stops: Vec::new(),
            ordered_at: Instant::now(),
        }
    }

    /// Orders a start with the next message.
    pub(super) fn start(
        &mut self,
        run: &Run,
        placed: Placed,
        service: &Service,
        spec: &Bytes,
        estimate: Duration,
    ) {
        let message = agent::Run::from(run);
        // Starts of one job come one after the other.
        let same = self
            .starts
            .last_mut()
            .filter(|batch| batch.spec.as_ptr() == spec.as_ptr() && batch.spec.len() == spec.len());
        match same {
            Some(batch) => batch.runs.push(message),
            None => self.starts.push(Batch {
                service: service.to_string(),
                spec: spec.clone(),
                need: Some(placed.need.into()),
                runs: vec![message],
                estimate_ms: u32::try_from(estimate.as_millis()).unwrap_or(u32::MAX),
            }),
        }
        self.live.insert(run.clone(), placed);
        self.wake.notify_one();
    }

    /// Orders a stop with the next message.
    pub(super) fn stop(&mut self, run: Run) {
        if let Some(placed) = self.live.get_mut(&run) {
            placed.stopped = true;
        }
        self.stops.push(run);
        self.wake.notify_one();
    }

    /// The next message, which carries the lease.
    pub(super) fn orders(&mut self, lease_until_ms: u64) -> Orders {
        self.ordered_at = Instant::now();
        Orders {
            lease_until_ms,
            starts: std::mem::take(&mut self.starts),
            stops: std::mem::take(&mut self.stops)
                .iter()
                .map(agent::Run::from)
                .collect(),
            ..Orders::default()
        }
    }

    /// The first message of a stream. What was to be ordered before is part of
    /// the runs that the agent will say it doesn't know.
    pub(super) fn first(&mut self, entry: &Node, incarnation: Incarnation) -> Orders {
        self.starts.clear();
        let stopped = self.live.iter().filter(|(_, placed)| placed.stopped);
        self.stops = stopped.map(|(run, _)| run.clone()).collect();
        Orders {
            entry: entry.to_string(),
            incarnation: incarnation.0,
            known: self.live.keys().map(agent::Run::from).collect(),
            ..Orders::default()
        }
    }

    /// Takes in which incarnation of the agent answers. What an earlier one had
    /// may run on for a while.
    pub(super) fn answered_by(&mut self, incarnation: Incarnation) {
        if self.incarnation == incarnation {
            return;
        }
        let gone = self.gone_at();
        let others = self
            .live
            .extract_if(|_, placed| placed.incarnation != incarnation);
        let orphans = others.map(|(run, placed)| (run, (gone, placed)));
        self.orphans.extend(orphans);
        self.incarnation = incarnation;
    }

    /// When what was ordered last must be gone.
    fn gone_at(&self) -> Instant {
        self.ordered_at + surely_gone()
    }

    /// When the next run must be given up, while the agent doesn't answer.
    pub(super) fn next_orphan(&self) -> Option<Instant> {
        let silent = !self.connected && !self.live.is_empty();
        let silent = silent.then(|| self.gone_at());
        let orphan = self.orphans.values().map(|(gone, _)| *gone).min();
        silent.into_iter().chain(orphan).min()
    }

    /// The runs that must be gone by now.
    pub(super) fn gone(&mut self, now: Instant) -> Vec<(Run, Placed)> {
        let mut gone = Vec::new();
        let due = self.orphans.extract_if(.., |_, (at, _)| *at <= now);
        gone.extend(due.map(|(run, (_, placed))| (run, placed)));
        if !self.connected && self.gone_at() <= now {
            gone.extend(self.live.drain());
        }
        gone
    }
}

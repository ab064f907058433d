//! What the callers' side and the streams ask of the jobs in progress.
//!
//! All of it is under one lock, which is held for decisions only: no call is
//! made under it.

use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use gentian::claim::run::Run;
use gentian::limit::line::Rank;
use gentian::member::member::Member;
use gentian::wire::agent::{Orders, Reports};
use gentian::wire::control;
use gentian::wire::id::{self, Incarnation, Node};
use tokio::sync::{oneshot, Notify};

use super::job::{Job, Outcome, RefusalCause, Submission};
use super::link::{Link, Placed};
use super::state::State;
use crate::metrics;

/// The jobs in progress, what waits, and where the tasks run.
#[derive(Debug)]
pub(super) struct Dispatcher {
    entry: Node,
    incarnation: Incarnation,
    data_center: id::DataCenter,
    origin: Instant,
    state: Mutex<State>,
    metrics: Arc<metrics::Jobs>,
}

/// A caller's place at a job.
#[derive(Debug)]
pub(super) struct Ticket {
    /// The job's number.
    pub(super) job: u64,
    /// The caller's own number.
    pub(super) caller: u64,
    /// How long the job may wait until something of it begins.
    pub(super) wait: Duration,
    /// Where the outcome will come.
    pub(super) outcome: oneshot::Receiver<Outcome>,
}

impl Dispatcher {
    pub(super) fn new(node: &control::Node, data_center: id::DataCenter) -> Dispatcher {
        let metrics = Arc::new(metrics::Jobs::new());
        Dispatcher {
            entry: node.name.parse().expect("a node's name was checked"),
            incarnation: Incarnation(node.incarnation),
            data_center,
            origin: Instant::now(),
            metrics: metrics.clone(),
            state: Mutex::new(State::new(metrics)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Takes a job in. One that is in progress already is answered for both.
    pub(super) fn submit(&self, submission: Submission) -> Ticket {
        let now = self.now();
        let mut state = self.state();
        let (sender, outcome) = oneshot::channel();
        state.arrivals += 1;
        let caller = state.arrivals;
        let objective = state.objective(&submission);
        let mut ticket = Ticket {
            job: caller,
            caller,
            wait: objective.wait(),
            outcome,
        };
        if let Some(number) = state.ids.get(&submission.id).copied() {
            ticket.job = number;
            let job = state.jobs.get_mut(&number);
            job.map(|job| job.callers.insert(caller, sender));
            return ticket;
        }
        let rank = Rank {
            fresh: true,
            priority: submission.queue.priority,
            begin_by: now + objective.wait(),
            arrival: caller,
        };
        if let Some(outcome) = state.judge(&submission, &objective, &rank) {
            if let Outcome::Refused(after, cause) = outcome {
                state.tell_refusal(&submission, cause, after, Duration::ZERO);
            }
            // The receiver is in the ticket.
            let _ = sender.send(outcome);
            return ticket;
        }
        let mut job = Job::new(submission, objective, rank);
        job.callers.insert(caller, sender);
        state.insert(caller, job);
        ticket
    }

    /// Refuses a job of which nothing has begun; whether that was so.
    pub(super) fn expire(&self, number: u64, cause: RefusalCause) -> bool {
        let now = self.now();
        let mut state = self.state();
        let Some(job) = state.jobs.get(&number).filter(|job| !job.begun) else {
            return false;
        };
        let (service, rank) = (job.submission.service.clone(), job.rank);
        let after = state.come_back(&service, &rank);
        state.tell_refused(number, cause, after);
        state.finish(number, Outcome::Refused(after, cause));
        state.readmit(now);
        true
    }

    /// Takes in that a caller waits no longer: a job for which nobody waits is
    /// given up, whatever of it runs.
    pub(super) fn leave(&self, number: u64, caller: u64) {
        let mut state = self.state();
        let Some(job) = state.jobs.get_mut(&number) else {
            return;
        };
        let sender = job.callers.remove(&caller);
        let service = job.submission.service.clone();
        if job.callers.is_empty() {
            state.finish(number, Outcome::GivenUp);
            state.place(&service);
        }
        if let Some(sender) = sender {
            // The caller may have gone.
            let _ = sender.send(Outcome::GivenUp);
        }
    }

    /// Whether something has begun of the job in progress under an id, if there
    /// is one.
    pub(super) fn has_begun(&self, id: &str) -> Option<bool> {
        let state = self.state();
        let job = state.ids.get(id).and_then(|number| state.jobs.get(number));
        job.map(|job| job.begun)
    }

    /// Ends the job in progress under an id; whether there was one.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(number) = state.ids.get(id).copied() else {
            return false;
        };
        tracing::info!(event = "cancelled", request = id);
        state.finish(number, Outcome::Cancelled);
        state.place_all();
        true
    }

    /// Whether a job could begin at all.
    pub(super) fn is_useful(&self) -> bool {
        let state = self.state();
        state.links.is_empty() || state.rooms.any_reachable()
    }

    /// The metrics, and how many jobs wait with nothing begun.
    pub(super) fn metrics(&self) -> (&metrics::Jobs, usize) {
        let state = self.state();
        let waiting = state.jobs.values().filter(|job| !job.begun).count();
        (&self.metrics, waiting)
    }

    /// Jobs of a queue that wait with nothing begun.
    pub(super) fn waiting(&self, queue: &str) -> u64 {
        let state = self.state();
        let jobs = state.jobs.values().filter(|job| !job.begun);
        jobs.filter(|job| job.submission.queue.name == queue)
            .count() as u64
    }

    /// Knows an agent from now on.
    pub(super) fn know(&self, member: &Member) {
        let near = member.data_center == self.data_center;
        let mut state = self.state();
        let link = state.links.entry(member.node.clone());
        link.or_insert_with(|| Link::new(member.node.clone(), near));
    }

    /// Forgets an agent; what may run there is lost.
    pub(super) fn forget(&self, node: &Node) {
        let mut state = self.state();
        state.rooms.remove(node);
        let Some(mut link) = state.links.remove(node) else {
            return;
        };
        let lost: Vec<(Run, Placed)> = link.live.drain().collect();
        for (run, placed) in lost {
            state.lost(node, &run, &placed);
        }
    }

    pub(super) fn is_connected(&self, node: &Node) -> bool {
        self.state()
            .links
            .get(node)
            .is_some_and(|link| link.connected)
    }

    pub(super) fn has_runs(&self, node: &Node) -> bool {
        let state = self.state();
        state
            .links
            .get(node)
            .is_some_and(|link| !link.live.is_empty())
    }

    /// What tells that there are orders for an agent.
    pub(super) fn wake(&self, node: &Node) -> Arc<Notify> {
        let state = self.state();
        state
            .links
            .get(node)
            .map(|link| link.wake.clone())
            .unwrap_or_default()
    }

    pub(super) fn first_orders(&self, node: &Node) -> Orders {
        let mut state = self.state();
        let link = state.links.get_mut(node);
        link.map(|link| link.first(&self.entry, self.incarnation))
            .unwrap_or_default()
    }

    pub(super) fn orders(&self, node: &Node, lease_until_ms: u64) -> Orders {
        let mut state = self.state();
        let link = state.links.get_mut(node);
        link.map(|link| link.orders(lease_until_ms))
            .unwrap_or_default()
    }

    /// Takes in that there is no stream to an agent; whether there was one.
    pub(super) fn disconnected(&self, node: &Node) -> bool {
        let mut state = self.state();
        state.rooms.reachable(node, false);
        let link = state.links.get_mut(node);
        link.is_some_and(|link| std::mem::take(&mut link.connected))
    }

    /// Takes in what an agent reports; `first` on a new stream.
    pub(super) fn reported(&self, node: &Node, first: bool, reports: Reports) {
        let now = self.now();
        let mut state = self.state();
        let incarnation = Incarnation(reports.incarnation);
        let Some(link) = state.links.get_mut(node) else {
            return;
        };
        link.told_at = Instant::now();
        if first {
            link.answered_by(incarnation);
            link.connected = true;
            state.rooms.reachable(node, true);
        }
        if let Some(room) = reports.room {
            state.told(node, incarnation, room);
        }
        for end in reports.ends {
            state.ended(node, end, now);
        }
        for progress in reports.progress {
            state.progressed(node, progress, now);
        }
        state.readmit(now);
        state.place_all();
    }

    /// Gives up what must be gone by now.
    pub(super) fn give_up_orphans(&self) {
        let now = Instant::now();
        let mut state = self.state();
        let due = |link: &Link| link.next_orphan().is_some_and(|at| at <= now);
        let nodes = state.links.iter().filter(|(_, link)| due(link));
        let nodes: Vec<Node> = nodes.map(|(node, _)| node.clone()).collect();
        for node in &nodes {
            let link = state.links.get_mut(node);
            let gone = link.map(|link| link.gone(now)).unwrap_or_default();
            log::warn!("agent {node}: {} runs given up", gone.len());
            for (run, placed) in gone {
                state.lost(node, &run, &placed);
            }
        }
        state.readmit(self.now());
        if !nodes.is_empty() {
            state.place_all();
        }
    }
}

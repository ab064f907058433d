//! The jobs in progress, shared by the callers' requests and the agents' streams.
//!
//! One lock guards the whole state. It is held for decisions only, never while
//! waiting for the network.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use gentian::member::member::Member;
use gentian::wire::agent::{Orders, Reports};
use gentian::wire::control;
use gentian::wire::id::{self, Incarnation, Node};
use tokio::sync::{oneshot, Notify};

use super::job::{Outcome, Refusal, RefusalCause, Submission, Times};
use super::link::Link;
use super::state::State;
use crate::panics::Mutex;
use crate::{lag, metrics};

/// Shared access to the jobs in progress, the queues and the links to agents.
#[derive(Debug)]
pub(super) struct Dispatcher {
    entry: Node,
    incarnation: Incarnation,
    data_center: id::DataCenter,
    /// Zero of the times that are passed to [`State`].
    origin: Instant,
    state: Mutex<State>,
    metrics: Arc<metrics::Jobs>,
}

/// What a submission returns: the caller waits for the job's outcome with it.
#[derive(Debug)]
pub(super) struct Ticket {
    /// The job's number.
    pub(super) job: u64,
    /// Number of the caller; several callers may wait for one job.
    pub(super) caller: u64,
    /// How long the job may wait for its first task to start.
    pub(super) wait: Duration,
    /// Receives the job's outcome.
    pub(super) outcome: oneshot::Receiver<Outcome>,
}

impl Dispatcher {
    pub(super) fn new(node: &control::Node, data_center: id::DataCenter) -> Dispatcher {
        let metrics = Arc::new(metrics::Jobs::new());
        let entry: Node = node
            .name
            .parse()
            .expect("the settings hold a valid node name");
        let origin = Instant::now();
        Dispatcher {
            incarnation: Incarnation(node.incarnation),
            data_center,
            origin,
            metrics: metrics.clone(),
            state: Mutex::new(State::new(&entry, origin, metrics)),
            entry,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Accepts or refuses a job. A caller that submits the id of a job in progress
    /// waits for that job's outcome; the new submission is dropped. The caller's request may
    /// have waited for a configuration since it arrived.
    pub(super) fn submit(&self, submission: Submission, times: Times) -> Ticket {
        let mut state = self.state();
        let (sender, outcome) = oneshot::channel();
        state.last_number += 1;
        let caller = state.last_number;
        let objective = state.objective(&submission);
        let mut ticket = Ticket {
            job: caller,
            caller,
            wait: objective.max_wait(),
            outcome,
        };
        if let Some(number) = state.numbers_by_id.get(&submission.id).copied() {
            ticket.job = number;
            state.join(number, caller, sender, times.deadline);
            return ticket;
        }
        state.admit(caller, submission, objective, times, sender);
        ticket
    }

    /// Refuses a job that has started no task; returns whether it was refused.
    pub(super) fn expire(&self, number: u64, cause: RefusalCause) -> bool {
        let now = self.now();
        let mut state = self.state();
        if state.jobs.get(&number).is_none_or(|job| job.started) {
            return false;
        }
        state.refuse_job(number, cause);
        state.readmit(now);
        true
    }

    /// Removes a caller that no longer waits. A job without callers is given up and
    /// its runs are stopped.
    pub(super) fn remove_caller(&self, number: u64, caller: u64) {
        let mut state = self.state();
        let Some(job) = state.jobs.get_mut(&number) else {
            return;
        };
        let sender = job.callers.remove(&caller);
        let lane = job.lane.clone();
        if job.callers.is_empty() {
            state.finish_job(number, Outcome::GivenUp);
            state.schedule(&lane);
        }
        if let Some(sender) = sender {
            // The receiver is dropped if the caller has disconnected.
            let _ = sender.send(Outcome::GivenUp);
        }
    }

    /// Refuses the first sight of a job if this entry has too little processor for it; a
    /// caller that submits a job in progress again waits for that one.
    pub(super) fn refuse_by_lag(&self, id: &str, priority: u32) -> Option<Refusal> {
        let now = self.now();
        let mut state = self.state();
        let known = state.numbers_by_id.contains_key(id);
        let refusal = (!known).then(|| state.refuse_by_lag(priority, lag::current(), now))?;
        drop(state);
        if refusal.is_some() {
            self.metrics.refused(&RefusalCause::Lag.to_string());
        }
        refusal
    }

    /// Whether the job in progress with this id has started a task; none if there
    /// is no such job.
    pub(super) fn has_started(&self, id: &str) -> Option<bool> {
        let state = self.state();
        let job = state
            .numbers_by_id
            .get(id)
            .and_then(|number| state.jobs.get(number));
        job.map(|job| job.started)
    }

    /// Cancels the job in progress with this id; returns whether there was one.
    pub(super) fn cancel(&self, id: &str) -> bool {
        let mut state = self.state();
        let Some(number) = state.numbers_by_id.get(id).copied() else {
            return false;
        };
        tracing::info!(event = "cancelled", request = id);
        state.finish_job(number, Outcome::Cancelled);
        state.schedule_all();
        true
    }

    /// Whether this entry can serve jobs: an agent is reachable, or none is known
    /// yet.
    pub(super) fn is_ready(&self) -> bool {
        let state = self.state();
        let listed = state.links.values().any(|link| link.runs.is_listed());
        !listed || state.placer.any_reachable()
    }

    pub(super) fn metrics(&self) -> &metrics::Jobs {
        &self.metrics
    }

    /// Number of jobs that have started no task.
    pub(super) fn jobs_waiting(&self) -> usize {
        let state = self.state();
        state.jobs.values().filter(|job| !job.started).count()
    }

    /// Number of configured queues that are confined to a part of their service's
    /// upstreams.
    pub(super) fn confined_queues(&self) -> usize {
        self.state().confined_queues()
    }

    /// Number of jobs of a queue that have started no task.
    pub(super) fn waiting_jobs(&self, queue: &str) -> u64 {
        let state = self.state();
        let jobs = state.jobs.values().filter(|job| !job.started);
        jobs.filter(|job| job.submission.queue.name == queue)
            .count() as u64
    }

    /// Adds an agent. One that was removed a moment ago still has its runs.
    pub(super) fn add_agent(&self, member: &Member) {
        let same_data_center = member.data_center == self.data_center;
        let now = self.now();
        let mut state = self.state();
        state.first_agent_at.get_or_insert_with(Instant::now);
        let link = state.links.entry(member.node.clone());
        let link = link.or_insert_with(|| Link::new(member.node.clone(), same_data_center, now));
        link.runs.set_listed(true);
    }

    /// Sets the agents whose upstreams the configuration gives no work.
    pub(super) fn deny(&self, nodes: BTreeSet<Node>) {
        let mut state = self.state();
        if state.placer.deny(nodes) {
            state.schedule_all();
        }
    }

    /// Number of known upstreams that the configuration gives no work.
    pub(super) fn denied_upstreams(&self) -> usize {
        self.state().placer.denied()
    }

    /// Removes an agent, whose stream is closed, once the ends of its runs are known.
    pub(super) fn remove_agent(&self, node: &Node) {
        let mut state = self.state();
        state.placer.set_reachable(node, false);
        if let Some(link) = state.links.get_mut(node) {
            link.runs.set_listed(false);
        }
    }

    pub(super) fn is_connected(&self, node: &Node) -> bool {
        self.state()
            .links
            .get(node)
            .is_some_and(|link| link.runs.is_connected())
    }

    pub(super) fn has_runs(&self, node: &Node) -> bool {
        let state = self.state();
        state
            .links
            .get(node)
            .is_some_and(|link| link.runs.has_current())
    }

    /// Returns the [`Notify`] that is notified when there are orders for an agent.
    pub(super) fn orders_ready(&self, node: &Node) -> Arc<Notify> {
        let state = self.state();
        state
            .links
            .get(node)
            .map(|link| link.orders_ready.clone())
            .unwrap_or_default()
    }

    pub(super) fn first_orders(&self, node: &Node) -> Orders {
        let now = self.now();
        let mut state = self.state();
        let crashes = state.crashes_at(node, now);
        let Some(link) = state.links.get_mut(node) else {
            return Orders::default();
        };
        Orders {
            crashes,
            ..link.first_orders(&self.entry, self.incarnation)
        }
    }

    pub(super) fn orders(&self, node: &Node, lease_until_ms: u64) -> Orders {
        let now = self.now();
        let mut state = self.state();
        state.withdraw_overdue_starts(node);
        let link = state.links.get_mut(node);
        link.map(|link| link.orders(lease_until_ms, now))
            .unwrap_or_default()
    }

    /// Marks an agent as disconnected; returns whether it was connected.
    pub(super) fn mark_disconnected(&self, node: &Node) -> bool {
        let mut state = self.state();
        state.placer.set_reachable(node, false);
        let link = state.links.get_mut(node);
        link.is_some_and(|link| link.runs.disconnect())
    }

    /// Applies an agent's reports; `first` marks the first ones on a new stream.
    pub(super) fn handle_reports(&self, node: &Node, first: bool, reports: Reports) {
        let now = self.now();
        let mut state = self.state();
        let incarnation = Incarnation(reports.incarnation);
        let Some(link) = state.links.get_mut(node) else {
            return;
        };
        link.last_report_at = Instant::now();
        if first {
            link.runs.connect(incarnation);
            state.placer.set_reachable(node, true);
        }
        if first || !reports.ends.is_empty() || !reports.crashes.is_empty() {
            state.rescan.record_gain();
        }
        if let Some(room) = reports.room {
            state.update_room(node, incarnation, room);
        }
        for crash in &reports.crashes {
            state.upstream_crashed(node, crash, now);
        }
        for end in reports.ends {
            state.run_ended(node, end, now);
        }
        for progress in reports.progress {
            state.run_progressed(node, progress, now);
        }
        state.readmit(now);
        state.reschedule(now);
    }

    /// Counts as lost those runs of disconnected, restarted or removed agents that must
    /// have ended by now, since no lease allows them to go on.
    pub(super) fn expire_runs(&self) {
        let now = self.now();
        let mut state = self.state();
        state.end_overdue_jobs();
        let due = |link: &Link| link.runs.next_expiry().is_some_and(|at| at <= now);
        let nodes = state.links.iter().filter(|(_, link)| due(link));
        let nodes: Vec<Node> = nodes.map(|(node, _)| node.clone()).collect();
        for node in &nodes {
            let link = state.links.get_mut(node);
            let expired = link.map(|link| link.runs.take_expired(now));
            let expired = expired.unwrap_or_default();
            log::warn!(
                "agent {node}: gave up {} runs that reported no end before their leases lapsed",
                expired.len()
            );
            for (run, placed) in expired {
                state.run_lost(node, &run, &placed);
            }
        }
        state.forget_removed_agents();
        state.readmit(now);
        state.release_queues(now);
        if !nodes.is_empty() {
            state.schedule_all();
        }
    }
}

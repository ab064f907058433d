//! The dispatcher: decides when a request is sent, and to which upstream.
//!
//! One thread owns all state and receives events over a channel. Request handlers
//! send it [`PlaceRequest`]s and wait for its verdicts.

mod choose;
mod counts;
mod members;
mod service;
mod state;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, RecvTimeoutError};
use gentian::limit::quota::LoanRequest;
use gentian::wire::agent::{self, Load};
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use tokio::sync::oneshot;

use crate::renew::LeaseState;

pub(crate) use self::counts::Counts;

/// A request for a place at an upstream.
#[derive(Clone, Debug)]
pub(crate) struct PlaceRequest {
    pub(crate) service: id::Service,
    pub(crate) team: id::Team,
    /// The job that the request's task belongs to; none for a single request.
    pub(crate) job: Option<id::Job>,
    /// When the caller stops waiting for the answer.
    pub(crate) deadline: Instant,
    /// Agents that may run the request; if empty, all agents of the service.
    pub(crate) candidates: Vec<id::Node>,
    /// Agents that earlier attempts were sent to.
    pub(crate) tried_agents: Vec<id::Node>,
    /// Outcome of the earlier attempts, if this is a retry.
    pub(crate) retry_of: Option<Outcome>,
}

/// The dispatcher's decision on a request.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// Send the request to this agent, and report how that ended.
    Start(Place),
    /// Don't send the request.
    Refuse(Refusal),
}

/// A slot at an upstream, reserved for one request until [`Handle::report`].
#[derive(Clone, Debug)]
pub(crate) struct Place {
    /// Number of the request that the place was given to.
    number: u64,
    pub(crate) agent: id::Node,
    pub(crate) incarnation: id::Incarnation,
    /// Address of the agent.
    pub(crate) address: String,
    /// The view in force when the place was given.
    pub(crate) view: id::View,
}

/// Why a request was refused, and when to retry it.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// None if the request can never run.
    pub(crate) retry_after: Option<Duration>,
}

/// Why the dispatcher refused a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    /// The entry holds no lease from control.
    NoLease,
    /// No upstream that may run the request takes work.
    NoUpstream,
    /// The request waited until too little time was left to run it.
    DeadlinePassed,
    /// The expected wait would leave too little time to run the request.
    NoTimeLeft,
    /// The queue is full, or has evicted the request to make room for a team that holds
    /// less than its share.
    QueueFull,
    /// The retry budget allows no further attempt at the request.
    RetryBudgetSpent,
}

/// How the use of a place ended.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) place: Place,
    pub(crate) service: id::Service,
    pub(crate) outcome: Outcome,
    /// Why the agent refused the task, if it did.
    pub(crate) reason: agent::Reason,
    pub(crate) load: Option<Load>,
    /// Run time at the upstream, if the task ran.
    pub(crate) run: Option<Duration>,
}

/// The part of one team's quota that control has lent to this entry.
#[derive(Clone, Debug)]
pub(crate) struct TeamLoan {
    pub(crate) team: id::Team,
    pub(crate) amount: u32,
    pub(crate) until: Instant,
}

enum Event {
    Place(u64, PlaceRequest, oneshot::Sender<Verdict>),
    Cancel(u64),
    Report(Report),
    Lease(Arc<LeaseState>),
    LoanRequests(oneshot::Sender<Vec<(id::Team, LoanRequest)>>),
    Loans(Vec<TeamLoan>),
}

/// Sends events to the dispatcher's thread, which ends when the last handle is
/// dropped.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    events: channel::Sender<Event>,
    next_number: Arc<AtomicU64>,
    counts: Arc<Counts>,
}

impl Handle {
    /// Asks for a place and waits for the verdict. Dropping the future cancels the
    /// request.
    pub(crate) async fn place(&self, request: PlaceRequest) -> Verdict {
        let (sender, verdict) = oneshot::channel();
        let mut waiter = Waiter {
            handle: self,
            number: self.next_number.fetch_add(1, Ordering::Relaxed),
            received: false,
        };
        self.send(Event::Place(waiter.number, request, sender));
        let verdict = verdict.await.expect("the dispatcher answers each request");
        waiter.received = true;
        verdict
    }

    /// Reports on a place, which frees it.
    pub(crate) fn report(&self, report: Report) {
        self.send(Event::Report(report));
    }

    /// Updates the lease, with the view and the configuration in force.
    pub(crate) fn set_lease(&self, held: Arc<LeaseState>) {
        self.send(Event::Lease(held));
    }

    /// The loan to request from control for each team that has a quota.
    pub(crate) async fn loan_requests(&self) -> Vec<(id::Team, LoanRequest)> {
        let (sender, requests) = oneshot::channel();
        self.send(Event::LoanRequests(sender));
        requests.await.expect("the dispatcher answers each query")
    }

    /// Updates the loans that control has granted.
    pub(crate) fn set_loans(&self, loans: Vec<TeamLoan>) {
        self.send(Event::Loans(loans));
    }

    /// Counters of the decisions so far.
    #[expect(dead_code, reason = "the metrics page reads it")]
    pub(crate) fn counts(&self) -> &Counts {
        &self.counts
    }

    fn send(&self, event: Event) {
        let sent = self.events.send(event);
        sent.expect("the dispatcher's thread outlives its handles");
    }
}

/// Cancels a request when dropped before the verdict was received.
struct Waiter<'h> {
    handle: &'h Handle,
    number: u64,
    received: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if !self.received {
            // Fails if the thread has ended because the process stops.
            let _ = self.handle.events.send(Event::Cancel(self.number));
        }
    }
}

/// Starts the dispatcher of the entry with this name and data centre.
pub(crate) fn start(node: &id::Node, data_center: &id::DataCenter) -> (Handle, JoinHandle<()>) {
    let (events, inbox) = channel::unbounded();
    let counts = Arc::new(Counts::default());
    let state = state::State::new(node, data_center, counts.clone());
    let thread = thread::Builder::new()
        .name("dispatch".to_owned())
        .spawn(move || run(&inbox, state))
        .expect("a thread can be started");
    let handle = Handle {
        events,
        next_number: Arc::default(),
        counts,
    };
    (handle, thread)
}

fn run(inbox: &channel::Receiver<Event>, mut state: state::State) {
    loop {
        match inbox.recv_timeout(state.pause(Instant::now())) {
            Ok(event) => handle(&mut state, event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        for event in inbox.try_iter() {
            handle(&mut state, event);
        }
        state.place(Instant::now());
    }
    state.counts().log();
}

fn handle(state: &mut state::State, event: Event) {
    let now = Instant::now();
    match event {
        Event::Place(number, request, sender) => state.request_place(number, request, sender, now),
        Event::Cancel(number) => state.cancel(number, now),
        Event::Report(report) => state.report(&report, now),
        Event::Lease(held) => state.set_lease(held, now),
        Event::LoanRequests(sender) => {
            // Fails if the receiver no longer waits.
            let _ = sender.send(state.loan_requests(now));
        }
        Event::Loans(loans) => state.set_loans(&loans),
    }
}

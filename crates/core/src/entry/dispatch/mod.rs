//! The thread that decides which upstream takes which request, and when.
//!
//! One thread owns all state of the decision and takes events from a channel;
//! traffic threads wait for its verdicts.

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
use gentian::limit::quota::Ask;
use gentian::wire::agent::{self, Load};
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use tokio::sync::oneshot;

use crate::renew::Held;

pub(crate) use self::counts::Counts;

/// A request for a place on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct PlaceRequest {
    pub(crate) service: id::Service,
    pub(crate) team: id::Team,
    /// The job that it is a task of; none for a single request.
    pub(crate) job: Option<id::Job>,
    /// When its answer is of no more use.
    pub(crate) deadline: Instant,
    /// Names the agents that may take it; all of the service where empty.
    pub(crate) candidates: Vec<id::Node>,
    /// Agents that have refused it before.
    pub(crate) tried_agents: Vec<id::Node>,
    /// The outcome of the last attempt, where this is another one.
    pub(crate) retry_of: Option<Outcome>,
}

/// What becomes of a demand.
#[derive(Clone, Debug)]
pub(crate) enum Verdict {
    /// Send it to this agent, then report.
    Start(Place),
    /// It is given up.
    Refuse(Refusal),
}

/// A place on an upstream, kept until it is reported on.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    number: u64,
    pub(crate) agent: id::Node,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) address: String,
    pub(crate) view: id::View,
}

/// Why a demand is given up, and when to come back.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// None where it can never run.
    pub(crate) retry_after: Option<Duration>,
}

/// Why a demand is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Reason {
    NoLease,
    NoUpstream,
    DeadlinePassed,
    NoTimeLeft,
    QueueFull,
    RetryBudgetSpent,
}

/// What came of a place.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) place: Place,
    pub(crate) service: id::Service,
    pub(crate) outcome: Outcome,
    /// Why the agent refused, where it did.
    pub(crate) reason: agent::Reason,
    pub(crate) load: Option<Load>,
    /// Time in the upstream, where it ran.
    pub(crate) run: Option<Duration>,
}

/// What control lent this entry of one team's quota.
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
    Hold(Arc<Held>),
    Asks(oneshot::Sender<Vec<(id::Team, Ask)>>),
    Lend(Vec<TeamLoan>),
}

/// Sends events to the thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    events: channel::Sender<Event>,
    numbers: Arc<AtomicU64>,
    counts: Arc<Counts>,
}

impl Handle {
    /// Waits for a place. To stop waiting, drop the future.
    pub(crate) async fn place(&self, demand: PlaceRequest) -> Verdict {
        let (sender, verdict) = oneshot::channel();
        let mut waiter = Waiter {
            handle: self,
            number: self.numbers.fetch_add(1, Ordering::Relaxed),
            told: false,
        };
        self.send(Event::Place(waiter.number, demand, sender));
        let verdict = verdict.await.expect("each demand gets a verdict");
        waiter.told = true;
        verdict
    }

    /// Frees a place.
    pub(crate) fn report(&self, report: Report) {
        self.send(Event::Report(report));
    }

    /// Tells what the entry's lease covers now.
    pub(crate) fn set_lease(&self, held: Arc<Held>) {
        self.send(Event::Hold(held));
    }

    /// What to ask control for each team that has a quota.
    pub(crate) async fn loan_requests(&self) -> Vec<(id::Team, Ask)> {
        let (sender, asks) = oneshot::channel();
        self.send(Event::Asks(sender));
        asks.await.expect("each question gets an answer")
    }

    /// Tells what control lent.
    pub(crate) fn set_loans(&self, lent: Vec<TeamLoan>) {
        self.send(Event::Lend(lent));
    }

    /// What has been decided so far, by kind.
    #[expect(dead_code, reason = "the metrics page reads it")]
    pub(crate) fn counts(&self) -> &Counts {
        &self.counts
    }

    fn send(&self, event: Event) {
        let sent = self.events.send(event);
        sent.expect("the thread outlives its handles");
    }
}

/// Cancels a demand whose verdict nobody has taken.
struct Waiter<'h> {
    handle: &'h Handle,
    number: u64,
    told: bool,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        if !self.told {
            // The thread may be gone when the process stops.
            let _ = self.handle.events.send(Event::Cancel(self.number));
        }
    }
}

/// Starts the thread of the entry with this name and data centre.
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
        numbers: Arc::default(),
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
        Event::Place(number, demand, sender) => state.demand(number, demand, sender, now),
        Event::Cancel(number) => state.cancel(number, now),
        Event::Report(report) => state.report(&report, now),
        Event::Hold(held) => state.hold(held, now),
        Event::Asks(sender) => {
            // Whoever asked may have stopped.
            let _ = sender.send(state.asks(now));
        }
        Event::Lend(lent) => state.lend(&lent),
    }
}

//! The thread that decides which upstream takes which request, and when.
//!
//! One thread owns all state of the decision and takes events from a channel;
//! traffic threads wait for its verdicts.

mod state;

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, RecvTimeoutError};
use gentian::wire::agent::Load;
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use tokio::sync::oneshot;

use crate::renew::Held;

const TICK: Duration = Duration::from_millis(20);

/// A request for a place on an upstream.
#[derive(Clone, Debug)]
pub(crate) struct Demand {
    pub(crate) service: id::Service,
    #[expect(dead_code, reason = "fair queueing and learned run times read it")]
    pub(crate) team: id::Team,
    /// When its answer is of no more use.
    pub(crate) deadline: Instant,
    /// Names the agents that may take it; all of the service where empty.
    pub(crate) candidates: Vec<id::Node>,
    /// Agents that have refused it before.
    pub(crate) refused_by: Vec<id::Node>,
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
    QueueFull,
}

/// What came of a place.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) place: Place,
    #[expect(dead_code, reason = "fair queueing and learned run times read it")]
    pub(crate) service: id::Service,
    #[expect(dead_code, reason = "fair queueing and learned run times read it")]
    pub(crate) outcome: Outcome,
    pub(crate) load: Option<Load>,
    /// Time in the upstream, where it ran.
    #[expect(dead_code, reason = "fair queueing and learned run times read it")]
    pub(crate) run: Option<Duration>,
}

enum Event {
    Demand(Demand, oneshot::Sender<Verdict>),
    Report(Report),
    Hold(Arc<Held>),
}

/// Sends events to the thread, which ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    events: channel::Sender<Event>,
}

impl Handle {
    /// Waits for a place. To stop waiting, drop the future.
    pub(crate) async fn place(&self, demand: Demand) -> Verdict {
        let (sender, verdict) = oneshot::channel();
        self.send(Event::Demand(demand, sender));
        verdict.await.expect("each demand gets a verdict")
    }

    /// Frees a place.
    pub(crate) fn report(&self, report: Report) {
        self.send(Event::Report(report));
    }

    /// Tells what the entry's lease covers now.
    pub(crate) fn hold(&self, held: Arc<Held>) {
        self.send(Event::Hold(held));
    }

    fn send(&self, event: Event) {
        let sent = self.events.send(event);
        sent.expect("the thread outlives its handles");
    }
}

/// Starts the thread.
pub(crate) fn start() -> (Handle, JoinHandle<()>) {
    let (events, inbox) = channel::unbounded();
    let thread = thread::Builder::new()
        .name("dispatch".to_owned())
        .spawn(move || run(&inbox))
        .expect("a thread can be started");
    (Handle { events }, thread)
}

fn run(inbox: &channel::Receiver<Event>) {
    let mut state = state::State::default();
    loop {
        match inbox.recv_timeout(TICK) {
            Ok(event) => handle(&mut state, event),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        for event in inbox.try_iter() {
            handle(&mut state, event);
        }
        state.place(Instant::now());
    }
}

fn handle(state: &mut state::State, event: Event) {
    match event {
        Event::Demand(demand, sender) => state.demand(demand, sender),
        Event::Report(report) => state.report(&report),
        Event::Hold(held) => state.hold(held),
    }
}

//! The gate and the home of one agent, with the clock and the waiting that
//! they leave to their caller.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentian::claim::gate::{self, ByteSize, Gate, Waiter};
use gentian::claim::home::{self, ClaimOutcome, Claimant, Home};
use gentian::claim::key_window::KeyWindow;
use gentian::claim::placement::ViewHistory;
use gentian::wire::agent::StartReply;
use gentian::wire::id::{Ballot, Job, Node, Task, View};
use gentian::wire::outcome::Outcome;
use gentian::wire::size::Bytes;
use tokio::sync::oneshot;

use crate::renew::{Held, GRACE};

/// Bytes of finished tasks' answers that are kept for later coordinators.
const MAX_KEPT: Bytes = Bytes(32 << 20);
/// What a kept answer takes besides its body and its type.
const ANSWER_OVERHEAD: usize = 128;
/// Longest time for which an ask waits before it tells that a task still runs.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// A finished task's answer.
#[derive(Clone, Debug)]
pub(crate) struct Kept(pub(crate) StartReply);

impl Kept {
    /// Copies the body, which is a slice of a connection's larger buffer.
    fn new(mut reply: StartReply) -> Kept {
        reply.body = bytes::Bytes::copy_from_slice(&reply.body);
        Kept(reply)
    }
}

impl ByteSize for Kept {
    fn byte_size(&self) -> Bytes {
        let size = self.0.body.len() + self.0.content_type.len() + ANSWER_OVERHEAD;
        Bytes(size as u64)
    }
}

/// What the gate told of one task.
pub(crate) type Ask = gate::TaskStatus<Kept>;

/// The gate and the home.
#[derive(Debug)]
pub(crate) struct Claims {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate<Kept>,
    home: Home,
    views: ViewHistory,
    waiting: HashMap<u64, oneshot::Sender<()>>,
    next: u64,
}

impl Claims {
    /// The claims of the agent `node`, whose process has just started.
    pub(crate) fn new(node: Node) -> Claims {
        let memory = KeyWindow::new(wall());
        Claims {
            state: Mutex::new(State {
                gate: Gate::new(memory.clone(), MAX_KEPT),
                home: Home::new(node, memory),
                views: ViewHistory::new(GRACE),
                waiting: HashMap::new(),
                next: 0,
            }),
        }
    }

    /// Starts a task, unless it was started or tombstoned before. A single
    /// request has no ballot.
    pub(crate) fn start(&self, task: Task, ballot: Option<Ballot>, view: View) -> gate::Result<()> {
        let mut state = self.state();
        match ballot {
            Some(ballot) => state.gate.start(task, ballot, view),
            None => state.gate.start_single(task, view),
        }
    }

    /// Notes a started task's end and wakes those who wait for it.
    pub(crate) fn finish(&self, task: Task, reply: StartReply) {
        let mut state = self.state();
        let outcome = reply.outcome().into();
        let waiters = state.gate.finish(task, outcome, Kept::new(reply));
        state.wake(waiters);
    }

    /// Notes a single request's end.
    pub(crate) fn finish_single(&self, task: Task, outcome: Outcome) {
        self.state().gate.finish_single(task, outcome);
    }

    /// Takes back a start that was never sent to the upstream.
    pub(crate) fn retract(&self, task: Task) {
        let mut state = self.state();
        let waiters = state.gate.retract(task);
        state.wake(waiters);
    }

    /// Claims a job at this agent.
    pub(crate) fn claim(
        &self,
        job: Job,
        claimant: Claimant,
        view: View,
        held: &Held,
    ) -> home::Result<ClaimOutcome> {
        let mut state = self.state();
        let State { home, views, .. } = &mut *state;
        if held.view > views.number().0 {
            held.update(views, wall());
            views.advance(wall());
        }
        home.claim(job, claimant, view, views)
    }

    /// Asks about tasks, or tombstones them.
    pub(crate) fn ask(&self, job: Job, tasks: &[u32], ballot: Ballot, view: View) -> Vec<Ask> {
        self.state().gate.ask(job, tasks, ballot, view)
    }

    /// Waits until one of the tasks has ended, but not for ever. Returns at
    /// once where none of them runs.
    pub(crate) async fn wait(&self, job: Job, tasks: &[u32]) {
        let (sender, ended) = oneshot::channel();
        let waiter = self.state().wait(job, tasks, sender);
        // Nobody's task runs where the sender was dropped.
        let _ = tokio::time::timeout(MAX_WAIT, ended).await;
        self.state().waiting.remove(&waiter);
    }

    /// Bars the tasks of a coordinator that have not started.
    pub(crate) fn cancel(&self, job: Job, tasks: &[u32], ballot: Ballot) {
        self.state().gate.cancel(job, tasks, ballot);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no thread panics with this lock");
        let wall = wall();
        state.gate.advance(wall);
        state.home.advance(wall);
        state
    }
}

impl State {
    fn wait(&mut self, job: Job, tasks: &[u32], sender: oneshot::Sender<()>) -> u64 {
        self.next += 1;
        let waiter = Waiter(self.next);
        let mut running = false;
        for index in tasks {
            running |= self.gate.wait(job.task(*index), waiter);
        }
        if running {
            self.waiting.insert(waiter.0, sender);
        }
        waiter.0
    }

    fn wake(&mut self, waiters: Vec<Waiter>) {
        for waiter in waiters {
            if let Some(sender) = self.waiting.remove(&waiter.0) {
                // One that gave up needs no wake-up.
                let _ = sender.send(());
            }
        }
    }
}

/// Time since the Unix epoch by this machine's clock.
fn wall() -> Duration {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH);
    wall.unwrap_or_default()
}

//! One agent's [`Gate`], which lets each task start at most once, and its [`Home`],
//! which records the coordinators that claim jobs. This adds what both leave to their
//! caller: the clock, and the wake-up of calls that wait for a task's end.

use std::collections::HashMap;
use std::sync::MutexGuard;
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

use crate::panics::Mutex;
use crate::renew::{LeaseState, VIEW_GRACE};

/// Most memory used by the answers of finished tasks, which are kept for later
/// coordinators of their jobs.
const MAX_KEPT_ANSWERS: Bytes = Bytes(32 << 20);
/// Bytes counted for a kept answer in addition to its body and content type.
const ANSWER_OVERHEAD: usize = 128;
/// Longest time that an ask waits for a task to end before it is answered.
const MAX_WAIT: Duration = Duration::from_secs(10);

/// The answer of a finished task, kept for later coordinators.
#[derive(Clone, Debug)]
pub(crate) struct KeptAnswer(pub(crate) StartReply);

impl KeptAnswer {
    /// Keeps a reply. Copies its body, which is a slice of a connection's buffer and
    /// would keep the whole buffer in memory.
    fn new(mut reply: StartReply) -> KeptAnswer {
        reply.body = bytes::Bytes::copy_from_slice(&reply.body);
        KeptAnswer(reply)
    }
}

impl ByteSize for KeptAnswer {
    fn byte_size(&self) -> Bytes {
        let size = self.0.body.len() + self.0.content_type.len() + ANSWER_OVERHEAD;
        Bytes(size as u64)
    }
}

/// The gate's answer about one task.
pub(crate) type TaskStatus = gate::TaskStatus<KeptAnswer>;

/// The gate and the home of one agent, shared by its calls.
#[derive(Debug)]
pub(crate) struct Claims {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    gate: Gate<KeptAnswer>,
    home: Home,
    views: ViewHistory,
    /// Senders that wake waiting calls, by the waiter's number.
    waiting: HashMap<u64, oneshot::Sender<()>>,
    last_waiter: u64,
}

impl Claims {
    /// Creates the claims of the agent `node`, whose process has just started.
    pub(crate) fn new(node: Node) -> Claims {
        let key_window = KeyWindow::new(unix_time());
        Claims {
            state: Mutex::new(State {
                gate: Gate::new(key_window.clone(), MAX_KEPT_ANSWERS),
                home: Home::new(node, key_window),
                views: ViewHistory::new(VIEW_GRACE),
                waiting: HashMap::new(),
                last_waiter: 0,
            }),
        }
    }

    /// Records the start of a task, unless it was started or tombstoned before. A task
    /// of a single request has no ballot.
    pub(crate) fn start(&self, task: Task, ballot: Option<Ballot>, view: View) -> gate::Result<()> {
        let mut state = self.state();
        match ballot {
            Some(ballot) => state.gate.start(task, ballot, view),
            None => state.gate.start_single(task, view),
        }
    }

    /// Records the end of a started task and wakes the calls that wait for it.
    pub(crate) fn finish(&self, task: Task, reply: StartReply) {
        let mut state = self.state();
        let outcome = reply.outcome().into();
        let waiters = state.gate.finish(task, outcome, KeptAnswer::new(reply));
        state.wake(waiters);
    }

    /// Records the end of a single request's task.
    pub(crate) fn finish_single(&self, task: Task, outcome: Outcome) {
        self.state().gate.finish_single(task, outcome);
    }

    /// Undoes the start of a task that was never sent to the upstream.
    pub(crate) fn retract(&self, task: Task) {
        let mut state = self.state();
        let waiters = state.gate.retract(task);
        state.wake(waiters);
    }

    /// Claims a job at this agent for a coordinator.
    pub(crate) fn claim(
        &self,
        job: Job,
        claimant: Claimant,
        view: View,
        held: &LeaseState,
    ) -> home::Result<ClaimOutcome> {
        let mut state = self.state();
        let State { home, views, .. } = &mut *state;
        if held.view > views.number().0 {
            held.update_history(views, unix_time());
            views.advance(unix_time());
        }
        home.claim(job, claimant, view, views)
    }

    /// Returns the status of tasks. Those that have not started are tombstoned, unless a
    /// higher ballot or a newer view was here before.
    pub(crate) fn ask(
        &self,
        job: Job,
        tasks: &[u32],
        ballot: Ballot,
        view: View,
    ) -> Vec<TaskStatus> {
        self.state().gate.ask(job, tasks, ballot, view)
    }

    /// Waits until one of the tasks has ended, but at most [`MAX_WAIT`]. Returns at
    /// once if none of them is running.
    pub(crate) async fn wait(&self, job: Job, tasks: &[u32]) {
        let (sender, ended) = oneshot::channel();
        let waiter = self.state().register_waiter(job, tasks, sender);
        // If no task is running, the sender was dropped and this returns at once.
        let _ = tokio::time::timeout(MAX_WAIT, ended).await;
        self.state().waiting.remove(&waiter);
    }

    /// Bars the coordinator with the given ballot from starting these tasks.
    pub(crate) fn cancel(&self, job: Job, tasks: &[u32], ballot: Ballot) {
        self.state().gate.cancel(job, tasks, ballot);
    }

    /// Locks the state and advances the gate and the home to the current time.
    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock();
        let now = unix_time();
        state.gate.advance(now);
        state.home.advance(now);
        state
    }
}

impl State {
    /// Registers a waiter for the tasks that are running. Drops `sender` if none is.
    fn register_waiter(&mut self, job: Job, tasks: &[u32], sender: oneshot::Sender<()>) -> u64 {
        self.last_waiter += 1;
        let waiter = Waiter(self.last_waiter);
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
                // Fails if the waiter has timed out.
                let _ = sender.send(());
            }
        }
    }
}

/// Time since the Unix epoch by this machine's clock.
fn unix_time() -> Duration {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

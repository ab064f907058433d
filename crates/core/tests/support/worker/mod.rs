//! A simulated worker of the platform: it runs tasks under a lease by its own clock,
//! and takes orders from its agent only.

mod state;

use std::process::Command;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request};
use serde_json::{json, Value};

use state::{millis, State};

use super::observations::Observations;
use super::{FakeServer, Process, NO_ANSWER};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a heartbeat waits for its answer.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay of an order at a worker with [`Behavior::Late`].
const ORDER_DELAY: Duration = Duration::from_secs(2);
/// Delay of an order at a worker with [`Behavior::Reorders`]: longer than the agent waits
/// for an answer, shorter than the lease in the order.
const SHORT_ORDER_DELAY: Duration = Duration::from_millis(200);
/// How long a connection stays silent whose answer is lost.
const SILENCE: Duration = Duration::from_millis(300);
/// Interval at which runs make progress.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// CPU capacity of a worker, in the unit of `cpu` of a step.
const CPU_CAPACITY: u64 = 32_000;

/// How a worker behaves, or misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Behavior {
    #[default]
    Normal,
    /// Every task that starts fails at once.
    Fails,
    /// Every start is refused for want of room.
    Full,
    /// Running tasks make no progress.
    Hangs,
    /// The worker's timer doesn't fire, as on a host without free processors: nothing
    /// makes progress, and the end of the lease passes unnoticed.
    Stalled,
    /// The worker is down: its runs are lost and it answers nothing.
    Crashed,
    /// Every eighth order is carried out two seconds late and gets no answer.
    Late,
    /// Every second start is carried out two seconds late and gets no answer, even if the
    /// worker has restarted since.
    LateStarts,
    /// Every second start is carried out after the stop that follows it, and gets no
    /// answer.
    Reorders,
    /// Every second start is carried out and its answer is lost.
    LosesAnswers,
    /// All orders are carried out and none is answered.
    Mute,
}

/// A simulated worker and the real process of its agent.
pub(crate) struct Worker {
    pub(crate) agent: Process,
    pub(crate) agent_http: String,
    pub(crate) agent_peer: String,
    settings: Value,
    state: Arc<Mutex<State>>,
    /// Takes the orders of the agent.
    server: FakeServer,
    /// The thread that sends heartbeats, until the worker is dropped.
    heartbeats: Option<JoinHandle<()>>,
}

/// Another agent may get the port of this one as soon as this one has ended, so nothing may
/// call that port any more by then.
impl Drop for Worker {
    fn drop(&mut self) {
        if let Ok(mut state) = self.state.lock() {
            state.stopped = true;
        }
        let _ = self.heartbeats.take().map(JoinHandle::join);
    }
}

impl Worker {
    pub(super) fn start(
        index: usize,
        data_center: &str,
        control: &[String],
        log: &Value,
        observed: &Arc<Mutex<Observations>>,
    ) -> Worker {
        let settings = json!({
            "name": format!("agent-{index}"), "data_center": data_center, "rack": "r", "region": "x",
            "control": control, "log": log,
            "agent": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0", "dialect": "platform" },
        });
        let agent = Process::start_with_settings(&settings);
        let agent_http = agent.listen_address("agent-http").to_string();
        let agent_peer = agent.listen_address("agent-peer").to_string();
        let state = Arc::new(Mutex::new(State::new(index, observed)));
        let order_state = state.clone();
        let server = FakeServer::start(move |request| answer_order(&order_state, request));
        let (heartbeat_state, agent_address) = (state.clone(), agent_http.clone());
        let address = server.address.to_string();
        let heartbeats =
            thread::spawn(move || send_heartbeats(&heartbeat_state, &agent_address, &address));
        let (tick_state, listener) = (state.clone(), server.listener());
        thread::spawn(move || loop {
            thread::sleep(TICK_INTERVAL);
            let mut state = tick_state.lock().expect("the lock is not poisoned");
            if state.stopped {
                return;
            }
            state.tick();
            state.crash_or_restart(&listener);
        });
        Worker {
            agent,
            agent_http,
            agent_peer,
            settings,
            state,
            server,
            heartbeats: Some(heartbeats),
        }
    }

    /// Changes how the worker behaves.
    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.behavior = behavior;
        if behavior == Behavior::Crashed {
            state.lose_runs();
        }
    }

    /// Restarts the worker under the same id, without any state of its former life. Connections
    /// stay open and lead to the new life, so that only its answers tell of it.
    pub(crate) fn restart_worker(&self) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.restart();
    }

    /// Restarts the worker like [`Worker::restart_worker`], but closes its connections, as the
    /// end of a process does. The new life behaves like this from its start.
    pub(crate) fn restart_process(&self, behavior: Behavior) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.restart();
        state.behavior = behavior;
        self.server.listener().disconnect();
    }

    /// Ends the worker's process and starts one of this kind and with another id at its address.
    pub(crate) fn replace_by(&self, kind: &str) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.restart();
        state.id.push_str("-next");
        kind.clone_into(&mut state.labels[0]);
        self.server.listener().disconnect();
    }

    /// Sets whether the worker sends no heartbeats.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.state.lock().expect("the lock is not poisoned").silent = silent;
    }

    /// Makes the worker report that it is draining.
    pub(crate) fn drain(&self) {
        self.state.lock().expect("the lock is not poisoned").ready = false;
    }

    /// Address at which the agent calls it.
    pub(crate) fn address(&self) -> String {
        self.server.address.to_string()
    }

    /// Number of running tasks.
    pub(crate) fn running(&self) -> usize {
        self.state
            .lock()
            .expect("the lock is not poisoned")
            .running
            .len()
    }

    /// Terminates the worker like a power loss, which no task has caused; it restarts
    /// after a while.
    pub(crate) fn crash(&self) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.crashes_at = Some(Instant::now());
    }

    /// Kills the agent and starts it again at the same addresses.
    pub(crate) fn restart_agent(&mut self) {
        self.restart_agent_prepared(|_| {});
    }

    /// Like [`Worker::restart_agent`], with the command changed by `prepare`.
    pub(crate) fn restart_agent_prepared(&mut self, prepare: impl FnOnce(&mut Command)) {
        self.agent.kill();
        self.agent.wait();
        self.settings["agent"]["http"] = json!(self.agent_http);
        self.settings["agent"]["peer"] = json!(self.agent_peer);
        self.agent = Process::start_prepared(&self.settings, prepare);
    }
}

/// Answers a request of the agent; one that waits for ends is held until there is one
/// or its time is over.
fn answer_order(state: &Mutex<State>, request: &str) -> (u16, String) {
    let mut words = request.splitn(3, ' ');
    let (path, body) = (
        words.nth(1).unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let body: Value = serde_json::from_str(body).expect("valid JSON");
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    let start = Instant::now();
    let answer = |state: &Mutex<State>| {
        let mut state = state.lock().expect("the lock is not poisoned");
        state.answer(path, &body)
    };
    match fault(state, path) {
        Fault::None => {}
        Fault::Delay(delay) => {
            thread::sleep(delay);
            answer(state);
            return (NO_ANSWER, String::new());
        }
        Fault::LostAnswer => {
            answer(state);
            thread::sleep(SILENCE);
            return (NO_ANSWER, String::new());
        }
    }
    loop {
        let mut state = state.lock().expect("the lock is not poisoned");
        if state.behavior == Behavior::Crashed {
            return (NO_ANSWER, String::new());
        }
        let acknowledged = body["ack-seq"].as_u64().unwrap_or(u64::MAX);
        let has_new_ends = state
            .ended
            .iter()
            .any(|(number, ..)| *number > acknowledged);
        if has_new_ends || start.elapsed() >= wait {
            state.tick();
            let (status, answer) = state.answer(path, &body);
            return (status, answer.to_string());
        }
        drop(state);
        thread::sleep(Duration::from_millis(1));
    }
}

/// What goes wrong with an order; in each case but the first it gets no answer.
enum Fault {
    None,
    Delay(Duration),
    LostAnswer,
}

/// Counts an order and returns its fault.
fn fault(state: &Mutex<State>, path: &str) -> Fault {
    let mut state = state.lock().expect("the lock is not poisoned");
    state.orders += 1;
    let is_start = path == "/-/run-start";
    state.starts += u64::from(is_start);
    let every_second_start = is_start && state.starts.is_multiple_of(2);
    match state.behavior {
        Behavior::Late if state.orders.is_multiple_of(8) => Fault::Delay(ORDER_DELAY),
        Behavior::LateStarts if every_second_start => Fault::Delay(ORDER_DELAY),
        Behavior::Reorders if every_second_start => Fault::Delay(SHORT_ORDER_DELAY),
        Behavior::LosesAnswers if every_second_start => Fault::LostAnswer,
        Behavior::Mute => Fault::LostAnswer,
        _ => Fault::None,
    }
}

/// Sends heartbeats to the agent until the worker is dropped.
fn send_heartbeats(state: &Mutex<State>, agent: &str, address: &str) {
    loop {
        let (id, body) = {
            let mut state = state.lock().expect("the lock is not poisoned");
            if state.stopped {
                return;
            }
            state.heartbeats += 1;
            let body = json!({
                "service": "desk", "address": address, "zone": "d", "version": "v1", "slots": 8,
                "state": if state.ready { "ready" } else { "draining" }, "cold-remaining-ms": 0,
                "capacity": { "cpu": CPU_CAPACITY, "mem-mb": 65_536, "gpu": 0 }, "labels": state.labels,
                "clock-ms": millis(state.clock()), "seq": state.heartbeats, "born": state.born,
            });
            (state.behavior != Behavior::Crashed && !state.silent)
                .then(|| (state.id.clone(), body))
                .unzip()
        };
        if let (Some(id), Some(body)) = (id, body) {
            // The agent may be down for now, so errors are ignored.
            let url = format!("http://{agent}/-/instances/{id}/heartbeat");
            let request = Request::builder().method("POST").uri(url);
            let request = request.body(Body::from(body.to_string()));
            let client = oxhttp::Client::new().with_global_timeout(HEARTBEAT_TIMEOUT);
            let _ = client.request(request.expect("a valid request"));
        }
        thread::sleep(HEARTBEAT_INTERVAL);
    }
}

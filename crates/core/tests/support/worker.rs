//! A simulated worker of the platform: it runs tasks under a lease by its own clock,
//! and takes orders from its agent only.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request};
use serde_json::{json, Value};

use super::observations::Observations;
use super::{FakeServer, Listener, Process, NO_ANSWER};

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
/// Time from the start of a deadly task to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(5);
/// Time for which a worker is down after such a crash.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);
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
    /// Running tasks make no progress.
    Hangs,
    /// The worker's timer doesn't fire, as on a host without free processors: nothing
    /// makes progress, and the end of the lease passes unnoticed.
    Stalled,
    /// The worker is down: its runs are lost and it answers nothing.
    Crashed,
    /// Every eighth order is carried out two seconds late and gets no answer.
    Late,
    /// Every second start is carried out after the stop that follows it, and gets no
    /// answer.
    Reorders,
    /// Every second start is carried out and its answer is lost.
    LosesAnswers,
}

/// A task that runs at a worker.
#[derive(Debug)]
struct Run {
    run_id: u64,
    work: Duration,
    progress: Duration,
}

#[derive(Debug)]
struct State {
    id: String,
    /// A kind, which alternates between `a` and `b`, and a rack of its own.
    labels: [String; 2],
    /// Number of this life of the worker; it rises with each restart.
    born: u64,
    /// Zero of the worker's clock.
    clock_start: Instant,
    last_tick: Instant,
    behavior: Behavior,
    ready: bool,
    /// Whether it sends no heartbeats.
    silent: bool,
    /// Whether its system has ended, so that its threads are to end.
    stopped: bool,
    /// Highest fencing token received; orders with a lower one are refused.
    fencing_token: u64,
    /// Time by the worker's clock at which its runs lapse.
    lease_until: Duration,
    running: BTreeMap<String, Run>,
    /// Highest number of a run that was stopped or has ended, by task. Starts up to it
    /// are refused.
    finished: BTreeMap<String, u64>,
    /// Ends that the agent has not acknowledged: sequence number, task, run id and how
    /// the run ended.
    ended: Vec<(u64, String, u64, &'static str)>,
    /// Sequence number of the last end.
    last_end: u64,
    heartbeats: u64,
    orders: u64,
    /// Number of orders so far that were starts.
    starts: u64,
    /// When the worker crashes, since it has started a deadly task.
    crashes_at: Option<Instant>,
    /// When it is up again after that.
    restarts_at: Option<Instant>,
    observed: Arc<Mutex<Observations>>,
}

impl State {
    /// Time by the worker's clock, which begins at zero in each life.
    fn clock(&self) -> Duration {
        self.clock_start.elapsed()
    }

    /// Advances the runs, and ends those that are done, fail or have lost their lease.
    fn tick(&mut self) {
        if self.behavior == Behavior::Stalled {
            return;
        }
        let step = self.last_tick.elapsed();
        self.last_tick = Instant::now();
        if self.behavior != Behavior::Hangs {
            self.running
                .values_mut()
                .for_each(|run| run.progress += step);
        }
        let lapsed = self.clock() > self.lease_until;
        let ending = |run: &Run| match (lapsed, self.behavior) {
            (true, _) => Some("lapsed"),
            (_, Behavior::Fails) => Some("failed"),
            _ => (run.progress >= run.work).then_some("done"),
        };
        let ended = self
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), ending(run)?)));
        let ended: Vec<_> = ended.collect();
        for (task, ending) in ended {
            self.end_run(&task, ending);
        }
    }

    /// Ends the run of a task, if there is one, and records the end for the agent.
    fn end_run(&mut self, task: &str, ending: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.record_finished(task, run.run_id);
        self.last_end += 1;
        self.ended
            .push((self.last_end, task.to_owned(), run.run_id, ending));
        let mut observed = self.observed.lock().expect("the lock is not poisoned");
        *observed.ends.entry(ending).or_default() += 1;
        if ending == "done" {
            observed.done.insert(task.to_owned());
        }
        observed.record_end(task, &self.id);
    }

    fn record_finished(&mut self, task: &str, run_id: u64) {
        let highest = self.finished.entry(task.to_owned()).or_default();
        *highest = run_id.max(*highest);
    }

    /// Stops a run of a task, or an earlier one that still runs. If the run is not there
    /// yet, its start is refused from now on.
    fn stop(&mut self, body: &Value) {
        let task = body["task"].as_str().expect("a task name");
        let run_id = body["run-id"].as_u64().expect("a run id");
        self.record_finished(task, run_id);
        if self
            .running
            .get(task)
            .is_some_and(|run| run.run_id <= run_id)
        {
            self.end_run(task, "stopped");
        }
    }

    /// Ends all runs as lost, without a record for the agent.
    fn lose_runs(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, "lost");
        }
        self.ended.clear();
    }

    /// Crashes the worker if it has started a deadly task, and restarts it later.
    fn crash_or_restart(&mut self, listener: &Listener) {
        let due = |at: Option<Instant>| at.is_some_and(|at| at <= Instant::now());
        if due(self.crashes_at) {
            self.crashes_at = None;
            listener.close();
            self.record_crash();
            self.lose_runs();
            self.behavior = Behavior::Crashed;
            self.restarts_at = Some(Instant::now() + RESTART_DELAY);
        }
        if due(self.restarts_at) {
            self.restarts_at = None;
            listener.reopen();
            self.restart();
        }
    }

    fn record_crash(&self) {
        let mut observed = self.observed.lock().expect("the lock is not poisoned");
        for task in self.running.keys() {
            *observed.crashes.entry(task.clone()).or_default() += 1;
        }
    }

    /// Begins a new life under the same id, without any state of the former one.
    fn restart(&mut self) {
        self.lose_runs();
        self.finished.clear();
        self.born += 1;
        self.clock_start = Instant::now();
        (self.fencing_token, self.lease_until) = (0, Duration::ZERO);
        (self.last_end, self.heartbeats) = (0, 0);
        self.crashes_at = None;
        self.behavior = Behavior::Normal;
    }

    /// Carries an order out and returns status and body of the answer.
    fn answer(&mut self, path: &str, body: &Value) -> (u16, Value) {
        if body["fencing-token"].as_u64().unwrap_or(0) < self.fencing_token {
            return (
                409,
                json!({ "clock-ms": millis(self.clock()), "reason": "fence" }),
            );
        }
        self.fencing_token = body["fencing-token"].as_u64().unwrap_or(0);
        let until = body["deadline-ms"].as_u64().map(Duration::from_millis);
        let longest = self.clock() + Duration::from_secs(1);
        self.lease_until = self.lease_until.max(until.unwrap_or_default().min(longest));
        let mut observed = self.observed.lock().expect("the lock is not poisoned");
        let lease_end = self.clock_start + self.lease_until;
        observed.lease_ends.insert(self.id.clone(), lease_end);
        drop(observed);
        let clock = json!(millis(self.clock()));
        match path {
            "/-/run-start" => match self.start(body) {
                None => (200, json!({ "clock-ms": clock, "born": self.born })),
                Some(reason) => (409, json!({ "clock-ms": clock, "reason": reason })),
            },
            "/-/run-stop" => {
                self.stop(body);
                (200, json!({ "clock-ms": clock, "born": self.born }))
            }
            _ => (200, self.list_runs(body["ack-seq"].as_u64().unwrap_or(0))),
        }
    }

    /// Starts a task unless it runs already; returns the reason of a refusal.
    fn start(&mut self, body: &Value) -> Option<&'static str> {
        let task = body["task"].as_str().expect("a task name").to_owned();
        let run_id = body["run-id"].as_u64().expect("a run id");
        if body["deadline-ms"]
            .as_u64()
            .is_some_and(|ms| ms < millis(self.clock()))
        {
            return Some("late");
        }
        if self.running.contains_key(&task) {
            return None;
        }
        if self.finished.get(&task).is_some_and(|run| *run >= run_id) {
            return Some("old");
        }
        let mut observed = self.observed.lock().expect("the lock is not poisoned");
        observed.record_start(&task, run_id, &self.id, self.running.keys());
        if observed.deadly.contains(&task) {
            self.crashes_at = Some(Instant::now() + CRASH_DELAY);
        }
        let work: u64 = body["spec"]
            .as_str()
            .and_then(|ms| ms.parse().ok())
            .expect("the run time in milliseconds");
        let run = Run {
            run_id,
            work: Duration::from_millis(work),
            progress: Duration::ZERO,
        };
        drop(observed);
        self.running.insert(task, run);
        None
    }

    /// Lists current runs and ends, without the ends up to the acknowledged number.
    fn list_runs(&mut self, acknowledged: u64) -> Value {
        self.ended.retain(|(number, ..)| *number > acknowledged);
        let percent = |run: &Run| 100 * run.progress.as_millis() / run.work.as_millis().max(1);
        let running = self.running.iter();
        let running: Vec<Value> = running
            .map(|(task, run)| json!([task, run.run_id, "", percent(run) as u64]))
            .collect();
        let ended = self.ended.iter();
        let ended: Vec<Value> = ended
            .map(|(number, task, run, ending)| json!([number, task, run, ending, ""]))
            .collect();
        let clock = millis(self.clock());
        json!({ "clock-ms": clock, "born": self.born, "running": running, "ended-runs": ended })
    }
}

/// A simulated worker and the real process of its agent.
pub(crate) struct Worker {
    pub(crate) agent: Process,
    pub(crate) agent_http: String,
    pub(crate) agent_peer: String,
    settings: Value,
    state: Arc<Mutex<State>>,
    /// Takes the orders of the agent.
    _server: FakeServer,
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
        let state = Arc::new(Mutex::new(State {
            id: format!("i-{index}"),
            labels: [["a", "b"][index % 2].to_owned(), format!("r{index}")],
            born: 1_000,
            clock_start: Instant::now(),
            last_tick: Instant::now(),
            behavior: Behavior::Normal,
            ready: true,
            silent: false,
            stopped: false,
            fencing_token: 0,
            lease_until: Duration::ZERO,
            running: BTreeMap::new(),
            finished: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            heartbeats: 0,
            orders: 0,
            starts: 0,
            crashes_at: None,
            restarts_at: None,
            observed: observed.clone(),
        }));
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
            _server: server,
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

    /// Restarts the worker under the same id, without any state of its former life.
    pub(crate) fn restart_worker(&self) {
        let mut state = self.state.lock().expect("the lock is not poisoned");
        state.restart();
    }

    /// Sets whether the worker sends no heartbeats.
    pub(crate) fn set_silent(&self, silent: bool) {
        self.state.lock().expect("the lock is not poisoned").silent = silent;
    }

    /// Makes the worker report that it is draining.
    pub(crate) fn drain(&self) {
        self.state.lock().expect("the lock is not poisoned").ready = false;
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
        self.agent.kill();
        self.agent.wait();
        self.settings["agent"]["http"] = json!(self.agent_http);
        self.settings["agent"]["peer"] = json!(self.agent_peer);
        self.agent = Process::start_with_settings(&self.settings);
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
        Behavior::Reorders if every_second_start => Fault::Delay(SHORT_ORDER_DELAY),
        Behavior::LosesAnswers if every_second_start => Fault::LostAnswer,
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

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! A worker of the platform's stand-in: it runs tasks under leases, on its own
//! clock, and takes orders from the agent beside it only.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request};
use serde_json::{json, Value};

use super::{Fake, Process, NO_ANSWER};

const HEARTBEAT: Duration = Duration::from_millis(200);
const LATE: Duration = Duration::from_secs(2);
const TICK: Duration = Duration::from_millis(5);
const CORES: u64 = 32_000;

/// How a worker misbehaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Mood {
    #[default]
    Sound,
    /// Everything that starts fails at once.
    Fails,
    /// Nothing that runs gets any further.
    Hangs,
    /// Nothing is answered, and nothing runs any more.
    Dead,
    /// Each eighth order gets no answer and is carried out two seconds later.
    Late,
}

/// One run at a worker.
#[derive(Debug)]
struct Running {
    number: u64,
    work: Duration,
    done: Duration,
}

/// What all workers have seen of a task.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Starts, by task.
    pub(crate) starts: BTreeMap<String, u64>,
    /// Tasks that ran at two places at once.
    pub(crate) twice: BTreeSet<String>,
    running: BTreeMap<String, u64>,
    /// Ends, by how they came about.
    pub(crate) ends: BTreeMap<&'static str, u64>,
    /// Tasks that have ended done.
    pub(crate) done: BTreeSet<String>,
}

#[derive(Debug)]
struct State {
    id: String,
    /// Its kind, a or b by turns, and its rack, one for each worker.
    labels: [String; 2],
    born: u64,
    origin: Instant,
    ticked: Instant,
    mood: Mood,
    ready: bool,
    token: u64,
    lease: Duration,
    running: BTreeMap<String, Running>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
    beats: u64,
    orders: u64,
    seen: Arc<Mutex<Seen>>,
}

impl State {
    fn clock(&self) -> Duration {
        self.origin.elapsed()
    }

    fn tick(&mut self) {
        let step = self.ticked.elapsed();
        self.ticked = Instant::now();
        if self.mood != Mood::Hangs {
            self.running.values_mut().for_each(|run| run.done += step);
        }
        let lapsed = self.clock() > self.lease;
        let how = |run: &Running| match (lapsed, self.mood) {
            (true, _) => Some("lapsed"),
            (_, Mood::Fails) => Some("failed"),
            _ => (run.done >= run.work).then_some("done"),
        };
        let over = self
            .running
            .iter()
            .filter_map(|(task, run)| Some((task.clone(), how(run)?)));
        let over: Vec<_> = over.collect();
        for (task, how) in over {
            self.end(&task, how);
        }
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        self.ends += 1;
        self.ended
            .push((self.ends, task.to_owned(), run.number, how));
        let mut seen = self.seen.lock().expect("lock");
        *seen.ends.entry(how).or_default() += 1;
        if how == "done" {
            seen.done.insert(task.to_owned());
        }
        *seen.running.entry(task.to_owned()).or_default() -= 1;
    }

    fn die(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end(&task, "lost");
        }
        self.ended.clear();
    }

    fn answer(&mut self, path: &str, body: &Value) -> (u16, Value) {
        if body["fencing-token"].as_u64().unwrap_or(0) < self.token {
            return (
                409,
                json!({ "clock-ms": millis(self.clock()), "reason": "fence" }),
            );
        }
        self.token = body["fencing-token"].as_u64().unwrap_or(0);
        let until = body["deadline-ms"].as_u64().map(Duration::from_millis);
        let longest = self.clock() + Duration::from_secs(1);
        self.lease = self.lease.max(until.unwrap_or_default().min(longest));
        let clock = json!(millis(self.clock()));
        match path {
            "/-/run-start" => match self.start(body) {
                None => (200, json!({ "clock-ms": clock, "born": self.born })),
                Some(reason) => (409, json!({ "clock-ms": clock, "reason": reason })),
            },
            "/-/run-stop" => {
                self.end(body["task"].as_str().expect("task"), "stopped");
                (200, json!({ "clock-ms": clock, "born": self.born }))
            }
            _ => (200, self.list(body["ack-seq"].as_u64().unwrap_or(0))),
        }
    }

    fn start(&mut self, body: &Value) -> Option<&'static str> {
        let task = body["task"].as_str().expect("task").to_owned();
        let number = body["run-id"].as_u64().expect("run");
        if body["deadline-ms"]
            .as_u64()
            .is_some_and(|ms| ms < millis(self.clock()))
        {
            return Some("late");
        }
        if self.running.contains_key(&task) {
            return None;
        }
        let mut seen = self.seen.lock().expect("lock");
        *seen.starts.entry(task.clone()).or_default() += 1;
        let running = seen.running.entry(task.clone()).or_default();
        *running += 1;
        if *running > 1 {
            seen.twice.insert(task.clone());
        }
        let work: u64 = body["spec"]
            .as_str()
            .and_then(|ms| ms.parse().ok())
            .expect("spec");
        let run = Running {
            number,
            work: Duration::from_millis(work),
            done: Duration::ZERO,
        };
        drop(seen);
        self.running.insert(task, run);
        None
    }

    fn list(&mut self, seen: u64) -> Value {
        self.ended.retain(|(number, ..)| *number > seen);
        let percent = |run: &Running| 100 * run.done.as_millis() / run.work.as_millis().max(1);
        let running = self.running.iter();
        let running: Vec<Value> = running
            .map(|(task, run)| json!([task, run.number, "", percent(run) as u64]))
            .collect();
        let ended = self.ended.iter();
        let ended: Vec<Value> = ended
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        let clock = millis(self.clock());
        json!({ "clock-ms": clock, "born": self.born, "running": running, "ended-runs": ended })
    }
}

/// A worker and the agent beside it.
pub(crate) struct Worker {
    pub(crate) agent: Process,
    pub(super) agent_http: String,
    agent_peer: String,
    settings: Value,
    state: Arc<Mutex<State>>,
    _server: Fake,
}

impl Worker {
    pub(super) fn start(
        index: usize,
        control: &[String],
        log: &Value,
        seen: &Arc<Mutex<Seen>>,
    ) -> Worker {
        let settings = json!({
            "name": format!("agent-{index}"), "data_center": "d", "rack": "r", "region": "x",
            "control": control, "log": log,
            "agent": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0", "dialect": "platform" },
        });
        let agent = Process::with_settings(&settings);
        let agent_http = agent.listening("agent-http").to_string();
        let agent_peer = agent.listening("agent-peer").to_string();
        let state = Arc::new(Mutex::new(State {
            id: format!("i-{index}"),
            labels: [["a", "b"][index % 2].to_owned(), format!("r{index}")],
            born: 1_000,
            origin: Instant::now(),
            ticked: Instant::now(),
            mood: Mood::Sound,
            ready: true,
            token: 0,
            lease: Duration::ZERO,
            running: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
            beats: 0,
            orders: 0,
            seen: seen.clone(),
        }));
        let served = state.clone();
        let server = Fake::start(move |request| serve(&served, request));
        let (beating, to) = (state.clone(), agent_http.clone());
        let address = server.address.to_string();
        thread::spawn(move || beat(&beating, &to, &address));
        let ticking = state.clone();
        thread::spawn(move || loop {
            thread::sleep(TICK);
            ticking.lock().expect("lock").tick();
        });
        Worker {
            agent,
            agent_http,
            agent_peer,
            settings,
            state,
            _server: server,
        }
    }

    /// Changes how the worker behaves.
    pub(crate) fn set(&self, mood: Mood) {
        let mut state = self.state.lock().expect("lock");
        state.mood = mood;
        if mood == Mood::Dead {
            state.die();
        }
    }

    /// Begins another life of the worker, which knows nothing of before.
    pub(crate) fn revive(&self) {
        let mut state = self.state.lock().expect("lock");
        state.die();
        state.born += 1;
        state.origin = Instant::now();
        (state.token, state.lease) = (0, Duration::ZERO);
        (state.ends, state.beats) = (0, 0);
        state.mood = Mood::Sound;
    }

    /// Says that the worker leaves.
    pub(crate) fn drain(&self) {
        self.state.lock().expect("lock").ready = false;
    }

    /// Tasks of a job that run here now.
    pub(crate) fn running_of(&self, prefix: &str) -> usize {
        let state = self.state.lock().expect("lock");
        let tasks = state.running.keys();
        tasks.filter(|task| task.starts_with(prefix)).count()
    }

    /// Tasks that run here now.
    pub(crate) fn running(&self) -> usize {
        self.state.lock().expect("lock").running.len()
    }

    /// Kills the agent's process and starts another one at the same addresses.
    pub(crate) fn restart_agent(&mut self) {
        self.agent.kill();
        self.agent.wait();
        self.settings["agent"]["http"] = json!(self.agent_http);
        self.settings["agent"]["peer"] = json!(self.agent_peer);
        self.agent = Process::with_settings(&self.settings);
    }
}

fn serve(state: &Mutex<State>, request: &str) -> (u16, String) {
    let mut words = request.splitn(3, ' ');
    let (path, body) = (
        words.nth(1).unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let body: Value = serde_json::from_str(body).expect("JSON");
    let wait = Duration::from_millis(body["wait-ms"].as_u64().unwrap_or(0));
    let start = Instant::now();
    if is_held_up(state) {
        thread::sleep(LATE);
        state.lock().expect("lock").answer(path, &body);
        return (NO_ANSWER, String::new());
    }
    loop {
        let mut state = state.lock().expect("lock");
        if state.mood == Mood::Dead {
            return (NO_ANSWER, String::new());
        }
        let seen = body["ack-seq"].as_u64().unwrap_or(u64::MAX);
        let news = state.ended.iter().any(|(number, ..)| *number > seen);
        if news || start.elapsed() >= wait {
            state.tick();
            let (status, answer) = state.answer(path, &body);
            return (status, answer.to_string());
        }
        drop(state);
        thread::sleep(Duration::from_millis(1));
    }
}

/// Whether an order is carried out late and not answered.
fn is_held_up(state: &Mutex<State>) -> bool {
    let mut state = state.lock().expect("lock");
    state.orders += 1;
    state.mood == Mood::Late && state.orders.is_multiple_of(8)
}

fn beat(state: &Mutex<State>, agent: &str, address: &str) {
    loop {
        let (id, body) = {
            let mut state = state.lock().expect("lock");
            state.beats += 1;
            let body = json!({
                "service": "desk", "address": address, "zone": "d", "version": "v1", "slots": 8,
                "state": if state.ready { "ready" } else { "draining" }, "cold-remaining-ms": 0,
                "capacity": { "cpu": CORES, "mem-mb": 65_536, "gpu": 0 }, "labels": state.labels,
                "clock-ms": millis(state.clock()), "seq": state.beats, "born": state.born,
            });
            (state.mood != Mood::Dead)
                .then(|| (state.id.clone(), body))
                .unzip()
        };
        if let (Some(id), Some(body)) = (id, body) {
            // The agent may be down; the next heartbeat finds it again.
            let url = format!("http://{agent}/-/instances/{id}/heartbeat");
            let request = Request::builder().method("POST").uri(url);
            let request = request.body(Body::from(body.to_string()));
            let _ = oxhttp::Client::new().request(request.expect("request"));
        }
        thread::sleep(HEARTBEAT);
    }
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

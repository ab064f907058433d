//! A stand-in of the platform: workers that run tasks under leases, the operator
//! and the callers, over the published protocol.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use oxhttp::model::{Body, Request, StatusCode};
use serde_json::{json, Value};

use super::system::poll;
use super::{call, output, text, Fake, Process, NO_ANSWER};

/// The host that callers name; the client takes it from the address.
const HOST: &str = "127.0.0.1";
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
    agent_http: String,
    agent_peer: String,
    settings: Value,
    state: Arc<Mutex<State>>,
    _server: Fake,
}

impl Worker {
    fn start(index: usize, control: &[String], log: &Value, seen: &Arc<Mutex<Seen>>) -> Worker {
        let settings = json!({
            "name": format!("agent-{index}"), "data_center": "d", "rack": "r", "region": "x",
            "control": control, "log": log,
            "agent": { "http": "127.0.0.1:0", "peer": "127.0.0.1:0", "dialect": "platform" },
        });
        let agent = run(&settings);
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
        self.agent = run(&self.settings);
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

/// Three control instances that form by themselves, entries, and workers with
/// an agent each.
pub(crate) struct Platform {
    pub(crate) controls: Vec<Process>,
    pub(crate) entries: Vec<Process>,
    pub(crate) workers: Vec<Worker>,
    pub(crate) seen: Arc<Mutex<Seen>>,
    entry_https: Vec<String>,
    entry_ready: String,
    control_https: Vec<String>,
    control_settings: Vec<Value>,
    entry_settings: Vec<Value>,
    folders: Vec<tempfile::TempDir>,
    logs: tempfile::TempDir,
}

impl Platform {
    /// Starts everything, puts a configuration, and waits until it serves.
    pub(crate) fn start(workers: usize, entries: usize) -> Platform {
        Platform::with_entry_log(workers, entries, None)
    }

    /// The same, where the entries write their logs to `entry_log`.
    pub(crate) fn with_entry_log(
        workers: usize,
        entries: usize,
        entry_log: Option<&Path>,
    ) -> Platform {
        let [http, peer] = free_ports();
        let host = |index: usize| format!("127.0.1.{}", index + 1);
        let seeds: Vec<String> = (0..3).map(|i| format!("{}:{peer}", host(i))).collect();
        let mut platform = Platform {
            controls: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            seen: Arc::default(),
            entry_https: Vec::new(),
            entry_ready: String::new(),
            control_https: (0..3).map(|i| format!("{}:{http}", host(i))).collect(),
            control_settings: Vec::new(),
            entry_settings: Vec::new(),
            folders: Vec::new(),
            logs: tempfile::tempdir().expect("temporary folder"),
        };
        for (index, seed) in seeds.iter().enumerate() {
            let folder = tempfile::tempdir().expect("temporary folder");
            let settings = json!({
                "name": format!("control-{index}"), "data_center": "d", "rack": "r",
                "region": "x", "control": seeds, "log": platform.log("control", index),
                "controller": {
                    "http": platform.control_https[index], "peer": seed, "dialect": "platform",
                    "data": folder.path().join("control"), "found": true, "tolerates": 1,
                },
            });
            platform.controls.push(run(&settings));
            platform.control_settings.push(settings);
            platform.folders.push(folder);
        }
        for index in 0..workers {
            let log = platform.log("agent", index);
            let worker = Worker::start(index, &seeds, &log, &platform.seen);
            platform.workers.push(worker);
        }
        for index in 0..entries {
            let mut log = platform.log("entry", index);
            if let Some(path) = entry_log {
                log["file"] = json!(path);
            }
            let mut settings = json!({
                "name": format!("entry-{index}"), "data_center": "d", "rack": "r", "region": "x",
                "control": seeds, "log": log,
                "entry": {
                    "http": "127.0.0.1:0", "ready": "127.0.0.1:0", "dialect": "platform",
                    "drain_timeout": "6s",
                },
            });
            let entry = run(&settings);
            let address = entry.listening("entry-http").to_string();
            platform.entry_https.push(address);
            platform.entry_ready = entry.listening("entry-ready").to_string();
            settings["entry"]["http"] = json!(platform.entry_https[index]);
            settings["entry"]["ready"] = json!(platform.entry_ready);
            platform.entry_settings.push(settings);
            platform.entries.push(entry);
        }
        platform.put(2, 1_500);
        (0..entries).for_each(|entry| platform.wait_until_served(entry));
        platform
    }

    /// Where a process writes its log, of every request.
    fn log(&self, role: &str, index: usize) -> Value {
        let path = self.logs.path().join(format!("{role}-{index}.log"));
        json!({ "format": "json", "sample": 1, "file": path })
    }

    /// What the logs of all processes tell of a request, as on-call engineers
    /// read it: its lines in their order, once one of them tells `event`.
    pub(crate) fn explain(&self, id: &str, event: &str) -> Vec<Value> {
        let files = std::fs::read_dir(self.logs.path()).expect("folder");
        let files = files.map(|file| file.expect("file").path().display().to_string());
        let files: Vec<String> = files.collect();
        let mut args = vec!["explain", id];
        args.extend(files.iter().map(String::as_str));
        poll(|| {
            let told = output(&args);
            let lines = text(&told.stdout);
            let lines = lines
                .lines()
                .filter_map(|line| serde_json::from_str(line).ok());
            let lines: Vec<Value> = lines.collect();
            lines
                .iter()
                .any(|line| line["event"] == event)
                .then_some(lines)
        })
    }

    /// Where an entry tells its metrics.
    pub(crate) fn entry_metrics(&self) -> String {
        format!("http://{}/metrics", self.entry_ready)
    }

    /// The metrics of an agent and of an entry.
    pub(crate) fn metrics(&self) -> String {
        let agent = format!("http://{}/metrics", self.workers[0].agent_http);
        let pages = [agent, self.entry_metrics()].map(|url| call("GET", &url, &[], ""));
        pages.map(|(_, page)| page).concat()
    }

    /// Waits until an entry serves with all workers.
    pub(crate) fn wait_until_served(&self, entry: usize) {
        let enough = 10 * self.workers.len();
        poll(|| {
            // Long enough for the stand-in's ticks not to look like a slow worker.
            let (status, _) = self.submit(entry, "00000000000000aa", enough, 200);
            (status == 200).then_some(())
        });
    }

    /// Puts a configuration until it is acknowledged, as operators do.
    pub(crate) fn put(&self, version: u64, timeout: u64) {
        let body = config(version, timeout).to_string();
        let mut turn = 0;
        poll(|| {
            turn += 1;
            (self.control(turn % 3, "POST", "/-/config/put", &body).0 == 200).then_some(())
        });
    }

    /// Calls a control instance and follows where it sends.
    pub(crate) fn control(&self, at: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        operate(&self.control_https[at], method, path, body)
    }

    /// The configuration that a control instance reads back, once one does.
    pub(crate) fn read_back(&self) -> Value {
        let mut turn = 0;
        poll(|| {
            turn += 1;
            let (status, body) = self.control(turn % 3, "GET", "/-/config/get", "");
            (status == 200).then(|| serde_json::from_str(&body).expect("JSON"))
        })
    }
    /// Hands a job of `count` tasks of `millis` in; status and body.
    pub(crate) fn submit(
        &self,
        entry: usize,
        id: &str,
        count: usize,
        millis: u64,
    ) -> (u16, String) {
        let job = json!({
            "spec": millis.to_string(), "best-effort": true,
            "steps": [{ "count": count, "cpu": 3_000, "mem-mb": 64, "estimate-ms": millis }],
        });
        self.call(entry, "POST", &format!("/q/{id}"), &job.to_string())
    }

    /// The same, while the test goes on.
    pub(crate) fn spawn_submit(
        &self,
        entry: usize,
        id: &'static str,
        count: usize,
        millis: u64,
    ) -> JoinHandle<(u16, String)> {
        let step = json!({ "count": count, "cpu": 3_000, "mem-mb": 64, "estimate-ms": millis });
        self.spawn_steps(entry, id, millis, json!([step]))
    }

    /// Hands a job of several steps in, whose tasks all take `millis`.
    pub(crate) fn spawn_steps(
        &self,
        entry: usize,
        id: &'static str,
        millis: u64,
        steps: Value,
    ) -> JoinHandle<(u16, String)> {
        let address = self.entry_https[entry].clone();
        let job = json!({ "spec": millis.to_string(), "best-effort": true, "steps": steps });
        let url = format!("http://{address}/q/{id}");
        thread::spawn(move || {
            let headers = [("deadline-ms", "10000")];
            let (status, body): (StatusCode, String) =
                call("POST", &url, &headers, &job.to_string());
            (status.as_u16(), body)
        })
    }

    /// Hands a job in and breaks the connection off while it runs.
    pub(crate) fn submit_and_leave(&self, entry: usize, id: &str, job: &Value) {
        let body = job.to_string();
        let mut stream = TcpStream::connect(&self.entry_https[entry]).expect("connection");
        let head = format!(
            "POST /q/{id} HTTP/1.1\r\nhost: {HOST}\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        stream
            .write_all((head + &body).as_bytes())
            .expect("request");
        poll(|| (self.running() > 0).then_some(()));
    }

    /// Calls an entry.
    pub(crate) fn call(&self, entry: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let url = format!("http://{}{path}", self.entry_https[entry]);
        let headers = [("deadline-ms", "10000")];
        let (status, answer) = call(method, &url, &headers, body);
        (status.as_u16(), answer)
    }

    /// Tasks that run at any worker now.
    pub(crate) fn running(&self) -> usize {
        self.workers.iter().map(Worker::running).sum()
    }

    /// Kills an entry and starts it again at the same addresses.
    pub(crate) fn restart_entry(&mut self, at: usize) {
        self.entries[at].kill();
        self.entries[at].wait();
        self.entries[at] = run(&self.entry_settings[at]);
    }

    /// Settings of a further entry, at free ports.
    pub(crate) fn further_entry(&self) -> Value {
        let mut settings = self.entry_settings[0].clone();
        settings["name"] = json!("entry-further");
        settings["log"] = self.log("entry", self.entries.len());
        for address in ["http", "ready"] {
            settings["entry"][address] = json!("127.0.0.1:0");
        }
        settings
    }

    /// Kills a control instance and starts it again with its data.
    pub(crate) fn restart_control(&mut self, at: usize) {
        self.controls[at].kill();
        self.controls[at].wait();
        self.controls[at] = run(&self.control_settings[at]);
    }

    /// Where entries take calls.
    pub(crate) fn entry_addresses(&self) -> Vec<String> {
        self.entry_https.clone()
    }

    /// Where control instances take the calls of other processes.
    pub(crate) fn control_peers(&self) -> Vec<String> {
        let peers = self.control_settings.iter();
        let peers = peers.map(|settings| settings["controller"]["peer"].as_str());
        peers
            .map(|peer| peer.expect("an address").to_owned())
            .collect()
    }

    /// Where control instances take operators' calls.
    pub(crate) fn control_addresses(&self) -> Vec<String> {
        self.control_https.clone()
    }

    /// Kills a control instance, deletes its data and starts it again.
    pub(crate) fn lose_disk(&mut self, at: usize) {
        self.controls[at].kill();
        self.controls[at].wait();
        self.folders[at] = tempfile::tempdir().expect("temporary folder");
        let section = &mut self.control_settings[at]["controller"];
        section["data"] = json!(self.folders[at].path().join("control"));
        section["found"] = json!(false);
        self.controls[at] = run(&self.control_settings[at]);
    }

    /// Kills a control instance for good and starts another one, without data, at
    /// an address that no settings name.
    pub(crate) fn replace_control(&mut self, at: usize) {
        self.controls[at].kill();
        self.controls[at].wait();
        let next = format!("127.0.1.{}", self.controls.len() + at + 1);
        let moved = |address: &str| {
            let (_, port) = address.split_once(':').expect("an address");
            format!("{next}:{port}")
        };
        self.folders[at] = tempfile::tempdir().expect("temporary folder");
        self.control_https[at] = moved(&self.control_https[at]);
        let settings = &mut self.control_settings[at];
        settings["name"] = json!(format!("control-{at}-next"));
        let section = &mut settings["controller"];
        section["http"] = json!(self.control_https[at]);
        section["peer"] = json!(moved(section["peer"].as_str().expect("an address")));
        section["data"] = json!(self.folders[at].path().join("control"));
        section["found"] = json!(false);
        self.controls[at] = run(settings);
    }

    /// Voters as a control instance lists them.
    pub(crate) fn voters(&self, at: usize) -> Vec<String> {
        let (_, body) = self.control(at, "GET", "/v1/members", "");
        let status: Value = serde_json::from_str(&body).unwrap_or_default();
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let voters = members.iter().filter(|member| member["voter"] == true);
        voters.map(|member| member["id"].to_string()).collect()
    }
}

/// Calls the control instance at an address and follows where it sends.
pub(crate) fn operate(address: &str, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut url = format!("http://{address}{path}");
    for _ in 0..3 {
        let client = oxhttp::Client::new().with_global_timeout(Duration::from_secs(2));
        let request = Request::builder().method(method).uri(&url);
        let request = request.body(Body::from(body.to_owned())).expect("request");
        let answer = match client.request(request) {
            Ok(answer) => answer,
            Err(error) => return (NO_ANSWER, error.to_string()),
        };
        let status = answer.status().as_u16();
        let location = answer.headers().get("location").cloned();
        match location {
            Some(to) if status == 307 => url = to.to_str().expect("text").to_owned(),
            _ => return (status, answer.into_body().to_string().unwrap_or_default()),
        }
    }
    (
        NO_ANSWER,
        format!("too many redirections, the last to {url}"),
    )
}

/// A whole configuration with one queue.
pub(crate) fn config(version: u64, timeout: u64) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "q", "host": HOST, "path-prefix": "/q/", "kind": "unsafe",
            "timeout-ms": timeout, "target-latency-ms": 60, "priority": 0, "service": "desk",
            "max-attempts": 3, "stretch": 1.6,
        }],
        "services": [{
            "name": "desk", "health-path": "/health", "max-conns": 64, "protocol": "h1",
            "tls": false, "admission-control": true, "standby": false,
        }],
        "limits": { "max-header-bytes": 16_384, "max-body-bytes": 262_144 },
    })
}

fn run(settings: &Value) -> Process {
    let mut file = tempfile::NamedTempFile::new().expect("settings file");
    file.write_all(settings.to_string().as_bytes())
        .expect("settings");
    let path = file.path().to_str().expect("path").to_owned();
    let mut process = Process::start(&["run", "--settings", &path]);
    process.keep(file);
    process
}

/// Ports that are free at all loopback addresses.
fn free_ports() -> [u16; 2] {
    let listeners = [0; 2].map(|_| TcpListener::bind("0.0.0.0:0").expect("port"));
    listeners.map(|listener| listener.local_addr().expect("address").port())
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

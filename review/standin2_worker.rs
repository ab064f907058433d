//! A sound worker as the pages describe it: it carries orders out, keeps its lease, sends
//! heartbeats to the agent on its machine and leaves when it is told to.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::json::Json;
use crate::record::Record;

const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX: Duration = Duration::from_millis(1_000);
const STOP_GRACE: Duration = Duration::from_millis(10);

pub struct Run {
    id: u64,
    work: Duration,
    began: Instant,
}

#[derive(Default)]
struct State {
    token: u64,
    lease_until: Duration,
    running: BTreeMap<String, Run>,
    finished: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    seq: u64,
    draining: bool,
    gone: bool,
}

pub struct Worker {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub labels: String,
    pub address: SocketAddr,
    /// The control address on its machine, which the agent has.
    pub agent: SocketAddr,
    /// Time that it takes to start a task, after which it answers.
    pub start_time: Duration,
    born: Instant,
    born_ms: u128,
    state: Mutex<State>,
    ended: Condvar,
    record: Record,
}

impl Worker {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        labels: &str,
        listener: TcpListener,
        agent: SocketAddr,
        start_time: Duration,
        record: Record,
    ) -> Arc<Worker> {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            labels: labels.to_owned(),
            address: listener.local_addr().expect("the listener is bound"),
            agent,
            start_time,
            born: Instant::now(),
            born_ms: wall.expect("it is after 1970").as_millis(),
            state: Mutex::default(),
            ended: Condvar::new(),
            record,
        });
        let orders = worker.clone();
        http::serve(listener, move |request| orders.answer(request));
        let ticking = worker.clone();
        std::thread::spawn(move || ticking.tick());
        let beating = worker.clone();
        std::thread::spawn(move || beating.beat());
        worker
    }

    fn clock(&self) -> Duration {
        self.born.elapsed()
    }

    /// Ends the runs that are done or whose lease has lapsed.
    fn tick(&self) {
        loop {
            std::thread::sleep(Duration::from_millis(5));
            let mut state = self.state.lock().unwrap();
            if state.gone {
                return;
            }
            let lapsed = self.clock() > state.lease_until;
            let over = state.running.iter().filter_map(|(task, run)| {
                let done = run.began.elapsed() >= run.work;
                let how = if lapsed { "lapsed" } else { "done" };
                (lapsed || done).then(|| (task.clone(), how))
            });
            let over: Vec<(String, &'static str)> = over.collect();
            for (task, how) in over {
                self.end(&mut state, &task, how);
            }
        }
    }

    fn end(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(run) = state.running.remove(task) else {
            return;
        };
        let highest = state.finished.entry(task.to_owned()).or_default();
        *highest = run.id.max(*highest);
        state.last_end += 1;
        let end = (state.last_end, task.to_owned(), run.id, how);
        state.ended.push(end);
        self.record.end(&self.id, task, run.id, how);
        self.ended.notify_all();
    }

    /// Sends one heartbeat; returns whether it was acknowledged within a second.
    fn send_beat(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        state.seq += 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"{}\",\"cold-remaining-ms\":0,\"capacity\":{{\"cpu\":32000,\
             \"mem-mb\":65536,\"gpu\":0}},\"labels\":{},\"clock-ms\":{},\"born\":{},\"seq\":{}}}",
            self.service,
            self.address,
            self.zone,
            if state.draining { "draining" } else { "ready" },
            self.labels,
            self.clock().as_millis(),
            self.born_ms,
            state.seq
        );
        drop(state);
        let path = format!("/-/instances/{}/heartbeat", self.id);
        let answer = http::call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        answer.is_ok_and(|answer| (200..300).contains(&answer.status()))
    }

    fn beat(&self) {
        loop {
            if self.state.lock().unwrap().gone {
                return;
            }
            // Nobody may listen yet.
            let acknowledged = self.send_beat();
            let pause = if acknowledged {
                HEARTBEAT
            } else {
                HEARTBEAT / 5
            };
            std::thread::sleep(pause);
        }
    }

    /// Says that it drains, and returns once that is acknowledged.
    pub fn drain(&self) {
        self.state.lock().unwrap().draining = true;
        while !self.send_beat() {
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Leaves; all that runs here ends.
    pub fn leave(&self) {
        let path = format!("/-/instances/{}/leave", self.id);
        let body = format!("{{\"born\":{}}}", self.born_ms);
        let _ = http::call(
            self.agent,
            "POST",
            &path,
            &[],
            &body,
            Duration::from_secs(1),
        );
        let mut state = self.state.lock().unwrap();
        let tasks: Vec<String> = state.running.keys().cloned().collect();
        for task in tasks {
            self.end(&mut state, &task, "left");
        }
        state.gone = true;
    }

    fn clocked(&self, more: &str) -> String {
        let (clock, born) = (self.clock().as_millis(), self.born_ms);
        format!("{{\"clock-ms\":{clock},\"born\":{born}{more}}}")
    }

    fn refusal(&self, reason: &str) -> Option<(u16, String)> {
        Some((409, self.clocked(&format!(",\"reason\":\"{reason}\""))))
    }

    fn answer(&self, request: &Message) -> Option<(u16, String)> {
        if request.word(0) == "GET" {
            return Some((200, "{}".to_owned()));
        }
        if request
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, self.clocked("")));
        }
        let Some(body) = Json::read(&request.body) else {
            return Some((400, self.clocked("")));
        };
        let is_start = request.word(1) == "/-/run-start";
        if is_start {
            std::thread::sleep(self.start_time);
        }
        let mut state = self.state.lock().unwrap();
        if state.gone {
            return None;
        }
        let token = body.number("fencing-token").unwrap_or(0);
        if token < state.token {
            return self.refusal("fence");
        }
        state.token = token;
        let until = body.number("deadline-ms").map(Duration::from_millis);
        if let Some(until) = until {
            let until = until.min(self.clock() + HOLD_MAX);
            state.lease_until = state.lease_until.max(until);
        }
        match request.word(1) {
            "/-/run-start" => self.start_run(state, &body, until),
            "/-/run-stop" => {
                let task = body.text("task")?.to_owned();
                let id = body.number("run-id")?;
                let highest = state.finished.entry(task.clone()).or_default();
                *highest = id.max(*highest);
                if state.running.get(&task).is_some_and(|run| run.id <= id) {
                    drop(state);
                    std::thread::sleep(STOP_GRACE);
                    self.end(&mut self.state.lock().unwrap(), &task, "stopped");
                }
                Some((200, self.clocked("")))
            }
            "/-/hold" => {
                let seen = body.number("ack-seq").unwrap_or(0);
                state.ended.retain(|(number, ..)| *number > seen);
                let wait = Duration::from_millis(body.number("wait-ms").unwrap_or(0).min(2_000));
                if state.ended.is_empty() && !wait.is_zero() {
                    state = self.ended.wait_timeout(state, wait).unwrap().0;
                }
                Some((200, self.clocked(&lists(&state))))
            }
            _ => Some((404, self.clocked(""))),
        }
    }

    fn start_run(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        body: &Json,
        until: Option<Duration>,
    ) -> Option<(u16, String)> {
        let task = body.text("task")?.to_owned();
        let id = body.number("run-id")?;
        let spec = body.text("spec")?;
        if until.is_some_and(|until| until < self.clock()) {
            return self.refusal("late");
        }
        if state.running.get(&task).is_some_and(|run| run.id == id) {
            return Some((200, self.clocked("")));
        }
        let finished = state.finished.get(&task).is_some_and(|last| *last >= id);
        if finished || state.running.contains_key(&task) {
            return self.refusal("old");
        }
        let millis = spec.parse().unwrap_or(100);
        let run = Run {
            id,
            work: Duration::from_millis(millis),
            began: Instant::now(),
        };
        state.running.insert(task.clone(), run);
        self.record.start(&self.id, &task, id);
        Some((200, self.clocked("")))
    }
}

fn lists(state: &State) -> String {
    let running = state.running.iter().map(|(task, run)| {
        let done = run.began.elapsed().as_millis() * 100 / run.work.as_millis().max(1);
        format!("[\"{task}\",{},\"\",{}]", run.id, done.min(99))
    });
    let running: Vec<String> = running.collect();
    let ended = state.ended.iter().take(500);
    let ended = ended.map(|(n, task, run, how)| format!("[{n},\"{task}\",{run},\"{how}\",\"\"]"));
    let ended: Vec<String> = ended.collect();
    let (running, ended) = (running.join(","), ended.join(","));
    format!(",\"running\":[{running}],\"ended-runs\":[{ended}]")
}

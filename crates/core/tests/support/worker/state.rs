//! What a simulated worker runs, and how it carries orders out.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::super::observations::Observations;
use super::super::Listener;
use super::Behavior;

/// Time from the start of a deadly task to the crash of its worker.
const CRASH_DELAY: Duration = Duration::from_millis(5);
/// Time for which a worker is down after such a crash.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// A task that runs at a worker.
#[derive(Debug)]
pub(super) struct Run {
    run_id: u64,
    work: Duration,
    progress: Duration,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) id: String,
    /// A kind, which alternates between `a` and `b`, and a rack of its own.
    pub(super) labels: [String; 2],
    /// Number of this life of the worker; it rises with each restart.
    pub(super) born: u64,
    /// Zero of the worker's clock.
    clock_start: Instant,
    last_tick: Instant,
    pub(super) behavior: Behavior,
    pub(super) ready: bool,
    /// Whether it sends no heartbeats.
    pub(super) silent: bool,
    /// Whether its system has ended, so that its threads are to end.
    pub(super) stopped: bool,
    /// Highest fencing token received; orders with a lower one are refused.
    fencing_token: u64,
    /// Time by the worker's clock at which its runs lapse.
    lease_until: Duration,
    pub(super) running: BTreeMap<String, Run>,
    /// Highest number of a run that was stopped or has ended, by task. Starts up to it
    /// are refused.
    finished: BTreeMap<String, u64>,
    /// Ends that the agent has not acknowledged: sequence number, task, run id and how
    /// the run ended.
    pub(super) ended: Vec<(u64, String, u64, &'static str)>,
    /// Sequence number of the last end.
    last_end: u64,
    pub(super) heartbeats: u64,
    pub(super) orders: u64,
    /// Number of orders so far that were starts.
    pub(super) starts: u64,
    /// When the worker crashes, since it has started a deadly task.
    pub(super) crashes_at: Option<Instant>,
    /// When it is up again after that.
    restarts_at: Option<Instant>,
    observed: Arc<Mutex<Observations>>,
}

impl State {
    /// The state of a worker in its first life. Its kind and rack follow from its index.
    pub(super) fn new(index: usize, observed: &Arc<Mutex<Observations>>) -> State {
        State {
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
        }
    }

    /// Time by the worker's clock, which begins at zero in each life.
    pub(super) fn clock(&self) -> Duration {
        self.clock_start.elapsed()
    }

    /// Advances the runs, and ends those that are done, fail or have lost their lease.
    pub(super) fn tick(&mut self) {
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
    pub(super) fn lose_runs(&mut self) {
        let tasks: Vec<String> = self.running.keys().cloned().collect();
        for task in tasks {
            self.end_run(&task, "lost");
        }
        self.ended.clear();
    }

    /// Crashes the worker if it has started a deadly task, and restarts it later.
    pub(super) fn crash_or_restart(&mut self, listener: &Listener) {
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
    pub(super) fn restart(&mut self) {
        self.lose_runs();
        self.finished.clear();
        self.born += 1;
        self.clock_start = Instant::now();
        (self.fencing_token, self.lease_until) = (0, Duration::ZERO);
        (self.last_end, self.heartbeats) = (0, 0);
        self.crashes_at = None;
        self.behavior = Behavior::Normal;
    }

    /// Carries an order out and returns status and body of the answer. Only a list of runs
    /// tells which life it is of.
    pub(super) fn answer(&mut self, path: &str, body: &Value) -> (u16, Value) {
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
                None => (200, json!({ "clock-ms": clock })),
                Some(reason) => (409, json!({ "clock-ms": clock, "reason": reason })),
            },
            "/-/run-stop" => {
                self.stop(body);
                (200, json!({ "clock-ms": clock }))
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
        if self.behavior == Behavior::Full {
            return Some("room");
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

pub(super) fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}

//! Crashes of upstreams, and the tasks that ran when they happened.
//!
//! A task may crash each upstream that starts it. One crash proves little: the task may
//! have run beside the one that caused it, or the instance may have lost power. A task that
//! crashes its upstream does so at about the same point each time, whatever runs beside it.
//! A task is therefore given up after a second crash if both came after about the same time
//! and nothing but its own job ran there at one of them. Otherwise it is tried again, away
//! from others, and given up after a third such crash, or after the fifth in any case.
//!
//! Agents notice crashes and tell all entries, so that every entry that gets a job knows
//! how often upstreams crashed under its tasks, whichever entry started them.

mod start_rates;
mod wire;

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gentian_wire::id::Node;

use crate::run::Run;

pub use start_rates::StartRates;

/// How long a crash is remembered. A caller may send a job again for as long.
const RETENTION: Duration = Duration::from_secs(120);

/// Largest number of crashes remembered; the oldest is dropped first.
const MAX_CRASHES: usize = 512;

/// Largest number of runs kept of one crash: those that started last.
const MAX_RUNS: usize = 256;

/// Number of crashes after which a task is given up in any case.
const MAX_TASK_CRASHES: usize = 5;

/// Largest difference between the ages of a task's runs at the crashes that it causes: a
/// constant, and a share of the smallest.
const AGE_SPREAD: Duration = Duration::from_millis(50);
const AGE_SPREAD_SHARE: f64 = 0.5;

/// Largest difference between two tellings of one crash, for upstreams that don't tell
/// when they began.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// One process of an upstream.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// The upstream's id, which a restarted upstream may reuse.
    pub upstream: String,
    /// Start time in milliseconds since the Unix epoch; 0 if unknown.
    pub born_ms: u64,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} incarnation {}", self.upstream, self.born_ms)
    }
}

/// A run that was at an upstream when it crashed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashedRun {
    /// The run.
    pub run: Run,
    /// The job that its task belongs to.
    pub job: Arc<str>,
    /// The queue that the job came from.
    pub queue: Arc<str>,
    /// Time from the run's start to the crash.
    pub age: Duration,
}

/// How often jobs of a queue were started at an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueRate {
    /// The queue.
    pub queue: Arc<str>,
    /// Jobs with a start there, each second.
    pub starts_per_s: f64,
}

/// The unplanned end of an upstream's process.
#[derive(Clone, Debug, PartialEq)]
pub struct Crash {
    /// Agent of the upstream.
    pub agent: Node,
    /// The process that ended.
    pub process: Process,
    /// When it ended, on the clock of whoever holds this record.
    pub at: Duration,
    /// Runs that were there.
    pub runs: Vec<CrashedRun>,
    /// How often jobs were started there before.
    pub rates: Vec<QueueRate>,
}

impl Crash {
    /// Whether nothing but the given job ran at the upstream.
    pub fn was_alone(&self, job: &str) -> bool {
        self.runs.iter().all(|run| *run.job == *job)
    }

    /// Keeps the runs that started last if there are too many to remember.
    fn limit_runs(&mut self) {
        if self.runs.len() > MAX_RUNS {
            self.runs.sort_by_key(|run| run.age);
            self.runs.truncate(MAX_RUNS);
        }
    }

    fn is_same(&self, other: &Crash) -> bool {
        let known_start = self.process.born_ms != 0;
        self.process == other.process && (known_start || self.at.abs_diff(other.at) < SAME_CRASH)
    }
}

/// What to do with a task, given the crashes under it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// No upstream has crashed under it.
    Clear,
    /// One upstream has crashed under it: it may be to blame.
    Suspect,
    /// More have, but it may be chance: it may run only away from others.
    Isolate,
    /// It is not to be started again.
    GiveUp,
}

/// Crashes under one task, in the order in which they became known.
#[derive(Clone, Debug, Default)]
struct TaskCrashes(VecDeque<TaskCrash>);

/// A crash under one task.
#[derive(Clone, Copy, Debug)]
struct TaskCrash {
    /// Age of the task's run.
    age: Duration,
    /// Whether only its job ran there.
    alone: bool,
}

impl TaskCrashes {
    fn verdict(&self) -> Verdict {
        let alone = self.0.iter().any(|crash| crash.alone);
        match self.0.len() {
            0 => Verdict::Clear,
            1 => Verdict::Suspect,
            2 if alone && self.ages_agree() => Verdict::GiveUp,
            2 => Verdict::Isolate,
            count if count >= MAX_TASK_CRASHES || self.ages_agree() => Verdict::GiveUp,
            _ => Verdict::Isolate,
        }
    }

    /// Whether all crashes came after about the same time.
    fn ages_agree(&self) -> bool {
        let ages = || self.0.iter().map(|crash| crash.age);
        let least = ages().min().unwrap_or_default();
        let most = ages().max().unwrap_or_default();
        most - least <= AGE_SPREAD + least.mul_f64(AGE_SPREAD_SHARE)
    }
}

/// The crashes of the last two minutes, by task.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// In the order in which they became known here.
    crashes: VecDeque<Crash>,
    tasks: HashMap<Arc<str>, TaskCrashes>,
}

impl History {
    /// Adds a crash. Returns false if it is known already or too old.
    pub fn record(&mut self, mut crash: Crash, now: Duration) -> bool {
        self.prune(now);
        let known = self.crashes.iter().any(|known| known.is_same(&crash));
        if known || is_old(&crash, now) {
            return false;
        }
        crash.limit_runs();
        for crashed in &crash.runs {
            let task = self.tasks.entry(crashed.run.task.clone()).or_default();
            task.0.push_back(TaskCrash {
                age: crashed.age,
                alone: crash.was_alone(&crashed.job),
            });
        }
        self.crashes.push_back(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.drop_oldest();
        }
        true
    }

    /// Number of upstreams that crashed under a task.
    pub fn count(&self, task: &str) -> usize {
        self.tasks.get(task).map_or(0, |task| task.0.len())
    }

    /// What to do with a task.
    pub fn verdict(&self, task: &str) -> Verdict {
        let crashes = self.tasks.get(task);
        crashes.map_or(Verdict::Clear, TaskCrashes::verdict)
    }

    /// The crashes that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter()
    }

    /// Forgets old crashes.
    pub fn prune(&mut self, now: Duration) {
        while self.crashes.front().is_some_and(|crash| is_old(crash, now)) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some(crash) = self.crashes.pop_front() else {
            return;
        };
        for crashed in &crash.runs {
            let Some(task) = self.tasks.get_mut(&crashed.run.task) else {
                continue;
            };
            task.0.pop_front();
            if task.0.is_empty() {
                self.tasks.remove(&crashed.run.task);
            }
        }
    }
}

fn is_old(crash: &Crash, now: Duration) -> bool {
    now.saturating_sub(crash.at) > RETENTION
}

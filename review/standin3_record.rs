//! What was sent, answered and run, with the time in milliseconds since the case began.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// One run of a task at a worker.
#[derive(Clone, Debug)]
pub struct RunRecord {
    pub task: String,
    pub number: u64,
    pub worker: String,
    pub began_ms: u128,
    pub ended_ms: Option<u128>,
}

#[derive(Debug)]
struct Content {
    lines: Vec<(u128, String)>,
    runs: Vec<RunRecord>,
    /// Labels of each worker.
    labels: BTreeMap<String, Vec<String>>,
}

#[derive(Debug)]
pub struct Record {
    began: Instant,
    content: Mutex<Content>,
}

impl Record {
    pub fn new() -> Record {
        Record {
            began: Instant::now(),
            content: Mutex::new(Content {
                lines: Vec::new(),
                runs: Vec::new(),
                labels: BTreeMap::new(),
            }),
        }
    }

    pub fn now_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn content(&self) -> MutexGuard<'_, Content> {
        self.content.lock().expect("no thread panics with the lock")
    }

    /// Adds a line; returns its time.
    pub fn note(&self, line: &str) -> u128 {
        let mut content = self.content();
        let now = self.now_ms();
        content.lines.push((now, line.to_owned()));
        now
    }

    pub fn set_labels(&self, worker: &str, labels: &[String]) {
        let mut content = self.content();
        content.labels.insert(worker.to_owned(), labels.to_vec());
    }

    pub fn has_label(&self, worker: &str, label: &str) -> bool {
        let content = self.content();
        let labels = content.labels.get(worker);
        labels.is_some_and(|labels| labels.iter().any(|own| own == label))
    }

    pub fn started(&self, task: &str, number: u64, worker: &str) {
        let mut content = self.content();
        let began_ms = self.now_ms();
        content.lines.push((
            began_ms,
            format!("worker {worker} starts {task} run {number}"),
        ));
        content.runs.push(RunRecord {
            task: task.to_owned(),
            number,
            worker: worker.to_owned(),
            began_ms,
            ended_ms: None,
        });
    }

    pub fn ended(&self, task: &str, number: u64, worker: &str, how: &str) {
        let mut content = self.content();
        let now = self.now_ms();
        content.lines.push((
            now,
            format!("worker {worker} ends {task} run {number}: {how}"),
        ));
        let open = content.runs.iter_mut().rev().find(|run| {
            run.task == task
                && run.number == number
                && run.worker == worker
                && run.ended_ms.is_none()
        });
        if let Some(run) = open {
            run.ended_ms = Some(now);
        }
    }

    /// Number of tasks that a worker has started, and the time since the last of them.
    pub fn starts_at(&self, worker: &str) -> (usize, u128) {
        let content = self.content();
        let starts = content.runs.iter().filter(|run| run.worker == worker);
        let last = starts.clone().last().map_or(0, |run| run.began_ms);
        (starts.count(), self.now_ms() - last)
    }

    pub fn runs(&self) -> Vec<RunRecord> {
        self.content().runs.clone()
    }

    pub fn write(&self, path: &Path) -> std::io::Result<()> {
        let mut text = String::new();
        for (at, line) in &self.content().lines {
            writeln!(text, "{at:>7} ms  {line}").expect("writing to a string does not fail");
        }
        std::fs::write(path, text)
    }
}

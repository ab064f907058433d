//! What was sent, answered and run, as it goes into `record.txt`.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A task that a worker began, or its end.
#[derive(Clone, Debug)]
pub struct Event {
    /// Seconds since the start of the case.
    pub at: f64,
    pub worker: String,
    /// None for a start.
    pub how: Option<&'static str>,
}

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    origin: Instant,
    file: Mutex<File>,
    events: Mutex<Vec<Event>>,
}

impl Record {
    pub fn new(path: &str) -> Record {
        Record(Arc::new(Inner {
            origin: Instant::now(),
            file: Mutex::new(File::create(path).expect("record.txt can be written")),
            events: Mutex::default(),
        }))
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.0.origin.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} s  {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:8.3} s  {text}", self.now());
    }

    pub fn start(&self, worker: &str, task: &str, run: u64) {
        self.line(&format!("worker {worker} starts {task} run {run}"));
        self.push(worker, None);
    }

    pub fn end(&self, worker: &str, task: &str, run: u64, how: &'static str) {
        self.line(&format!("worker {worker}: {task} run {run} ends {how}"));
        self.push(worker, Some(how));
    }

    fn push(&self, worker: &str, how: Option<&'static str>) {
        self.0.events.lock().unwrap().push(Event {
            at: self.now(),
            worker: worker.to_owned(),
            how,
        });
    }

    pub fn events(&self) -> Vec<Event> {
        self.0.events.lock().unwrap().clone()
    }
}

//! A worker crashes while it has no work and starts again under its id; at first it leaves orders
//! unanswered.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case::ID;
use crate::record::Record;
use crate::system::{System, PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

const DOWN: Duration = Duration::from_millis(300);
/// From the worker's start to its first heartbeat: less than `heartbeat-ms`.
const FIRST_BEAT: Duration = Duration::from_millis(1_000);
/// For how long it leaves orders unanswered.
const HANGS: Duration = Duration::from_millis(950);
/// From its start to the job.
const BEFORE_JOB: Duration = Duration::from_millis(100);

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let mut system = System::start(1, &vec![Kind::of("a"); 3], record.clone())?;
    // The worker's clock is to be ahead of that of its next life.
    thread::sleep(Duration::from_secs(3));
    if trouble {
        system.workers[0].crash();
        thread::sleep(DOWN);
        system.restart_worker(0, FIRST_BEAT, HANGS)?;
    }
    thread::sleep(BEFORE_JOB);
    record.note(&format!("the caller hands job {ID} in"));
    let step = r#"{"count":5,"cpu":10000,"mem-mb":64,"estimate-ms":3000}"#;
    let open = system.submit(0, PREFIX, ID, 3_000, step, 15_000).ok()?;
    let answer = wire::receive(open, Duration::from_secs(16));
    record.note(&format!("the answer to the job's POST: {}", told(&answer)));
    Some(runs_twice(record))
}

/// Whether a task had two runs at the same time.
fn runs_twice(record: &Record) -> bool {
    let runs = record.runs();
    let mut twice = false;
    for (index, later) in runs.iter().enumerate() {
        let earlier = runs[..index].iter().filter(|run| run.task == later.task);
        for run in earlier.filter(|run| run.ended_ms.is_none_or(|at| at > later.began_ms)) {
            let until = run.ended_ms.min(later.ended_ms).unwrap_or(later.began_ms);
            record.note(&format!(
                "{} ran at {} and at {} at the same time, for {} ms",
                run.task,
                run.worker,
                later.worker,
                until - later.began_ms
            ));
            twice = true;
        }
    }
    twice
}

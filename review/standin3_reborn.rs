//! An entry freezes while jobs are between two steps; meanwhile a worker crashes, and another of
//! a different kind starts at its address. That three times.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::system::{System, PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

/// Number of workers of kind `a`; there is one more, of kind `b`.
const FIRST_KIND: usize = 5;
const JOBS: u32 = 20;
const ROUNDS: u32 = 3;
/// For how long the entry stands still.
const FREEZE: Duration = Duration::from_millis(1_500);
/// From the freeze to the crash, and from that to the start of the other worker.
const BEFORE_CRASH: Duration = Duration::from_millis(200);
const DOWN: Duration = Duration::from_millis(500);
/// A task on a worker of kind a, of which it takes a quarter, and then one on the worker of kind b.
const STEPS: &str = r#"{"count":1,"cpu":8000,"mem-mb":64,"estimate-ms":300,"requires":"a"},{"count":1,"cpu":500,"mem-mb":64,"estimate-ms":300,"requires":"b","depends-on":[0]}"#;
const WORK_MS: u64 = 300;
const DEADLINE_MS: u64 = 10_000;
/// What the ids of the jobs begin with.
const IDS: &str = "5c0e7a21";

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let mut kinds = vec![Kind::of("a"); FIRST_KIND];
    kinds.push(Kind::of("b"));
    let mut system = System::start(1, &kinds, record.clone())?;
    for round in 0..ROUNDS {
        play_round(&mut system, record, round, trouble)?;
    }
    let wrong = record.runs().into_iter().filter(|run| {
        let wanted = if run.task.contains(".0.0.") { "a" } else { "b" };
        run.task.starts_with(IDS) && !record.has_label(&run.worker, wanted)
    });
    let wrong: Vec<_> = wrong.collect();
    for run in &wrong {
        let (task, worker, at) = (&run.task, &run.worker, run.began_ms);
        record.note(&format!(
            "{task} started at {at} ms on {worker}, without its step's label"
        ));
    }
    Some(!wrong.is_empty())
}

fn play_round(system: &mut System, record: &Arc<Record>, round: u32, trouble: bool) -> Option<()> {
    let second_kind = system.workers.iter().position(|worker| worker.is_of("b"))?;
    record.note(&format!("callers hand {JOBS} jobs in"));
    let numbers = round * JOBS..(round + 1) * JOBS;
    let open = numbers.map(|number| {
        let id = format!("{IDS}{number:08x}");
        let open = system.submit(0, PREFIX, &id, WORK_MS, STEPS, DEADLINE_MS);
        open.map(|open| (id, open))
    });
    let open: Vec<_> = open.collect::<Result<_, _>>().ok()?;
    thread::sleep(Duration::from_millis(150));
    system.freeze_entry(0, true);
    thread::sleep(BEFORE_CRASH);
    if trouble {
        system.workers[second_kind].crash();
    }
    thread::sleep(DOWN);
    if trouble {
        system.replace_worker(second_kind, Kind::of("a"))?;
    }
    thread::sleep(FREEZE - BEFORE_CRASH - DOWN);
    system.freeze_entry(0, false);
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        // There is a worker of kind b again.
        let other = (second_kind + 1) % system.workers.len();
        system.workers[other].crash();
        system.replace_worker(other, Kind::of("b"))?;
    }
    for (id, open) in open {
        let answer = wire::receive(open, Duration::from_millis(DEADLINE_MS));
        record.note(&format!("the answer to job {id}: {}", told(&answer)));
    }
    thread::sleep(Duration::from_millis(500));
    Some(())
}

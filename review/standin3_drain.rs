//! A worker says that it drains while the tasks of a large job are started on it.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case::{late_starts, ID};
use crate::record::Record;
use crate::system::{System, PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

/// `drain-ms` of the small sites.
const DRAIN_MS: u128 = 2_000;
/// Time that the workers take to start a task.
const START_TIME: Duration = Duration::from_millis(15);

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let kind = |label| Kind {
        start_time: START_TIME,
        ..Kind::of(label)
    };
    let system = System::start(1, &[kind("a"), kind("a"), kind("b")], record.clone())?;
    // As wide as the letter says that jobs get.
    let step = r#"{"count":830,"cpu":10,"mem-mb":16,"estimate-ms":3000,"requires":"b"}"#;
    record.note(&format!("the caller hands job {ID} in"));
    let open = system.submit(0, PREFIX, ID, 3_000, step, 25_000).ok()?;
    let worker = &system.workers[2];
    wire::wait_for(Duration::from_secs(2), || {
        (worker.running() > 0).then_some(())
    })?;
    let mut broken = false;
    if trouble {
        worker.drain().then_some(())?;
        let acknowledged = record.now_ms();
        thread::sleep(Duration::from_secs(6));
        broken = late_starts(record, ID, acknowledged + DRAIN_MS) > 0;
        worker.leave();
    }
    let answer = wire::receive(open, Duration::from_secs(26));
    record.note(&format!("the answer to the job's POST: {}", told(&answer)));
    Some(broken)
}

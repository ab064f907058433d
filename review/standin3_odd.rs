//! Another writer sends a heartbeat with fields missing under a worker's id, and the worker says
//! later that it drains.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case::late_starts;
use crate::record::Record;
use crate::system::{System, PREFIX};
use crate::wire;
use crate::worker::Kind;

/// `drain-ms` of the small sites.
const DRAIN_MS: u128 = 2_000;
/// For how long callers hand in jobs after the worker has said that it drains.
const TRAFFIC: Duration = Duration::from_millis(6_000);
/// Time between two jobs.
const PAUSE: Duration = Duration::from_millis(100);

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let system = System::start(
        1,
        &[Kind::of("a"), Kind::of("a"), Kind::of("b")],
        record.clone(),
    )?;
    let worker = &system.workers[2];
    if trouble {
        worker.be_impersonated();
    }
    thread::sleep(Duration::from_millis(200));
    worker.drain().then_some(())?;
    let acknowledged = record.now_ms();
    let mut answers = Vec::new();
    let mut number = 0;
    while record.now_ms() < acknowledged + TRAFFIC.as_millis() {
        number += 1;
        let id = format!("{:08x}{number:08x}", 0x5c0e_7a21);
        let step = r#"{"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":200,"requires":"b"}"#;
        let open = system.submit(0, PREFIX, &id, 200, step, 1_500).ok()?;
        answers.push(thread::spawn(move || {
            wire::receive(open, Duration::from_millis(1_500))
        }));
        thread::sleep(PAUSE);
    }
    for answer in answers {
        // What became of the jobs is in the workers' lines.
        let _ = answer.join();
    }
    Some(late_starts(record, "5c0e7a21", acknowledged + DRAIN_MS) > 0)
}

//! A caller hands a job in, the job's queue is removed from the configuration, and the caller
//! cancels the job.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case::{chain, is_acknowledged, late_starts, CANCEL_MS, ID};
use crate::record::Record;
use crate::system::{System, OTHER_PREFIX, PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

/// `ack-ms` of the small sites: after that a cancel counts without an acknowledgement, too.
const ACK_MS: u128 = 4_000;
/// `config-apply-ms` of the small sites.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time between two attempts to cancel.
const RETRY: Duration = Duration::from_millis(500);

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let system = System::start(1, &vec![Kind::of("a"); 3], record.clone())?;
    record.note(&format!("the caller hands job {ID} in"));
    let open = system.submit(0, PREFIX, ID, 500, &chain(30), 25_000).ok()?;
    thread::sleep(Duration::from_millis(500));
    if trouble {
        // The job's queue is not in it any more.
        system.configure(2, &[OTHER_PREFIX]).then_some(())?;
        thread::sleep(CONFIG_APPLY);
    }
    let first = record.note("the caller begins to cancel the job");
    let mut counts_from = first + ACK_MS;
    while record.now_ms() < first + ACK_MS {
        let cancelled = system.ask(0, "DELETE", ID);
        let at = record.note(&format!("DELETE of the job: {}", told(&cancelled)));
        if is_acknowledged(&cancelled) {
            counts_from = at;
            break;
        }
        thread::sleep(RETRY);
    }
    let answer = wire::receive(open, Duration::from_secs(26));
    record.note(&format!("the answer to the job's POST: {}", told(&answer)));
    thread::sleep(Duration::from_millis(500));
    Some(late_starts(record, ID, counts_from + CANCEL_MS) > 0)
}

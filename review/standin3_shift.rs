//! A caller hands a job in, moves to another zone, and cancels the job from there.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::case::{chain, is_acknowledged, late_starts, CANCEL_MS, ID};
use crate::record::Record;
use crate::system::{System, PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let system = System::start(2, &vec![Kind::of("a"); 3], record.clone())?;
    let zone = &system.entries[0].zone;
    record.note(&format!(
        "the caller hands job {ID} in, at the entry of {zone}"
    ));
    let open = system.submit(0, PREFIX, ID, 500, &chain(20), 20_000).ok()?;
    thread::sleep(Duration::from_millis(1_000));
    let entry = usize::from(trouble);
    let zone = &system.entries[entry].zone;
    record.note(&format!("the caller is in {zone} now"));
    let state = system.ask(entry, "GET", ID);
    record.note(&format!("GET of the job there: {}", told(&state)));
    let cancelled = system.ask(entry, "DELETE", ID);
    let acknowledged = record.note(&format!("DELETE of the job there: {}", told(&cancelled)));
    if !is_acknowledged(&cancelled) {
        return None;
    }
    let zone = &system.entries[0].zone;
    record.note(&format!("the caller is in {zone} again"));
    let answer = wire::receive(open, Duration::from_secs(21));
    record.note(&format!("the answer to the job's POST: {}", told(&answer)));
    thread::sleep(Duration::from_millis(500));
    Some(late_starts(record, ID, acknowledged + CANCEL_MS) > 0)
}

//! What the cases of this review have in common.

use std::io;
use std::panic::{self, AssertUnwindSafe};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use crate::record::Record;
use crate::wire::Response;

/// `cancel_ms` of the small sites.
pub const CANCEL_MS: u128 = 3_000;
/// The caller's id of the job.
pub const ID: &str = "5c0e7a21d94b36f8";

/// Plays a case and writes its record. The case returns whether the rule was broken, or none if
/// it couldn't run; with `TROUBLE=0` it leaves the disruption out.
pub fn run(folder: &Path, play: impl FnOnce(bool, &Arc<Record>) -> Option<bool>) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = Arc::new(Record::new());
    // A stand-in that fails says nothing of the rule.
    let played = panic::catch_unwind(AssertUnwindSafe(|| play(trouble, &record)));
    let broken = played.unwrap_or(None);
    record.note(match broken {
        Some(true) => "the rule was broken",
        Some(false) => "the rule held",
        None => "the case couldn't run",
    });
    if let Err(error) = record.write(&folder.join("record.txt")) {
        eprintln!("record.txt can't be written: {error}");
        return ExitCode::from(2);
    }
    ExitCode::from(broken.map_or(2, u8::from))
}

/// Steps of two tasks of half a second each, one step after the other.
pub fn chain(steps: usize) -> String {
    let steps = (0..steps).map(|step| {
        let after = step
            .checked_sub(1)
            .map_or(String::new(), |on| format!(r#","depends-on":[{on}]"#));
        format!(r#"{{"count":2,"cpu":1000,"mem-mb":64,"estimate-ms":500{after}}}"#)
    });
    steps.collect::<Vec<_>>().join(",")
}

/// Whether the answer to a DELETE acknowledges it.
pub fn is_acknowledged(answer: &io::Result<Response>) -> bool {
    answer
        .as_ref()
        .is_ok_and(|answer| answer.status / 100 == 2 || answer.status == 410)
}

/// Number of tasks, of jobs whose ids begin with that, that were started later than that.
pub fn late_starts(record: &Record, ids: &str, than_ms: u128) -> usize {
    let runs = record.runs();
    let late = runs
        .iter()
        .filter(|run| run.task.starts_with(ids) && run.began_ms > than_ms)
        .count();
    record.note(&format!(
        "{late} tasks were started later than at {than_ms} ms"
    ));
    late
}

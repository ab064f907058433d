//! Workers fail for a while, one after the other, and the agent of each is stopped and started
//! again meanwhile. Long after all are sound again, a control machine loses its disk.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::system::{System, OTHER_PREFIX};
use crate::wire::{self, told};
use crate::worker::Kind;

/// Number of workers. All but one of them fail in turn.
const WORKERS: usize = 9;
/// Time between two jobs, and what each of them needs: three quarters of what there is.
const PAUSE: Duration = Duration::from_millis(18);
const STEP: &str = r#"{"count":1,"cpu":8000,"mem-mb":64,"estimate-ms":480}"#;
const WORK_MS: u64 = 480;
const DEADLINE_MS: u64 = 1_500;
/// A failing worker that has been sent so many tasks, and then none for so many milliseconds, is
/// taken to be avoided.
const FAILURES: usize = 2;
const AVOIDED: u128 = 500;
/// `recover-s` of the small sites.
const RECOVER: Duration = Duration::from_secs(12);
/// For how long the callers' jobs are counted before and after the final fault.
const COUNTED: Duration = Duration::from_secs(6);

/// Callers' jobs that were sent and served.
#[derive(Debug, Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
}

impl Counts {
    fn share(&self) -> f64 {
        let (sent, served) = (&self.sent, &self.served);
        served.load(Ordering::SeqCst) as f64 / sent.load(Ordering::SeqCst).max(1) as f64
    }
}

pub fn play(trouble: bool, record: &Arc<Record>) -> Option<bool> {
    let kinds = vec![Kind::of("a"); WORKERS];
    let system = Arc::new(System::start(1, &kinds, record.clone())?);
    let before = serve_for(&system, record, 0, COUNTED, "at first");
    let ending = Arc::new(AtomicUsize::new(0));
    let traffic = {
        let (system, record, ending) = (system.clone(), record.clone(), ending.clone());
        thread::spawn(move || {
            let mut callers = Vec::new();
            while ending.load(Ordering::SeqCst) == 0 {
                let number = 0x10_0000 + callers.len();
                callers.push(send(&system, &record, number, &Arc::default()));
                thread::sleep(PAUSE);
            }
            // The system ends once no caller has it any more.
            for caller in callers {
                let _ = caller.join();
            }
        })
    };
    let played = disrupt(&system, record, trouble);
    ending.store(1, Ordering::SeqCst);
    traffic.join().ok()?;
    played?;
    let after = serve_for(&system, record, 0x20_0000, COUNTED, "after the final fault");
    // Without that the rule says nothing.
    (before >= 0.25).then_some(after < 0.25)
}

/// The disruptions up to the end of `recover-s`.
fn disrupt(system: &System, record: &Record, trouble: bool) -> Option<()> {
    for index in 0..WORKERS - 1 {
        if trouble {
            let worker = &system.workers[index];
            let (before, _) = record.starts_at(&worker.id);
            worker.set_failing(true);
            let is_avoided = || {
                let (starts, idle_ms) = record.starts_at(&worker.id);
                (starts >= before + FAILURES && idle_ms >= AVOIDED).then_some(())
            };
            wire::wait_for(Duration::from_secs(6), is_avoided)?;
            system.restart_agent(index)?;
            worker.set_failing(false);
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    record.note("nothing is disrupted for 5 s");
    thread::sleep(Duration::from_secs(5));
    system
        .configure(2, &["/lohu930/", OTHER_PREFIX])
        .then_some(())?;
    system.wipe_control(2)?;
    thread::sleep(RECOVER);
    Some(())
}

/// Sends jobs for a while; returns the share of them that was served.
fn serve_for(
    system: &Arc<System>,
    record: &Arc<Record>,
    first: usize,
    time: Duration,
    when: &str,
) -> f64 {
    let counts = Arc::new(Counts::default());
    let callers = (0..time.as_millis() / PAUSE.as_millis()).map(|number| {
        let caller = send(system, record, first + number as usize, &counts);
        thread::sleep(PAUSE);
        caller
    });
    for caller in callers.collect::<Vec<_>>() {
        // A caller without an answer has counted none.
        let _ = caller.join();
    }
    let share = counts.share();
    record.note(&format!(
        "{when}, {:.0}% of {counts:?} were served",
        share * 100.0
    ));
    share
}

/// Hands a job in and waits for its answer, on a thread of its own.
fn send(
    system: &Arc<System>,
    record: &Arc<Record>,
    number: usize,
    counts: &Arc<Counts>,
) -> thread::JoinHandle<()> {
    let (system, record, counts) = (system.clone(), record.clone(), counts.clone());
    thread::spawn(move || {
        counts.sent.fetch_add(1, Ordering::SeqCst);
        let id = format!("{number:016x}");
        record.note(&format!("a caller hands job {id} in"));
        let open = system.submit(0, OTHER_PREFIX, &id, WORK_MS, STEP, DEADLINE_MS);
        let answer = open.and_then(|open| wire::receive(open, Duration::from_millis(DEADLINE_MS)));
        record.note(&format!("the answer to job {id}: {}", told(&answer)));
        if answer.is_ok_and(|answer| answer.body.contains("completed")) {
            counts.served.fetch_add(1, Ordering::SeqCst);
        }
    })
}

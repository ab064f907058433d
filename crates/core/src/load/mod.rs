//! Generates open-loop load against entries and measures the answers.
//!
//! Requests are sent at times that a seed determines in advance, however slow the
//! answers are, and latency is measured from the scheduled start. A closed loop
//! would send fewer requests while the system is slow and so underestimate the
//! latency that callers see (coordinated omission).
//!
//! The modules form a pipeline: [`arrivals`] generates the requests, [`send`] sends
//! each and classifies its answer, [`stats`] collects counts and latencies, and
//! [`summary`] reports them.

mod arrivals;
mod job;
mod message_counters;
mod plan;
mod run_times;
mod send;
mod stats;
mod summary;

use std::io::{self, IsTerminal, Write};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::{self, Runtime};

pub(crate) use plan::{Builder, Plan};
pub(crate) use run_times::{DurationRange, RunTimes};
pub(crate) use summary::Summary;

use arrivals::{Arrival, Arrivals};
use message_counters::MessageCounters;
use send::{Sample, Sender};
use stats::Stats;

const WORKER_THREADS: usize = 2;
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
const START_DELAY: Duration = Duration::from_millis(100);

/// Why a load has no result.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A thread or the async runtime failed to start.
    #[error("cannot start the load generator: {0}")]
    Start(#[from] io::Error),
    /// No request got an answer from an entry.
    #[error("no entry answered any of {0} requests")]
    NoAnswer(u64),
}

/// A result whose error says why a load has no result.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Generates the load of `plan` and waits until every request is answered or has
/// timed out.
pub(crate) fn run(plan: Plan) -> Result<Summary> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let plan = Arc::new(plan);
    let before = runtime.block_on(MessageCounters::read(plan.metrics_sources()));
    let stats = send_load(&runtime, &plan)?;
    let after = runtime.block_on(MessageCounters::read(plan.metrics_sources()));
    let summary = Summary::new(&plan, &stats, &before, &after);
    match stats.all_unanswered() {
        true => Err(Error::NoAnswer(summary.offered())),
        false => Ok(summary),
    }
}

fn send_load(runtime: &Runtime, plan: &Arc<Plan>) -> Result<Stats> {
    let (samples, results) = mpsc::channel();
    let sender = Sender::new(plan.clone(), samples);
    let start = Instant::now() + START_DELAY;
    let expected = Arrivals::new(plan).count();
    let handle = runtime.handle().clone();
    let arrivals = Arrivals::new(plan);
    // Requests are paced by a thread because the timers of the async runtime round up
    // to a millisecond.
    let pacer = thread::Builder::new()
        .name("pacer".to_owned())
        .spawn(move || pace(&handle, &sender, arrivals, start))?;
    let stats = collect(plan, &results, expected);
    pacer.join().expect("the pacer does not panic");
    Ok(stats)
}

fn pace(
    handle: &runtime::Handle,
    sender: &Sender,
    arrivals: impl Iterator<Item = Arrival>,
    start: Instant,
) {
    for arrival in arrivals {
        let scheduled = start + arrival.offset;
        thread::sleep(scheduled.saturating_duration_since(Instant::now()));
        handle.spawn(sender.clone().send(arrival, scheduled));
    }
}

fn collect(plan: &Plan, results: &mpsc::Receiver<Sample>, expected: usize) -> Stats {
    let mut stats = Stats::new(plan);
    let mut progress = Progress::new(expected);
    loop {
        match results.recv_timeout(PROGRESS_PERIOD) {
            Ok(sample) => stats.add(&sample),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        progress.update(&stats);
    }
    progress.finish();
    stats
}

/// Progress line on standard error, rewritten in place. Prints nothing if standard
/// error is not a terminal.
struct Progress {
    enabled: bool,
    expected: usize,
    last_update: Instant,
}

impl Progress {
    fn new(expected: usize) -> Progress {
        Progress {
            enabled: io::stderr().is_terminal(),
            expected,
            last_update: Instant::now(),
        }
    }

    fn update(&mut self, stats: &Stats) {
        if !self.enabled || self.last_update.elapsed() < PROGRESS_PERIOD {
            return;
        }
        self.last_update = Instant::now();
        let mut stderr = io::stderr().lock();
        // The load goes on even if its progress can't be printed.
        let _ = write!(
            stderr,
            "\r{} of {} answered",
            stats.completed(),
            self.expected
        );
        let _ = stderr.flush();
    }

    fn finish(&self) {
        if self.enabled {
            eprintln!();
        }
    }
}

//! Open-loop load against entries, and what came of it.
//!
//! Requests go out at times fixed beforehand by a seed, however slow the answers
//! are, and each is timed from its intended start. A closed loop would send less
//! while the system is slow, and so hide what its callers see.
//!
//! The parts are a pipe: [`arrivals`] makes the requests, [`send`] sends each and
//! judges its answer, [`tally`] counts, [`summary`] tells.

mod arrivals;
mod job;
mod messages;
mod mixture;
mod plan;
mod send;
mod summary;
mod tally;

use std::io::{self, IsTerminal, Write};
use std::sync::mpsc::{self, RecvTimeoutError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::{self, Runtime};

pub(crate) use mixture::{Mixture, Span};
pub(crate) use plan::{Builder, Plan};
pub(crate) use summary::Summary;

use arrivals::{Arrival, Arrivals};
use messages::Messages;
use send::{Sample, Sender};
use tally::Tally;

const WORKER_THREADS: usize = 2;
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);
const START_DELAY: Duration = Duration::from_millis(100);

/// Why no load can be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A thread or the runtime can't be started.
    #[error("cannot start the load: {0}")]
    Start(#[from] io::Error),
    /// None of the entries answered anything.
    #[error("no entry answered any of {0} requests")]
    Silent(u64),
}

/// A result whose error tells why no load can be made.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Makes the load that `plan` describes and waits for the last answer.
pub(crate) fn run(plan: Plan) -> Result<Summary> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()?;
    let plan = Arc::new(plan);
    let before = runtime.block_on(Messages::read(plan.metrics()));
    let tally = offer(&runtime, &plan)?;
    let after = runtime.block_on(Messages::read(plan.metrics()));
    let summary = Summary::new(&plan, &tally, &before, &after);
    match tally.is_silent() {
        true => Err(Error::Silent(summary.offered())),
        false => Ok(summary),
    }
}

fn offer(runtime: &Runtime, plan: &Arc<Plan>) -> Result<Tally> {
    let (samples, inbox) = mpsc::channel();
    let sender = Sender::new(plan.clone(), samples);
    let start = Instant::now() + START_DELAY;
    let expected = Arrivals::new(plan).count();
    let handle = runtime.handle().clone();
    let arrivals = Arrivals::new(plan);
    // A thread of its own: the runtime's timers round up to a millisecond.
    let pacer = thread::Builder::new()
        .name("pacer".to_owned())
        .spawn(move || pace(&handle, &sender, arrivals, start))?;
    let tally = collect(plan, &inbox, expected);
    pacer.join().expect("the pacer does not panic");
    Ok(tally)
}

fn pace(
    handle: &runtime::Handle,
    sender: &Sender,
    arrivals: impl Iterator<Item = Arrival>,
    start: Instant,
) {
    for arrival in arrivals {
        let intended = start + arrival.at;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        handle.spawn(sender.clone().send(arrival, intended));
    }
}

fn collect(plan: &Plan, inbox: &mpsc::Receiver<Sample>, expected: usize) -> Tally {
    let mut tally = Tally::new(plan);
    let mut progress = Progress::new(expected);
    loop {
        match inbox.recv_timeout(PROGRESS_PERIOD) {
            Ok(sample) => tally.add(&sample),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
        progress.tell(&tally);
    }
    progress.end();
    tally
}

/// A line on the terminal that is written over; nothing where there is none.
struct Progress {
    shown: bool,
    expected: usize,
    last: Instant,
}

impl Progress {
    fn new(expected: usize) -> Progress {
        Progress {
            shown: io::stderr().is_terminal(),
            expected,
            last: Instant::now(),
        }
    }

    fn tell(&mut self, tally: &Tally) {
        if !self.shown || self.last.elapsed() < PROGRESS_PERIOD {
            return;
        }
        self.last = Instant::now();
        let mut stderr = io::stderr().lock();
        // Progress that can't be shown is no reason to stop.
        let _ = write!(
            stderr,
            "\r{} of {} answered",
            tally.answered(),
            self.expected
        );
        let _ = stderr.flush();
    }

    fn end(&self) {
        if self.shown {
            eprintln!();
        }
    }
}

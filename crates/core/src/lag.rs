//! By how much this process is behind with its work.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use gentian::limit::lag::{patience_left, Clocks, Meter, Sample, State, PERIOD};

use crate::metrics::PROCESS;
use crate::panics::AbortOnPanic;
use crate::{clock, unread};

/// Zero of the times below.
static ORIGIN: LazyLock<Instant> = LazyLock::new(Instant::now);
/// The last measured lag, in microseconds.
static LAST: AtomicU64 = AtomicU64::new(0);
/// When that was, in microseconds; 0 if nothing measures the lag.
static MEASURED_AT: AtomicU64 = AtomicU64::new(0);
/// Time for which the process has run, in microseconds.
static RUNNING: AtomicU64 = AtomicU64::new(0);

/// The lag of now: what was measured last, or more if the next measurement is overdue.
pub(crate) fn current() -> Duration {
    let measured_at = MEASURED_AT.load(Ordering::Relaxed);
    if measured_at == 0 {
        return Duration::ZERO;
    }
    let since = ORIGIN
        .elapsed()
        .saturating_sub(Duration::from_micros(measured_at));
    let last = Duration::from_micros(LAST.load(Ordering::Relaxed));
    last.max(since.saturating_sub(PERIOD))
}

/// Time for which this process has run and done what there was to do, in steps of
/// [`PERIOD`]; it stands still while the process gets no processor.
pub(crate) fn running_time() -> Duration {
    match MEASURED_AT.load(Ordering::Relaxed) {
        0 => ORIGIN.elapsed(),
        _ => Duration::from_micros(RUNNING.load(Ordering::Relaxed)),
    }
}

/// Waits until this process has run for `limit` since its running time `since`.
pub(crate) async fn run_for(since: Duration, limit: Duration) {
    while let Some(left) = patience_left(since, limit, running_time()) {
        tokio::time::sleep(left.max(PERIOD)).await;
    }
}

/// The output of a future, or none if it is not ready when this process has run for
/// `limit`. What is ready by then counts, however late it is looked at.
pub(crate) async fn timeout<F: Future>(limit: Duration, future: F) -> Option<F::Output> {
    let mut future = pin!(future);
    let since = running_time();
    let mut left = Some(limit);
    while let Some(wait) = left {
        if let Ok(output) = tokio::time::timeout(wait.max(PERIOD), future.as_mut()).await {
            return Some(output);
        }
        left = patience_left(since, limit, running_time());
    }
    None
}

/// Measures the lag for as long as the process runs.
pub(crate) async fn measure() {
    let _essential = AbortOnPanic("the measurement of lag");
    let clocks = || Clocks {
        monotonic: ORIGIN.elapsed(),
        boot_time: clock::now(),
    };
    let mut meter = Meter::new(clocks());
    let mut summary = Summary::default();
    loop {
        tokio::time::sleep(PERIOD).await;
        unread::record();
        let sample = meter.measure(clocks());
        LAST.store(micros(sample.lag), Ordering::Relaxed);
        MEASURED_AT.store(micros(ORIGIN.elapsed()), Ordering::Relaxed);
        RUNNING.store(micros(meter.running_time()), Ordering::Relaxed);
        PROCESS.lag(&sample);
        if meter.state() == State::Late || sample.change.is_some() {
            summary.add(&sample);
        }
        if let Some(state) = sample.change {
            summary.log(state);
        }
    }
}

/// What is told of a time for which the process was late.
#[derive(Clone, Copy, Debug, Default)]
struct Summary {
    largest: Duration,
    total: Duration,
    suspended: Duration,
}

impl Summary {
    fn add(&mut self, sample: &Sample) {
        self.largest = self.largest.max(sample.lag);
        self.total += sample.lag;
        self.suspended += sample.suspended;
    }

    /// Logs the change to `state`, and begins anew once the process is on time.
    fn log(&mut self, state: State) {
        tracing::warn!(
            event = "lag",
            state = %state,
            largest_ms = self.largest.as_millis() as u64,
            total_ms = self.total.as_millis() as u64,
            suspended_ms = self.suspended.as_millis() as u64,
        );
        if state == State::OnTime {
            *self = Summary::default();
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

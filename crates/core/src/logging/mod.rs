//! The log: what changed the state of a process, and what was decided on requests.
//!
//! As text there are lines for changes of state only, through `simplelog`. As
//! JSON there is one object a line, through `tracing`: each decision on a
//! request has one with the request's id, what decided and the outcome. What
//! went wrong is always told; what went well for one request in so many, the
//! same ones at every hop. A thread of its own writes: it never holds anything
//! up, and what it can't keep up with is dropped and counted.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter as Least, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::settings::{Log, LogFormat};

/// Prefix of the targets whose lines are written.
const TARGET: &str = "gentian";

/// Lines that may wait to be written.
const WAITING_LINES: usize = 4_096;

/// Time between two lines that tell how many were dropped.
const DROPPED_PERIOD: Duration = Duration::from_secs(5);

static SAMPLE: AtomicU64 = AtomicU64::new(1);
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// A log that can't be written.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The file can't be opened.
    #[error("cannot append to log.file {path:?}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        source: io::Error,
    },
    /// There is a log already.
    #[error(transparent)]
    Twice(#[from] log::SetLoggerError),
    /// There is a log already.
    #[error(transparent)]
    Subscribed(#[from] tracing_subscriber::util::TryInitError),
}

/// A result whose error is a log that can't be written.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Keeps the log; what waits is written before it is dropped.
#[derive(Debug)]
pub(crate) struct Guard {
    _worker: Option<WorkerGuard>,
}

/// Writes the log as the settings say from now on.
pub(crate) fn start(settings: &Log) -> Result<Guard> {
    SAMPLE.store(settings.sample, Ordering::Relaxed);
    let file = settings.file.as_ref().map(open).transpose()?;
    match (settings.format, file) {
        (LogFormat::Text, None) => WriteLogger::init(settings.level, config(), io::stderr())?,
        (LogFormat::Text, Some(file)) => WriteLogger::init(settings.level, config(), file)?,
        (LogFormat::Json, None) => return subscribe(settings, io::stdout()),
        (LogFormat::Json, Some(file)) => return subscribe(settings, file),
    }
    Ok(Guard { _worker: None })
}

fn open(path: &PathBuf) -> Result<File> {
    let file = OpenOptions::new().append(true).create(true).open(path);
    file.map_err(|source| Error::File {
        path: path.clone(),
        source,
    })
}

fn subscribe(settings: &Log, to: impl io::Write + Send + 'static) -> Result<Guard> {
    let builder = NonBlockingBuilder::default().lossy(true);
    let builder = builder.buffered_lines_limit(WAITING_LINES);
    let (writer, worker): (NonBlocking, WorkerGuard) = builder.finish(to);
    // A process starts its log once.
    let _ = DROPPED.set(writer.error_counter());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let targets = Targets::new().with_target(TARGET, least(settings.level));
    tracing_subscriber::registry()
        .with(targets)
        .with(lines)
        .try_init()?;
    Ok(Guard {
        _worker: Some(worker),
    })
}

fn least(level: LevelFilter) -> Least {
    match level {
        LevelFilter::Off => Least::OFF,
        LevelFilter::Error => Least::ERROR,
        LevelFilter::Warn => Least::WARN,
        LevelFilter::Info => Least::INFO,
        LevelFilter::Debug => Least::DEBUG,
        LevelFilter::Trace => Least::TRACE,
    }
}

/// Whether what goes well with a request is told. All processes tell of the
/// same requests.
pub(crate) fn is_sampled(request: &str) -> bool {
    let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
    hash.is_multiple_of(SAMPLE.load(Ordering::Relaxed))
}

/// Lines that were dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED
        .get()
        .map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Tells now and then how many lines were dropped, for as long as the process runs.
pub(crate) async fn report_dropped_lines() {
    let mut told = 0;
    loop {
        tokio::time::sleep(DROPPED_PERIOD).await;
        let now = dropped();
        if now > told {
            tracing::warn!(event = "lines_dropped", count = now - told, total = now);
            told = now;
        }
    }
}

fn config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build()
}

//! The log: changes of a process's state, and decisions on requests.
//!
//! The text format, written by `simplelog`, has only changes of state. The JSON
//! format, written by `tracing`, has one object per line and also covers requests:
//! each decision has a line with the id of the request, the reason and the outcome.
//! Failures are always logged. Successful steps are logged for a sample of requests,
//! the same requests in every process. JSON lines are written by a thread of their
//! own so that logging never blocks a request; lines that exceed the thread's queue
//! are dropped and counted.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;
use std::time::Duration;

use log::LevelFilter;
use simplelog::{Config, ConfigBuilder, WriteLogger};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::{LevelFilter as TracingLevel, Targets};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::settings::{Log, LogFormat};

/// Prefix of the log targets to write, so that lines of other crates are left out.
const TARGET: &str = "gentian";

/// Maximum number of lines in the queue of the writer thread; more are dropped.
const MAX_QUEUED_LINES: usize = 4_096;

/// Interval at which the number of dropped lines is logged.
const DROPPED_LINES_INTERVAL: Duration = Duration::from_secs(5);

/// One in this many requests is sampled; see [`Log::sample`].
static SAMPLE: AtomicU64 = AtomicU64::new(1);
/// Counter of dropped lines; not set for the text format, which drops none.
static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Why the log can't be set up.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The log file can't be opened.
    #[error("cannot append to log.file {path:?}: {source}")]
    File {
        /// Path of the file.
        path: PathBuf,
        source: io::Error,
    },
    /// A logger for the text format is installed already.
    #[error(transparent)]
    LoggerSet(#[from] log::SetLoggerError),
    /// A subscriber for the JSON format is installed already.
    #[error(transparent)]
    SubscriberSet(#[from] tracing_subscriber::util::TryInitError),
}

/// A result whose error says why the log can't be set up.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Keeps the writer thread running. Dropping the guard writes the queued lines.
#[derive(Debug)]
pub(crate) struct Guard {
    _worker: Option<WorkerGuard>,
}

/// Sets up the log according to the settings. The caller must keep
/// the guard until the process ends.
pub(crate) fn start(settings: &Log) -> Result<Guard> {
    SAMPLE.store(settings.sample, Ordering::Relaxed);
    let file = settings.file.as_ref().map(open_for_append).transpose()?;
    match (settings.format, file) {
        (LogFormat::Text, None) => WriteLogger::init(settings.level, text_config(), io::stderr())?,
        (LogFormat::Text, Some(file)) => WriteLogger::init(settings.level, text_config(), file)?,
        (LogFormat::Json, None) => return init_json(settings, io::stdout()),
        (LogFormat::Json, Some(file)) => return init_json(settings, file),
    }
    Ok(Guard { _worker: None })
}

fn open_for_append(path: &PathBuf) -> Result<File> {
    let file = OpenOptions::new().append(true).create(true).open(path);
    file.map_err(|source| Error::File {
        path: path.clone(),
        source,
    })
}

fn init_json(settings: &Log, output: impl io::Write + Send + 'static) -> Result<Guard> {
    let builder = NonBlockingBuilder::default().lossy(true);
    let builder = builder.buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, worker): (NonBlocking, WorkerGuard) = builder.finish(output);
    // Already set only if the process sets up its log twice, which `try_init` rejects.
    let _ = DROPPED.set(writer.error_counter());
    let lines = tracing_subscriber::fmt::layer()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(writer);
    let targets = Targets::new().with_target(TARGET, tracing_level(settings.level));
    tracing_subscriber::registry()
        .with(targets)
        .with(lines)
        .try_init()?;
    Ok(Guard {
        _worker: Some(worker),
    })
}

fn tracing_level(level: LevelFilter) -> TracingLevel {
    match level {
        LevelFilter::Off => TracingLevel::OFF,
        LevelFilter::Error => TracingLevel::ERROR,
        LevelFilter::Warn => TracingLevel::WARN,
        LevelFilter::Info => TracingLevel::INFO,
        LevelFilter::Debug => TracingLevel::DEBUG,
        LevelFilter::Trace => TracingLevel::TRACE,
    }
}

/// Whether successful steps of this request are logged. This depends only on a hash
/// of the request id, so that all processes with the same setting log the same
/// requests.
pub(crate) fn is_sampled(request: &str) -> bool {
    let hash = xxhash_rust::xxh3::xxh3_64(request.as_bytes());
    hash.is_multiple_of(SAMPLE.load(Ordering::Relaxed))
}

/// Number of lines dropped since the process started.
pub(crate) fn dropped() -> u64 {
    DROPPED
        .get()
        .map_or(0, |counter| counter.dropped_lines() as u64)
}

/// Periodically logs how many lines were dropped, as long as the process runs.
pub(crate) async fn report_dropped_lines() {
    let mut reported = 0;
    loop {
        tokio::time::sleep(DROPPED_LINES_INTERVAL).await;
        let total = dropped();
        if total > reported {
            tracing::warn!(event = "lines_dropped", count = total - reported, total);
            reported = total;
        }
    }
}

fn text_config() -> Config {
    ConfigBuilder::new()
        .set_time_format_rfc3339()
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off)
        .set_location_level(LevelFilter::Off)
        .add_filter_allow_str(TARGET)
        .build()
}

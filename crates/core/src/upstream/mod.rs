//! Example upstream: an HTTP server that runs tasks by sleeping.
//!
//! It replaces a real upstream on a developer's machine and in tests. It counts the
//! executions of each task, so that a test can check that no task ran twice and that
//! no more tasks ran at once than there are slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gentian_wire::id;
use serde::Serialize;
use strum::{Display, EnumString, VariantNames};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::run::Signals;
use crate::settings::Log;
use crate::{client, logging};

mod announce;
mod execution_counts;
mod server;

const WORKER_THREADS: usize = 2;
/// Time without a running task after which the upstream stops.
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(300);
const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an example upstream can't start.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The runtime can't be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(std::io::Error),
    /// The address can't be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    /// The log can't be written.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// The signal handler can't be installed.
    #[error("cannot wait for SIGTERM: {0}")]
    Signal(std::io::Error),
}

/// A result whose error is why an upstream can't start.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// How the upstream handles its tasks.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Mode {
    /// Sleeps for the requested run time, then echoes the body.
    #[default]
    Normal,
    /// Answers 500 at once.
    Fail,
    /// Sleeps for ten times the requested run time, then echoes the body.
    Slow,
    /// Sleeps for the requested run time, then closes the connection without an answer.
    Reset,
}

/// Settings of an example upstream.
#[derive(Clone, Debug)]
pub(crate) struct Builder {
    service: id::Service,
    agent: String,
    listen: SocketAddr,
    slots: u32,
    connections: u32,
    mode: Mode,
}

impl Builder {
    /// An upstream of `service` that announces itself to the agent at the base
    /// URL `agent`.
    pub(crate) fn new(service: id::Service, agent: String) -> Builder {
        Builder {
            service,
            agent,
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 8,
            connections: 64,
            mode: Mode::Normal,
        }
    }

    /// Listens on `address`. With port 0, the system picks a free port.
    pub(crate) fn listen(mut self, address: SocketAddr) -> Builder {
        self.listen = address;
        self
    }

    /// Sets the announced number of tasks that may run at once.
    pub(crate) fn slots(mut self, slots: u32) -> Builder {
        self.slots = slots;
        self
    }

    /// Sets the announced number of connections that may be open at once.
    pub(crate) fn connections(mut self, connections: u32) -> Builder {
        self.connections = connections;
        self
    }

    /// Sets how tasks are handled.
    pub(crate) fn mode(mut self, mode: Mode) -> Builder {
        self.mode = mode;
        self
    }

    /// Opens the listener.
    pub(crate) async fn bind(self) -> Result<Upstream> {
        let listen_error = |source| Error::Listen {
            address: self.listen,
            source,
        };
        let listener = TcpListener::bind(self.listen).await.map_err(listen_error)?;
        let address = listener.local_addr().map_err(listen_error)?;
        Ok(Upstream {
            announcement: Announcement {
                service: self.service,
                address,
                slots: self.slots,
                connections: self.connections,
                incarnation: new_incarnation(),
            },
            agent: self.agent,
            mode: self.mode,
            listener,
        })
    }
}

/// What an upstream announces to its agent about itself.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Announcement {
    pub(crate) service: id::Service,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) incarnation: id::Incarnation,
}

/// An example upstream whose listener is open.
#[derive(Debug)]
pub(crate) struct Upstream {
    announcement: Announcement,
    agent: String,
    mode: Mode,
    listener: TcpListener,
}

impl Upstream {
    /// The address that the upstream listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Serves until `stop` turns true, then sends a leave notice to the agent and finishes
    /// the running tasks.
    pub(crate) async fn serve(self, stop: watch::Receiver<bool>) {
        let counts = Arc::new(execution_counts::ExecutionCounts::default());
        let (close, closed) = watch::channel(false);
        let server = server::Server::new(self.listener, self.mode, counts.clone());
        let serving = tokio::spawn(server.run(closed));
        announce::announce_until_stopped(
            &client::Client::new(),
            &self.agent,
            &self.announcement,
            stop,
        )
        .await;
        wait_until_quiet(&counts).await;
        close.send_replace(true);
        // A panic in the server has been printed already.
        let _ = serving.await;
    }
}

/// Runs an upstream until SIGTERM or SIGINT.
pub(crate) fn run(builder: Builder) -> Result<()> {
    let _log = logging::start(&Log::default())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .map_err(Error::Runtime)?;
    runtime.block_on(async {
        let mut signals = Signals::listen().map_err(Error::Signal)?;
        let upstream = builder.bind().await?;
        println!("listening upstream {}", upstream.address());
        let (stop, stopped) = watch::channel(false);
        let serving = tokio::spawn(upstream.serve(stopped));
        signals.wait().await;
        stop.send_replace(true);
        // A panic in the upstream has been printed already.
        let _ = serving.await;
        Ok(())
    })
}

/// Waits until no task has run for [`QUIET_BEFORE_STOP`], since a task that the agent
/// sent just before it got the leave notice may still arrive.
async fn wait_until_quiet(counts: &execution_counts::ExecutionCounts) {
    let mut quiet = Duration::ZERO;
    while quiet < QUIET_BEFORE_STOP {
        tokio::time::sleep(QUIET_POLL_INTERVAL).await;
        quiet = if counts.is_idle() {
            quiet + QUIET_POLL_INTERVAL
        } else {
            Duration::ZERO
        };
    }
}

fn new_incarnation() -> id::Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    id::Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

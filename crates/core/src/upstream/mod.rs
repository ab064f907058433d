//! Example upstream: an HTTP server that runs tasks by sleeping.
//!
//! It stands in for a real back end on a developer's machine and in tests. It
//! counts what it ran per task, so that a test can prove that nothing ran twice
//! and that no more ran at once than its slots allow.

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
mod server;
mod tally;

const WORKER_THREADS: usize = 2;
const QUIET_BEFORE_STOP: Duration = Duration::from_millis(300);
const QUIET_POLL: Duration = Duration::from_millis(20);

/// Why an example upstream can't run.
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

/// A result whose error is an upstream that can't run.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// How the upstream treats the tasks it gets.
#[derive(Clone, Copy, Debug, Default, Display, EnumString, Eq, PartialEq, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Mode {
    /// Sleeps as long as asked, then echoes the body.
    #[default]
    Normal,
    /// Answers 500 at once.
    Fail,
    /// Sleeps ten times as long as asked.
    Slow,
    /// Closes the connection in place of an answer, once the task has run.
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

    /// Listens on `address`; port 0 takes a free one.
    pub(crate) fn listen(mut self, address: SocketAddr) -> Builder {
        self.listen = address;
        self
    }

    /// Announces this number of tasks that may run at once.
    pub(crate) fn slots(mut self, slots: u32) -> Builder {
        self.slots = slots;
        self
    }

    /// Announces this number of connections that may be open at once.
    pub(crate) fn connections(mut self, connections: u32) -> Builder {
        self.connections = connections;
        self
    }

    /// Treats tasks as `mode` says.
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
                incarnation: incarnation_now(),
            },
            agent: self.agent,
            mode: self.mode,
            listener,
        })
    }
}

/// What an upstream tells its agent about itself.
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
    /// The address it listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.announcement.address
    }

    /// Serves until `stop` turns true, then leaves and finishes what runs.
    pub(crate) async fn serve(self, stop: watch::Receiver<bool>) {
        let tally = Arc::new(tally::Tally::default());
        let (close, closed) = watch::channel(false);
        let server = server::Server::new(self.listener, self.mode, tally.clone());
        let serving = tokio::spawn(server.run(closed));
        announce::until_stopped(
            &client::Client::new(),
            &self.agent,
            &self.announcement,
            stop,
        )
        .await;
        until_quiet(&tally).await;
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

/// Returns once nothing has run for a while: a task that the agent started just
/// before it heard of the leave may still be on its way.
async fn until_quiet(tally: &tally::Tally) {
    let mut quiet = Duration::ZERO;
    while quiet < QUIET_BEFORE_STOP {
        tokio::time::sleep(QUIET_POLL).await;
        quiet = if tally.is_idle() {
            quiet + QUIET_POLL
        } else {
            Duration::ZERO
        };
    }
}

fn incarnation_now() -> id::Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    id::Incarnation(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}

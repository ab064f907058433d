//! Starts the roles configured in the settings and stops them on SIGTERM or SIGINT.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime};

use gentian::wire::control as wire;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::settings::Settings;
use crate::{agent, control, entry, lag, logging, reload};

/// Time that the control role has to finish requests in progress when it stops.
const CONTROL_DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Why the process can't be started.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// A listener can't be bound.
    #[error("can't listen on {field} {address}: {source}")]
    Listen {
        field: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    /// Logging can't be started.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// The replica of the control role can't be started.
    #[error(transparent)]
    Replica(#[from] control::StartError),
    /// The runtime or the signal handlers can't be set up.
    #[error("can't start the process: {0}")]
    Start(#[from] io::Error),
}

impl Error {
    /// Returns a function that maps the I/O error of binding `address`, the value of
    /// the setting `field`.
    pub(crate) fn listen(
        field: &'static str,
        address: SocketAddr,
    ) -> impl FnOnce(io::Error) -> Error {
        move |source| Error::Listen {
            field,
            address,
            source,
        }
    }
}

/// The result of starting the process or one of its roles.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Runs the roles until the process is signalled to stop and all roles have ended.
/// `path` is the settings file, which is reloaded when it changes.
pub(crate) fn run(settings: &Settings, path: &Path) -> Result<()> {
    // Dropped last, so that the lines logged during the shutdown are written.
    let _log_guard = logging::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()?;
    runtime.block_on(serve(settings, path))
}

async fn serve(settings: &Settings, path: &Path) -> Result<()> {
    // Installed before the roles start, so that no signal is missed.
    let mut signals = Signals::listen()?;
    let hangups = signal(SignalKind::hangup())?;
    let (control, control_addresses) = watch::channel(settings.control.clone());
    let roles = tokio::select! {
        roles = Roles::bind(settings, control_addresses) => roles?,
        () = signals.wait() => return Ok(()),
    };
    tokio::spawn(logging::report_dropped_lines());
    tokio::spawn(lag::measure());
    tokio::spawn(reload::watch_file(
        path.to_owned(),
        settings.clone(),
        hangups,
        control,
    ));
    let name = &settings.name;
    log::info!("process {name} is running");
    let (stop, stopped) = watch::channel(false);
    let running = tokio::spawn(roles.run(stopped));
    signals.wait().await;
    log::info!("process {name} is stopping");
    stop.send_replace(true);
    // A panic in a role was already reported when it happened.
    let _ = running.await;
    log::info!("process {name} has stopped");
    Ok(())
}

/// The roles of this process, with their listeners bound.
#[derive(Debug)]
pub(crate) struct Roles {
    control: Option<control::Role>,
    agent: Option<agent::Role>,
    entry: Option<entry::Role>,
}

impl Roles {
    /// Binds all listeners of the settings and prints their addresses. `seeds` holds
    /// the addresses of the control instances from the settings in force.
    pub(crate) async fn bind(
        settings: &Settings,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Result<Roles> {
        let mut seeds = seeds;
        let mut roles = Roles {
            control: None,
            agent: None,
            entry: None,
        };
        if let Some(section) = &settings.controller {
            let role = control::Role::bind(section, seeds.clone()).await?;
            println!("listening control-http {}", role.http()?);
            println!("listening control-peer {}", role.peer()?);
            if settings.control.is_empty() {
                // This process is the only control instance.
                seeds = watch::channel(vec![role.peer()?]).1;
            }
            roles.control = Some(role);
        }
        if let Some(section) = &settings.agent {
            let role = agent::Role::bind(settings, section, seeds.clone()).await?;
            println!("listening agent-http {}", role.http()?);
            println!("listening agent-peer {}", role.peer()?);
            roles.agent = Some(role);
        }
        if let Some(section) = &settings.entry {
            let role = entry::Role::bind(settings, section, seeds).await?;
            println!("listening entry-http {}", role.http()?);
            if let Some(ready) = role.ready()? {
                println!("listening entry-ready {ready}");
            }
            roles.entry = Some(role);
        }
        Ok(roles)
    }

    /// Returns the addresses of the control role for operators (HTTP) and for peers,
    /// if this process has that role.
    pub(crate) fn control(&self) -> Option<(SocketAddr, SocketAddr)> {
        let role = self.control.as_ref()?;
        Some((role.http().ok()?, role.peer().ok()?))
    }

    /// Returns the address of the entry role for callers, if this process has that
    /// role.
    pub(crate) fn entry_http(&self) -> Option<SocketAddr> {
        self.entry.as_ref()?.http().ok()
    }

    /// Returns the address of the agent role for the upstream, if this process has
    /// that role.
    pub(crate) fn agent_http(&self) -> Option<SocketAddr> {
        self.agent.as_ref()?.http().ok()
    }

    /// Runs until `stop` turns true and the roles have ended. The entry stops first,
    /// then the agent, which the entry's requests need, then control, with which both
    /// renew their leases.
    pub(crate) async fn run(self, mut stop: watch::Receiver<bool>) {
        let entry = self.entry.map(|role| {
            let timeout = role.drain_timeout();
            RunningRole::start("entry", timeout, |stop| role.run(stop))
        });
        let agent = self.agent.map(|role| {
            let timeout = role.drain_timeout();
            RunningRole::start("agent", timeout, |stop| role.run(stop))
        });
        let control = self.control.map(|role| {
            RunningRole::start("control", CONTROL_DRAIN_TIMEOUT, |stop| role.run(stop))
        });
        // A closed channel also means that the process stops.
        let _ = stop.wait_for(|stop| *stop).await;
        for role in [entry, agent, control].into_iter().flatten() {
            role.stop().await;
        }
    }
}

/// A role whose task is running.
struct RunningRole {
    name: &'static str,
    /// Time from the stop until requests still in progress are aborted.
    drain_timeout: Duration,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl RunningRole {
    fn start<F>(
        name: &'static str,
        drain_timeout: Duration,
        run: impl FnOnce(watch::Receiver<bool>) -> F,
    ) -> RunningRole
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(run(stopped));
        RunningRole {
            name,
            drain_timeout,
            stop,
            task,
        }
    }

    async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic in the role was already reported when it happened.
        if tokio::time::timeout(self.drain_timeout, &mut self.task)
            .await
            .is_err()
        {
            let timeout = humantime::format_duration(self.drain_timeout);
            log::warn!(
                "{}: not drained within {timeout}, aborting the requests in progress",
                self.name
            );
            self.task.abort();
        }
    }
}

/// The signals that stop the process.
pub(crate) struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub(crate) fn listen() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next of the signals.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Describes this process as a node in the given role; the address is left empty.
///
/// A process that is both entry and agent counts as two nodes with different names.
/// Under a common name, the incarnation started a millisecond later would supersede
/// the other.
pub(crate) fn node(settings: &Settings, role: wire::Role) -> wire::Node {
    let mut name = settings.name.to_string();
    if settings.entry.is_some() && settings.agent.is_some() {
        let suffix = match role {
            wire::Role::Agent => "-agent",
            wire::Role::Entry | wire::Role::Unspecified => "-entry",
        };
        name.push_str(suffix);
    }
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = started.unwrap_or_default().as_millis();
    wire::Node {
        name,
        incarnation: u64::try_from(millis).unwrap_or(u64::MAX),
        role: role.into(),
        address: String::new(),
        data_center: settings.data_center.to_string(),
        rack: settings.rack.to_string(),
        region: settings.region.to_string(),
    }
}

//! Starts the roles that the settings name and stops them on SIGTERM or SIGINT.

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
use crate::{agent, control, entry, logging, reload};

/// Longest time for control to end what is in progress.
const CONTROL_STOP: Duration = Duration::from_secs(10);

/// A role that can't be started.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {field} {address}: {source}")]
    Listen {
        field: &'static str,
        address: SocketAddr,
        source: io::Error,
    },
    /// The log can't be written.
    #[error(transparent)]
    Log(#[from] logging::Error),
    /// The data folder of the control role can't be used.
    #[error(transparent)]
    Replica(#[from] control::StartError),
    /// The runtime can't be started.
    #[error("can't start the process: {0}")]
    Start(#[from] io::Error),
}

impl Error {
    /// Makes the error for `field`, whose address can't be listened on.
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

/// A result whose error is a role that can't be started.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Runs until the process is told to stop and all roles have finished.
/// `path` is the settings file, which is read again when it changes.
pub(crate) fn run(settings: &Settings, path: &Path) -> Result<()> {
    // Dropped last, so that the last lines are written.
    let _log = logging::start(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()?;
    runtime.block_on(serve(settings, path))
}

async fn serve(settings: &Settings, path: &Path) -> Result<()> {
    // Before the roles start, so that no signal is missed.
    let mut signals = Signals::listen()?;
    let hangups = signal(SignalKind::hangup())?;
    let (control, told) = watch::channel(settings.control.clone());
    let roles = Roles::bind(settings, told).await?;
    tokio::spawn(logging::report_dropped_lines());
    tokio::spawn(reload::watch_file(
        path.to_owned(),
        settings.clone(),
        hangups,
        control,
    ));
    let name = &settings.name;
    log::info!("process {name} runs");
    let (stop, stopped) = watch::channel(false);
    let running = tokio::spawn(roles.run(stopped));
    signals.wait().await;
    log::info!("process {name} stops");
    stop.send_replace(true);
    // A panic in a role has been printed already.
    let _ = running.await;
    log::info!("process {name} has stopped");
    Ok(())
}

/// The roles of one process, listening.
#[derive(Debug)]
pub(crate) struct Roles {
    control: Option<control::Role>,
    agent: Option<agent::Role>,
    entry: Option<entry::Role>,
}

impl Roles {
    /// Listens on all addresses that the settings name, and prints each.
    /// `seeds` are the control instances to ask, as the settings name them now.
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
                // The one control instance is this process itself.
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

    /// Addresses for operators and for peers, where there is a control instance.
    pub(crate) fn control(&self) -> Option<(SocketAddr, SocketAddr)> {
        let role = self.control.as_ref()?;
        Some((role.http().ok()?, role.peer().ok()?))
    }

    /// Address for callers, where there is an entry.
    pub(crate) fn entry_http(&self) -> Option<SocketAddr> {
        self.entry.as_ref()?.http().ok()
    }

    /// Address for the upstream, where there is an agent.
    pub(crate) fn agent_http(&self) -> Option<SocketAddr> {
        self.agent.as_ref()?.http().ok()
    }

    /// Runs until `stop` turns true. The entry stops first, then the agent that
    /// its requests need, then control that both need for their leases.
    pub(crate) async fn run(self, mut stop: watch::Receiver<bool>) {
        let entry = self.entry.map(|role| {
            let limit = role.drain_timeout();
            Running::start("entry", limit, |stop| role.run(stop))
        });
        let agent = self.agent.map(|role| {
            let limit = role.drain_timeout();
            Running::start("agent", limit, |stop| role.run(stop))
        });
        let control = self
            .control
            .map(|role| Running::start("control", CONTROL_STOP, |stop| role.run(stop)));
        // A closed channel means that the process stops as well.
        let _ = stop.wait_for(|stop| *stop).await;
        for role in [entry, agent, control].into_iter().flatten() {
            role.stop().await;
        }
    }
}

/// A role that serves.
struct Running {
    name: &'static str,
    /// Longest time from the stop to the end of what is in progress.
    limit: Duration,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Running {
    fn start<F>(
        name: &'static str,
        limit: Duration,
        run: impl FnOnce(watch::Receiver<bool>) -> F,
    ) -> Running
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(run(stopped));
        Running {
            name,
            limit,
            stop,
            task,
        }
    }

    async fn stop(mut self) {
        self.stop.send_replace(true);
        // A panic in the role has been printed already.
        if tokio::time::timeout(self.limit, &mut self.task)
            .await
            .is_err()
        {
            let limit = humantime::format_duration(self.limit);
            log::warn!("{}: not drained within {limit}, cut off", self.name);
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
    /// Takes the signals over from now on.
    pub(crate) fn listen() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first signal.
    pub(crate) async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The node that this process is in the given role, without its address.
///
/// A process that is both entry and agent is two nodes: under one name, the one
/// that started a millisecond later would make the other stale.
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

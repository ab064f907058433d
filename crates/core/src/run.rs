//! Starts the roles that the settings name and stops them on SIGTERM or SIGINT.

use std::io;
use std::time::SystemTime;

use gentian::wire::control as wire;

use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::settings::Settings;
use crate::{agent, control, entry};

/// A role that can't be started.
#[derive(Debug, miette::Diagnostic, thiserror::Error)]
pub(crate) enum Error {
    /// An address can't be listened on.
    #[error("can't listen on {field} {address}: {source}")]
    Listen {
        field: &'static str,
        address: std::net::SocketAddr,
        source: io::Error,
    },
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
        address: std::net::SocketAddr,
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
pub(crate) fn run(settings: &Settings) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .thread_name("traffic")
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: &Settings) -> Result<()> {
    // Before the roles start, so that no signal is missed.
    let mut signals = Signals::listen()?;
    let (stop, stopped) = watch::channel(false);
    let mut roles = JoinSet::new();
    if let Some(section) = &settings.controller {
        let role = control::Role::bind(section).await?;
        println!("listening control-http {}", role.http()?);
        println!("listening control-peer {}", role.peer()?);
        roles.spawn(role.run(stopped.clone()));
    }
    if let Some(section) = &settings.agent {
        let role = agent::Role::bind(settings, section).await?;
        println!("listening agent-http {}", role.http()?);
        println!("listening agent-peer {}", role.peer()?);
        roles.spawn(role.run(stopped.clone()));
    }
    if let Some(section) = &settings.entry {
        let role = entry::Role::bind(settings, section).await?;
        println!("listening entry-http {}", role.http()?);
        roles.spawn(role.run(stopped.clone()));
    }
    signals.wait().await;
    stop.send_replace(true);
    while roles.join_next().await.is_some() {}
    Ok(())
}

/// The signals that stop the process.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn listen() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn wait(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The node that this process is in the given role, without its address.
pub(crate) fn node(settings: &Settings, role: wire::Role) -> wire::Node {
    let started = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let millis = started.unwrap_or_default().as_millis();
    wire::Node {
        name: settings.name.to_string(),
        incarnation: u64::try_from(millis).unwrap_or(u64::MAX),
        role: role.into(),
        address: String::new(),
        data_center: settings.data_center.to_string(),
        rack: settings.rack.to_string(),
        region: settings.region.to_string(),
    }
}

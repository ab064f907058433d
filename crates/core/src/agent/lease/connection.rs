//! Connections to the upstream's process, each of which has told which process it leads to.
//!
//! A lease ends at a time on the clock of one process. A process that has taken the place of
//! another takes that time for one on its own clock, and holds its runs for too long. So an
//! order is sent only on a connection whose peer has named itself, and the end of the lease in it
//! is computed from what that peer has said of its clock on the same connection.

use std::time::Duration;

use bytes::Bytes;
use gentian::claim::run::UpstreamClock;
use gentian_platform::order::{self, Authority, Clock};

use super::order::Recipient;
use super::supervisor::{State, Supervisor};
use crate::client;
use crate::clock;

/// Timeout of opening a connection, and of the first answer on it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(80);
/// Age from which on a reading of the upstream's clock is taken again before a lease is computed
/// from it, since the lease is shorter by what the clock may have drifted.
const MAX_READING_AGE: Duration = Duration::from_secs(1);
/// Most connections kept for later orders.
const MAX_IDLE: usize = 8;

/// A connection to a process of the upstream.
#[derive(Debug)]
pub(super) struct Connection {
    inner: client::Connection,
    /// The process that it leads to.
    pub(super) recipient: Recipient,
    /// The process's clock, as last read on this connection.
    clock: UpstreamClock,
}

/// Why there is no connection to the upstream.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// The connection can't be opened, or its first request got no answer.
    #[error(transparent)]
    Client(#[from] client::Error),
    /// Its first request got an answer that can't be used.
    #[error("the upstream didn't say what it runs")]
    Unusable,
    /// No upstream is known, or another process has taken its place.
    #[error("no upstream is known, or another process has taken its place")]
    Replaced,
}

/// The result of connecting to the upstream.
pub(super) type Result<T> = std::result::Result<T, Error>;

impl Connection {
    /// Sends a request to the process, and reads the answer.
    pub(super) async fn send(
        &mut self,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> client::Result<client::Answer> {
        self.inner.send(request, timeout).await
    }

    /// The process's clock now. The result may be too early, by the time that the last reading
    /// was on its way.
    pub(super) fn clock(&self) -> Duration {
        self.clock.lower_bound(clock::steady())
    }

    /// Records a reading of the process's clock, which arrived just now.
    pub(super) fn set_clock(&mut self, reading: Clock) {
        self.clock = UpstreamClock::new(reading.now, clock::steady());
    }

    fn is_fresh(&self) -> bool {
        self.clock.age(clock::steady()) <= MAX_READING_AGE
    }
}

impl Supervisor {
    /// Returns a connection to the upstream's present process, which the caller alone uses until
    /// it hands the connection back with [`release`](Self::release), or drops it after an error.
    pub(super) async fn connect(&self) -> Result<Connection> {
        let recipient = self.state().recipient().ok_or(Error::Replaced)?;
        let idle = self.state().take_idle();
        match idle {
            Some(connection) if connection.is_fresh() => return Ok(connection),
            Some(connection) => match self.identify(connection.inner, &recipient).await {
                // The others have been silent for longer, and may lead nowhere.
                Err(Error::Client(_)) => self.state().idle.clear(),
                identified => return identified,
            },
            None => {}
        }
        let opened = client::Connection::open(recipient.address, CONNECT_TIMEOUT).await;
        let connected = match opened {
            Ok(connection) => self.identify(connection, &recipient).await,
            Err(error) => Err(error.into()),
        };
        if let Err(Error::Client(error)) = &connected {
            self.handle_failed_order(&mut self.state(), &recipient, error);
        }
        connected
    }

    /// Asks the process at the other end who it is. The request grants no lease.
    async fn identify(
        &self,
        mut inner: client::Connection,
        recipient: &Recipient,
    ) -> Result<Connection> {
        let token = self.state().token;
        let authority = Authority { token, until: None };
        let request = order::poll(&recipient.id, 0, Duration::ZERO, authority);
        let answer = inner.send(request, CONNECT_TIMEOUT).await?;
        let list = self.read_list(recipient, token, &answer);
        let list = list.ok_or(Error::Unusable)?;
        if !self.verify_sender(&mut self.state(), recipient, &list) {
            return Err(Error::Replaced);
        }
        Ok(Connection {
            inner,
            recipient: recipient.clone(),
            clock: UpstreamClock::new(list.clock.now, clock::steady()),
        })
    }

    /// Keeps a connection whose last request was answered for later orders.
    pub(super) fn release(&self, connection: Connection) {
        let mut state = self.state();
        let outdated = connection.recipient.is_outdated(&state);
        if !outdated && state.idle.len() < MAX_IDLE {
            state.idle.push(connection);
        }
    }
}

impl State {
    /// The upstream's present process.
    pub(super) fn recipient(&self) -> Option<Recipient> {
        let upstream = self.upstream.as_ref()?;
        Some(Recipient {
            id: upstream.incarnation().id.clone(),
            address: upstream.report.address,
            replacements: self.replacements,
        })
    }

    /// Takes the connection that was used last. Those that the upstream has closed are dropped.
    fn take_idle(&mut self) -> Option<Connection> {
        self.idle.retain(|connection| connection.inner.is_open());
        self.idle.pop()
    }
}

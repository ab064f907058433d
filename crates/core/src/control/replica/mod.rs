//! This instance's part in the replicated log.
//!
//! One thread owns the replica and its store; [`Handle`] is how everything else
//! asks it for something.

mod clock;
mod heal;
mod log;
mod members;
mod publish;
mod thread;
mod transport;

use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use gentian::quorum::repair::MembershipRepair;
use gentian::quorum::replica::{self, Settings};
use gentian::quorum::store::{self, FileStore};
use gentian::quorum::{Replica, StateMachine};
use gentian::wire::quorum::quorum_server::QuorumServer;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::oneshot;

pub(crate) use members::Request;
pub(crate) use publish::Status;

use publish::Published;
use thread::{Event, Inbox, Thread};
use transport::{Post, LETTER_BYTES};

const INBOX_EVENTS: usize = 4096;

/// Why a request to the replicated log failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was proposed.
    #[error("{0}")]
    Refused(replica::Error),
    /// It may or may not be accepted.
    #[error("leadership was lost before the change was known to be accepted")]
    Unknown,
    /// The instance takes no more requests.
    #[error("control instance is overloaded or stopping")]
    Busy,
    /// The request names something that doesn't exist or can't be reached.
    #[error("{field} {value:?}: {reason}")]
    Invalid {
        field: &'static str,
        value: String,
        reason: String,
    },
}

/// A result whose error is a failed request to the replicated log.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A replica that can't be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// Its store can't be opened.
    #[error("data folder {path}: {source}")]
    Store { path: String, source: store::Error },
    /// Its thread can't be started.
    #[error("can't start the control thread: {0}")]
    Thread(#[from] io::Error),
}

/// Asks the replica of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    inbox: Inbox,
    published: Published,
    service: transport::Service,
    healer: Arc<Mutex<MembershipRepair>>,
}

impl Handle {
    /// Opens the data folder and starts the thread, within a tokio runtime.
    ///
    /// `address` is where other instances reach this one until the members say so.
    /// `tolerated` is how many lost members the cluster is to bear at once,
    /// where it keeps its members by itself.
    pub(crate) fn start<M>(
        path: &Path,
        address: String,
        tolerated: usize,
        machine: M,
    ) -> std::result::Result<Handle, StartError>
    where
        M: StateMachine + Send + 'static,
    {
        let mut rng = StdRng::from_os_rng();
        let store = FileStore::open_path(path, &mut rng).map_err(|source| StartError::Store {
            path: path.display().to_string(),
            source,
        })?;
        let id = store.state().id;
        let replica = Replica::new(
            Settings::default(),
            store.state().clone(),
            rng,
            clock::now(),
        );
        let (inbox, events) = channel::bounded(INBOX_EVENTS);
        let published = Published::new(&replica);
        let thread = Thread {
            path: path.to_owned(),
            address,
            blank: machine.snapshot(),
            machine,
            store: Some(store),
            replica,
            post: Post::new(tokio::runtime::Handle::current(), id),
            published: published.clone(),
            addresses: BTreeMap::new(),
            waiting: BTreeMap::new(),
            written: 0,
            applied: 0,
            reopen_at: Duration::ZERO,
        };
        let builder = std::thread::Builder::new().name("control".to_owned());
        builder.spawn(move || thread.run(&events))?;
        let service = transport::Service {
            id,
            inbox: inbox.clone(),
        };
        Ok(Handle {
            inbox,
            published,
            service,
            healer: Arc::new(Mutex::new(MembershipRepair::new(tolerated))),
        })
    }

    /// What takes the messages of other instances.
    pub(crate) fn server(&self) -> QuorumServer<transport::Service> {
        QuorumServer::new(self.service.clone()).max_decoding_message_size(LETTER_BYTES)
    }

    /// Commits a payload and returns the machine's reply to it.
    pub(crate) async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>> {
        let payload = Bytes::from(payload);
        self.ask(|answer| Event::Propose { payload, answer }).await
    }

    /// The term in which this instance leads at the time of the call, confirmed
    /// by a majority, or the address of the instance that leads.
    pub(crate) fn leader(&self) -> std::result::Result<u64, Option<String>> {
        self.published.leader()
    }

    /// The replica's state after its last event.
    pub(crate) fn status(&self) -> Status {
        self.published.get()
    }

    /// Ends the thread; what is in progress stays unknown to whoever waits.
    pub(crate) fn stop(&self) {
        // A full inbox or an ended thread needs no second word.
        let _ = self.inbox.send_timeout(Event::Stop, Duration::from_secs(1));
    }

    async fn ask(&self, event: impl FnOnce(thread::Answer) -> Event) -> Result<Vec<u8>> {
        let (answer, answered) = oneshot::channel();
        let sent = self.inbox.try_send(event(answer));
        sent.map_err(|_| Error::Busy)?;
        answered.await.unwrap_or(Err(Error::Unknown))
    }
}

//! This instance's replica of the replicated log.
//!
//! One thread owns the replica and its store. Everything else sends it requests
//! through a [`Handle`].

mod member_changes;
mod repair;
mod replicated_log;
mod status;
mod thread;
mod transport;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use crossbeam::channel;
use gentian::quorum::repair::MembershipRepair;
use gentian::quorum::replica::{self, Settings};
use gentian::quorum::store::disk::Folder;
use gentian::quorum::store::{self, FileStore};
use gentian::quorum::{Replica, StateMachine};
use gentian::wire::quorum::quorum_server::QuorumServer;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::oneshot;

pub(crate) use member_changes::ChangeRequest;
pub(crate) use status::Status;

use status::SharedStatus;
use thread::{Event, EventSender, ReplicaThread, REOPEN_DELAY};
use transport::{Outbox, MAX_BATCH_BYTES};

use crate::clock;
use crate::panics::Mutex;

/// Capacity of the queue of events for the replica's thread.
const EVENT_QUEUE_CAPACITY: usize = 4096;

/// Why a request to the replicated log failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// Nothing was proposed.
    #[error("{0}")]
    Refused(replica::Error),
    /// The request may or may not be committed.
    #[error("leadership was lost before the change was confirmed; it may still be committed")]
    Unknown,
    /// The thread's event queue is full, or the thread has ended.
    #[error("this control instance is overloaded or stopping")]
    Busy,
    /// The request has an address without a member or an instance that can't be
    /// identified.
    #[error("{field} {value:?}: {reason}")]
    Invalid {
        field: &'static str,
        value: String,
        reason: String,
    },
}

/// The result of a request to the replicated log.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Why the replica can't be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartError {
    /// The store can't be opened.
    #[error("data folder {path}: {source}")]
    Store { path: String, source: store::Error },
    /// The folder of old records can't be opened.
    #[error("history in data folder {path}: {source}")]
    Archive { path: String, source: io::Error },
    /// The thread can't be started.
    #[error("can't start the control thread: {0}")]
    Thread(#[from] io::Error),
}

/// Opens the store in a data folder, and waits for as long as its disk is full: to end would
/// bring no room, and the next start would end as well.
pub(crate) async fn open_store(path: &Path) -> std::result::Result<FileStore<Folder>, StartError> {
    loop {
        let error = match FileStore::open_path(path, &mut StdRng::from_os_rng()) {
            Ok(store) => return Ok(store),
            Err(error) => error,
        };
        let path = path.display().to_string();
        if !error.is_full() {
            let source = error;
            return Err(StartError::Store { path, source });
        }
        log::error!(
            "data folder {path} can't be opened, trying again in {REOPEN_DELAY:?}: {error}"
        );
        tokio::time::sleep(REOPEN_DELAY).await;
    }
}

/// Sends requests to the replica of this instance.
#[derive(Clone, Debug)]
pub(crate) struct Handle {
    events: EventSender,
    shared_status: SharedStatus,
    service: transport::Service,
    repair: Arc<Mutex<MembershipRepair>>,
}

impl Handle {
    /// Starts the thread with the store in the data folder `path`. Must be called within a
    /// tokio runtime.
    ///
    /// `address` is sent to other instances as this one's address until it is a member
    /// with an address. `tolerated` is the number of lost members that a cluster with
    /// automatic membership must tolerate at once.
    pub(crate) fn start<M>(
        path: &Path,
        store: FileStore<Folder>,
        address: String,
        tolerated: usize,
        machine: M,
    ) -> std::result::Result<Handle, StartError>
    where
        M: StateMachine + Send + 'static,
    {
        let rng = StdRng::from_os_rng();
        let id = store.state().id;
        let replica = Replica::new(
            Settings::default(),
            store.state().clone(),
            rng,
            clock::now(),
        );
        let (event_sender, events) = channel::bounded(EVENT_QUEUE_CAPACITY);
        let shared_status = SharedStatus::new(&replica);
        let thread = ReplicaThread {
            path: path.to_owned(),
            address,
            initial_snapshot: machine.snapshot(),
            machine,
            store: Some(store),
            replica,
            outbox: Outbox::new(tokio::runtime::Handle::current(), id),
            shared_status: shared_status.clone(),
            addresses: BTreeMap::new(),
            waiting: BTreeMap::new(),
            last_written: 0,
            to_apply: VecDeque::new(),
            last_applied: 0,
            reopen_at: Duration::ZERO,
        };
        let builder = std::thread::Builder::new().name("control".to_owned());
        builder.spawn(move || thread.run(&events))?;
        let service = transport::Service {
            id,
            events: event_sender.clone(),
        };
        Ok(Handle {
            events: event_sender,
            shared_status,
            service,
            repair: Arc::new(Mutex::new(MembershipRepair::new(tolerated))),
        })
    }

    /// Returns the gRPC server that receives the messages of other instances.
    pub(crate) fn server(&self) -> QuorumServer<transport::Service> {
        QuorumServer::new(self.service.clone()).max_decoding_message_size(MAX_BATCH_BYTES)
    }

    /// Commits a payload and returns the state machine's reply to it.
    pub(crate) async fn propose(&self, payload: Vec<u8>) -> Result<Vec<u8>> {
        let payload = Bytes::from(payload);
        self.request(|reply| Event::Propose { payload, reply })
            .await
    }

    /// Returns the term in which this instance leads at the time of the call, confirmed
    /// by a majority, or the address of the leader as far as it is known.
    pub(crate) fn leader(&self) -> std::result::Result<u64, Option<String>> {
        self.shared_status.leader()
    }

    /// Whether this instance is leader in its own view but not confirmed by a majority.
    pub(crate) fn is_unconfirmed(&self) -> bool {
        self.shared_status.is_unconfirmed()
    }

    /// Returns the replica's status after its last event.
    pub(crate) fn status(&self) -> Status {
        self.shared_status.get()
    }

    /// Ends the thread. Requests in progress fail with [`Error::Unknown`].
    pub(crate) fn stop(&self) {
        // If the queue stays full, the thread ends with the process.
        let _ = self
            .events
            .send_timeout(Event::Stop, Duration::from_secs(1));
    }

    /// Sends an event to the thread and waits for the reply.
    async fn request(&self, event: impl FnOnce(thread::ReplySender) -> Event) -> Result<Vec<u8>> {
        let (sender, reply) = oneshot::channel();
        let sent = self.events.try_send(event(sender));
        sent.map_err(|_| Error::Busy)?;
        reply.await.unwrap_or(Err(Error::Unknown))
    }
}

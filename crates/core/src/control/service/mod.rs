//! The gRPC service of control for entries and agents.
//!
//! Replies are linearizable: each is computed from the state first, and sent only if
//! this instance still leads afterwards. It therefore reflects everything that was
//! committed before the request arrived.

mod api;
mod loan;
mod patch;
mod renewal;

use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use gentian::claim::key_window::{MAX_CLOCK_SKEW, RETENTION};
use gentian::member::state::{Command, Reply};
use gentian::member::view::Event;
use tonic::Status;

use super::state::{AppliedState, Backlog, Error, Leader, LeaderState, ReplicatedLog, SharedState};
use crate::panics::Mutex;
use crate::renew::VIEW_GRACE;

/// How long a view is kept after the next one came into force: the retention of keys,
/// plus the time that a node may still act on the view, plus twice the maximum clock
/// skew.
const VIEW_RETENTION: Duration =
    Duration::from_secs(RETENTION.as_secs() + VIEW_GRACE.as_secs() + 2 * MAX_CLOCK_SKEW.as_secs());

/// How long a request waits for the leadership of this instance to be confirmed. An
/// unconfirmed leader steps down after one election timeout.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);
const CONFIRMATION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The service of one control instance.
#[derive(Debug)]
pub(crate) struct Service<L> {
    log: Arc<L>,
    shared: SharedState,
    leader_state: Arc<Mutex<LeaderState>>,
}

impl<L> Clone for Service<L> {
    fn clone(&self) -> Service<L> {
        Service {
            log: self.log.clone(),
            shared: self.shared.clone(),
            leader_state: self.leader_state.clone(),
        }
    }
}

impl<L: ReplicatedLog> Service<L> {
    /// Creates the service on `log`, which applies its entries to `shared`.
    pub(crate) fn new(log: Arc<L>, shared: SharedState) -> Service<L> {
        let leader_state = LeaderState::new(0, shared.now());
        Service {
            log,
            shared,
            leader_state: Arc::new(Mutex::new(leader_state)),
        }
    }

    /// Returns the replicated state, which may be outdated unless this instance leads.
    pub(crate) fn shared(&self) -> &SharedState {
        &self.shared
    }

    /// Returns the leader at the time of the call.
    pub(crate) fn leader(&self) -> Leader {
        self.log.leader()
    }

    /// Waits while this instance is leader in its own view but not confirmed by a
    /// majority, at most for [`CONFIRMATION_TIMEOUT`]. Requests that need the leader call
    /// this first, so that a stall of the process delays them instead of failing them.
    pub(crate) async fn wait_for_confirmation(&self) {
        let give_up_at = Instant::now() + CONFIRMATION_TIMEOUT;
        while self.log.is_unconfirmed() && Instant::now() < give_up_at {
            tokio::time::sleep(CONFIRMATION_POLL_INTERVAL).await;
        }
    }

    /// Reads the state. Returns `None` unless this instance led in the same term before
    /// and after the read.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&AppliedState) -> T) -> Option<T> {
        let before = self.log.leader();
        let value = read(&self.shared.read());
        let leads = matches!(before, Leader::This { .. }) && self.log.leader() == before;
        leads.then_some(value)
    }

    /// Returns what this instance holds of the log.
    pub(crate) fn backlog(&self) -> Backlog {
        self.log.backlog()
    }

    /// Returns the peer addresses of the control instances.
    pub(crate) fn members(&self) -> Vec<String> {
        self.log.members()
    }

    /// If this instance leads, proposes the view changes that are due. To be called
    /// several times a second.
    pub(crate) async fn tick(&self) {
        let Leader::This { term } = self.log.leader() else {
            return;
        };
        for event in self.due_events(term) {
            self.commit_event(event).await;
        }
    }

    fn due_events(&self, term: u64) -> Vec<Event> {
        let now = self.shared.now();
        let applied = self.shared.read();
        let mut leader_state = self.leader_state();
        let leases = &mut leader_state.for_term(term, now).leases;
        let mut events = leases.tick(now, applied.state.window());
        drop((applied, leader_state));
        let outdated = self.shared.take_outdated_views(VIEW_RETENTION);
        events.extend(outdated.map(Event::Forget));
        events
    }

    /// Proposes a view change. If it is lost, a later tick proposes it again.
    async fn commit_event(&self, event: Event) {
        log::info!("proposing view change: {event:?}");
        if let Err(error) = self.commit(Command::View(event)).await {
            log::warn!("view change is not confirmed and is proposed again if still due: {error}");
        }
    }

    async fn commit(&self, command: Command) -> Result<Reply, Error> {
        let payload = command.encode().expect("a command can be written as JSON");
        let reply = self.log.propose(payload).await?;
        Ok(Reply::decode(&reply).expect("the state machine returns an encoded reply"))
    }

    fn leader_state(&self) -> MutexGuard<'_, LeaderState> {
        self.leader_state.lock()
    }
}

/// Returns the leader's address, or an empty text if it isn't known.
fn leader_address(leader: Leader) -> String {
    match leader {
        Leader::Other(Some(address)) => address.to_string(),
        Leader::This { .. } | Leader::Other(None) => String::new(),
    }
}

fn malformed(error: impl std::fmt::Display) -> Status {
    Status::invalid_argument(error.to_string())
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

//! The lease of a node, with the configuration and the views it has received.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gentian::claim::placement::{self, ViewHistory};
use gentian::config::document::{Document, Problem};
use gentian::member::member;
use gentian::member::node_lease::{Grant, Lease, StaleGrant};
use gentian::member::view::{self, Delta, Window};
use gentian::wire::control::{Member, RenewReply};
use gentian::wire::id::{Version, View};

use crate::clock;

/// Why a node rejects the reply to a renewal.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("document is not valid JSON: {0}")]
    Json(#[from] serde_json::Error),
    #[error("document is invalid: {}", list(.0))]
    Document(Vec<Problem>),
    #[error("member is malformed: {0}")]
    Member(#[from] member::Error),
    #[error("view changes can't be applied: {0}")]
    View(#[from] view::Error),
    #[error("view changes end at view {found}, but the reply is for view {expected}")]
    ViewMismatch { found: View, expected: View },
    #[error(transparent)]
    Stale(#[from] StaleGrant),
}

/// The result of applying the reply to a renewal.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// A node's lease, and the configuration and views that it may act on while the
/// lease is valid. All times are those of [`clock::now`], so that a node doesn't act on what
/// has become outdated while its system was suspended.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    origin: Duration,
    lease: Lease,
    /// Upper bound of the time at which the view came into force.
    view_since: Duration,
    /// Version of the configuration in force.
    pub(crate) version: u64,
    /// The configuration in force.
    pub(crate) document: Arc<Document>,
    /// Number of the view in force.
    pub(crate) view: u64,
    /// The view's members.
    pub(crate) members: Vec<Member>,
    /// Fingerprint of `present` as computed by control; 0 before the first list.
    pub(crate) roster: u64,
    /// Agents that renew their lease, including those not yet in the view. Sent to
    /// entries only.
    pub(crate) present: Arc<Vec<member::Member>>,
    /// Number of agents in the last list that could not be read.
    pub(crate) unreadable: usize,
    /// When the last successful renewal was sent.
    renewed_at: Option<Duration>,
    /// When a renewal last ended without a grant, in milliseconds; 0 before the first. It is
    /// shared with later states, since a failure is no new state that others act on.
    failed_at_ms: Arc<AtomicU64>,
    /// The view in force and the earlier views that are still needed.
    pub(crate) window: Arc<Window>,
}

impl Default for LeaseState {
    /// The state before the first renewal: no lease, configuration or view.
    fn default() -> LeaseState {
        let now = clock::now();
        LeaseState {
            origin: now,
            lease: Lease::default(),
            view_since: now,
            version: 0,
            document: Arc::default(),
            view: 0,
            members: Vec::new(),
            roster: 0,
            present: Arc::default(),
            unreadable: 0,
            renewed_at: None,
            failed_at_ms: Arc::default(),
            window: Arc::default(),
        }
    }
}

impl LeaseState {
    /// Whether the node holds a lease that is valid at `now`.
    pub(crate) fn in_force(&self, now: Duration) -> bool {
        self.lease.in_force(self.since_origin(now)).is_some()
    }

    /// Time since the last successful renewal was sent, if there was one. The
    /// configuration and the view were in force then.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        Some(now.saturating_sub(self.renewed_at?))
    }

    /// Whether the last renewal is older than `age`, though none has failed within `age`: this
    /// node has not asked, since it stood still.
    pub(crate) fn has_stood_still(&self, now: Duration, age: Duration) -> bool {
        let failed_at = Duration::from_millis(self.failed_at_ms.load(Ordering::Relaxed));
        let asked_at = self.renewed_at.unwrap_or_default().max(failed_at);
        now.saturating_sub(asked_at) > age
    }

    /// Records that a renewal ended without a grant.
    pub(super) fn record_failure(&self, now: Duration) {
        let now = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        self.failed_at_ms.store(now, Ordering::Relaxed);
    }

    /// Time until the lease expires; `None` if there is no valid lease.
    pub(super) fn remaining(&self, now: Duration) -> Option<Duration> {
        let left = self.lease.remaining(self.since_origin(now));
        (!left.is_zero()).then_some(left)
    }

    /// Lower bound of the time that the view has been in force.
    pub(crate) fn view_age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.view_since)
    }

    /// Adds the views that are missing from `history`. `wall` is the wall-clock time
    /// now, since the Unix epoch.
    ///
    /// Only the age of the view in force is known. The earlier ones get the same
    /// age, which is too low, so the history keeps them longer than necessary.
    pub(crate) fn update_history(&self, history: &mut ViewHistory, wall: Duration) {
        let from = wall.saturating_sub(self.view_age(clock::now()));
        let known = history.number();
        self.window.for_each(|number, members| {
            let members = || members.values().map(placement_member).collect();
            if number > known && number == self.window.floor() {
                history.reset(placement::View::new(number, from, members()));
            } else if number > known {
                history.push(placement::View::new(number, from, members()));
            }
        });
    }

    /// Returns the state after a granted renewal whose request was sent at `sent`
    /// and whose reply was received at `received`.
    pub(super) fn with_reply(
        &self,
        sent: Duration,
        received: Duration,
        reply: &RenewReply,
    ) -> Result<LeaseState> {
        let mut state = self.clone();
        state.lease.accept(Grant {
            sent: self.since_origin(sent),
            lease: Duration::from_millis(reply.lease_ms.into()),
            version: Version(reply.version),
            view: View(reply.view),
        })?;
        state.apply_document(reply)?;
        state.apply_view(received, reply)?;
        state.apply_present(reply);
        state.renewed_at = Some(sent);
        Ok(state)
    }

    fn apply_document(&mut self, reply: &RenewReply) -> Result<()> {
        if reply.version > self.version {
            let value = serde_json::from_slice(&reply.document)?;
            let document = Document::read(&value).map_err(Error::Document)?;
            self.document = Arc::new(document);
            self.version = reply.version;
        }
        Ok(())
    }

    fn apply_present(&mut self, reply: &RenewReply) {
        if reply.roster == self.roster {
            return;
        }
        let (present, errors) = member::read_list(&reply.present);
        for error in &errors {
            log::warn!("skipped an agent that control lists: {error}");
        }
        self.unreadable = errors.len();
        self.present = Arc::new(present);
        self.roster = reply.roster;
    }

    fn apply_view(&mut self, received: Duration, reply: &RenewReply) -> Result<()> {
        let age = Duration::from_millis(reply.view_age_ms);
        let since = received.checked_sub(age).unwrap_or(self.origin);
        let same = reply.view == self.view;
        self.view_since = if same {
            since.min(self.view_since)
        } else {
            since
        };
        let delta = Delta::read(reply)?;
        let floor = View(reply.floor);
        if same && !reply.whole && floor == self.window.floor() {
            return Ok(());
        }
        let window = Arc::make_mut(&mut self.window);
        window.apply_delta(delta)?;
        let (found, expected) = (window.number(), View(reply.view));
        if found != expected {
            return Err(Error::ViewMismatch { found, expected });
        }
        self.members = window.members().values().map(Member::from).collect();
        self.view = reply.view;
        Ok(())
    }

    fn since_origin(&self, now: Duration) -> Duration {
        now.saturating_sub(self.origin)
    }
}

fn placement_member(member: &member::Member) -> placement::Member {
    let services = member.upstreams.iter().map(|u| u.service.clone());
    placement::Member::new(member.node.clone(), services.collect())
}

fn list(problems: &[Problem]) -> String {
    let messages: Vec<String> = problems.iter().map(Problem::to_string).collect();
    messages.join("; ")
}

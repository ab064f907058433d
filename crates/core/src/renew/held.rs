//! What a node knows of the system, and until when it may act on it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::claim::placement::{self, ViewHistory};
use gentian::config::document::{Document, Problem};
use gentian::member::member;
use gentian::member::node_lease::{Grant, Lease, StaleGrant};
use gentian::member::view::{self, Delta, Window};
use gentian::wire::control::{Member, RenewReply};
use gentian::wire::id::{Version, View};

/// A grant that the node can't act on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    #[error("the configuration is unreadable: {0}")]
    Json(#[from] serde_json::Error),
    #[error("the configuration is not allowed here: {}", list(.0))]
    Document(Vec<Problem>),
    #[error("the view is malformed: {0}")]
    Member(#[from] member::Error),
    #[error("the view does not follow: {0}")]
    View(#[from] view::Error),
    #[error("the view ends at {found} where {named} was named")]
    Ends { found: View, named: View },
    #[error(transparent)]
    Reverted(#[from] StaleGrant),
}

/// A result whose error is a grant that the node can't act on.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// What a node knows of the system, and until when it may act on it.
#[derive(Clone, Debug)]
pub(crate) struct LeaseState {
    origin: Instant,
    hold: Lease,
    /// When the view came into force, at the latest.
    view_since: Instant,
    /// The version in force.
    pub(crate) version: u64,
    /// The configuration in force.
    pub(crate) document: Arc<Document>,
    /// The view in force.
    pub(crate) view: u64,
    /// The view's members.
    pub(crate) members: Vec<Member>,
    /// Tells one list of `present` from another.
    pub(crate) roster: u64,
    /// Agents that renew, whether or not the view lists them yet.
    pub(crate) present: Arc<Vec<member::Member>>,
    /// When control was last asked with success.
    renewed_at: Option<Instant>,
    /// All views that are still of use.
    pub(crate) window: Arc<Window>,
}

impl Default for LeaseState {
    /// Nothing is in force before the first renewal.
    fn default() -> LeaseState {
        let now = Instant::now();
        LeaseState {
            origin: now,
            hold: Lease::default(),
            view_since: now,
            version: 0,
            document: Arc::default(),
            view: 0,
            members: Vec::new(),
            roster: 0,
            present: Arc::default(),
            renewed_at: None,
            window: Arc::default(),
        }
    }
}

impl LeaseState {
    /// Whether the node may act on what it knows.
    pub(crate) fn in_force(&self, now: Instant) -> bool {
        self.hold.in_force(self.since_origin(now)).is_some()
    }

    /// How old what the node knows is, where it knows anything.
    pub(crate) fn age(&self, now: Instant) -> Option<Duration> {
        Some(now.saturating_duration_since(self.renewed_at?))
    }

    /// Until when the node may act, where it holds a lease.
    pub(crate) fn until(&self) -> Option<Instant> {
        let now = Instant::now();
        let left = self.hold.remaining(self.since_origin(now));
        (!left.is_zero()).then(|| now + left)
    }

    /// How long the view has been in force, at least.
    pub(crate) fn view_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.view_since)
    }

    /// Adds the views that `views` lacks, at wall time `wall`.
    ///
    /// Only the age of the one in force is known. The others are taken to be
    /// as young, which keeps them for longer.
    pub(crate) fn update_history(&self, views: &mut ViewHistory, wall: Duration) {
        let from = wall.saturating_sub(self.view_age(Instant::now()));
        let known = views.number();
        self.window.for_each(|number, members| {
            let members = || members.values().map(placed).collect();
            if number > known && number == self.window.floor() {
                views.reset(placement::View::new(number, from, members()));
            } else if number > known {
                views.push(placement::View::new(number, from, members()));
            }
        });
    }

    /// What the node holds after a grant for the request sent at `sent`.
    pub(super) fn renewed(
        &self,
        sent: Instant,
        received: Instant,
        reply: &RenewReply,
    ) -> Result<LeaseState> {
        let mut held = self.clone();
        held.hold.accept(Grant {
            sent: self.since_origin(sent),
            lease: Duration::from_millis(reply.lease_ms.into()),
            version: Version(reply.version),
            view: View(reply.view),
        })?;
        held.take_document(reply)?;
        held.take_view(received, reply)?;
        held.take_present(reply)?;
        held.renewed_at = Some(sent);
        Ok(held)
    }

    fn take_document(&mut self, reply: &RenewReply) -> Result<()> {
        if reply.version > self.version {
            let value = serde_json::from_slice(&reply.document)?;
            let document = Document::read(&value).map_err(Error::Document)?;
            self.document = Arc::new(document);
            self.version = reply.version;
        }
        Ok(())
    }

    fn take_present(&mut self, reply: &RenewReply) -> Result<()> {
        if reply.roster != self.roster {
            let present = reply.present.iter().map(member::Member::try_from);
            self.present = Arc::new(present.collect::<member::Result<_>>()?);
            self.roster = reply.roster;
        }
        Ok(())
    }

    fn take_view(&mut self, received: Instant, reply: &RenewReply) -> Result<()> {
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
        let (found, named) = (window.number(), View(reply.view));
        if found != named {
            return Err(Error::Ends { found, named });
        }
        self.members = window.members().values().map(Member::from).collect();
        self.view = reply.view;
        Ok(())
    }

    fn since_origin(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }
}

fn placed(member: &member::Member) -> placement::Member {
    let services = member.upstreams.iter().map(|u| u.service.clone());
    placement::Member::new(member.node.clone(), services.collect())
}

fn list(problems: &[Problem]) -> String {
    let texts: Vec<String> = problems.iter().map(Problem::to_string).collect();
    texts.join("; ")
}

//! The gRPC service of control for entries and agents.
//!
//! Replies are linearizable: each is computed from the state first, and sent only if
//! this instance still leads afterwards. It therefore reflects everything that was
//! committed before the request arrived.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use gentian::claim::key_window::{MAX_CLOCK_SKEW, RETENTION};
use gentian::config::ledger::{Answer, Ledger, Proposal, Record, Segment};
use gentian::config::patch::Patch;
use gentian::member::lease_table::Announcement;
use gentian::member::member::{self, Member};
use gentian::member::quota_share::{Borrower, ShareRequest};
use gentian::member::state::{Command, Reply};
use gentian::member::view::Event;
use gentian::quorum::id;
use gentian::wire::control::control_server::Control;
use gentian::wire::control::{
    self as messages, HistoryReply, HistoryRequest, JoinReply, JoinRequest, LendReply, LendRequest,
    RenewReply, RenewRequest, Role, Share,
};
use gentian::wire::id::{Incarnation, Node, Team, Version, View};
use prost::Message;
use tonic::{Request, Response, Status};

use super::state::{
    AppliedState, Backlog, Error, Leader, LeaderState, ReplicatedLog, SharedState, LEASE_DURATION,
    LOAN_DURATION,
};
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

    /// Proposes a patch and returns the answer to it. A repeated patch gets its first
    /// answer again. One that no replica could read is refused without being proposed.
    pub(crate) async fn patch(&self, patch: Patch) -> Result<Answer, Error> {
        if patch.is_too_deep() {
            let problems = patch.check();
            return Ok(Answer::Invalid { problems });
        }
        let known = self.read(|applied| {
            let ledger = applied.state.ledger();
            if let Some(segment) = ledger.segment(Version(patch.base.0.saturating_add(1))) {
                return PatchState::Old(segment.clone(), ledger.version(), patch);
            }
            match ledger.first_answer(&patch) {
                Some(answer) => PatchState::Answered(answer),
                None => PatchState::New(proposal(ledger, patch)),
            }
        });
        match known.ok_or(Error::NotLeader)? {
            PatchState::Answered(answer) => Ok(answer),
            PatchState::Old(segment, in_force, patch) => {
                self.answer_old(&segment, in_force, &patch)
            }
            PatchState::New(proposal) => match self.commit(Command::Patch(proposal)).await? {
                Reply::Patch(answer) => Ok(answer),
                Reply::View(_) => Err(Error::Unknown),
            },
        }
    }

    /// Returns the answer to a patch to a version whose successor was sealed: that patch sent
    /// again, or one that comes too late.
    fn answer_old(
        &self,
        segment: &Segment,
        in_force: Version,
        patch: &Patch,
    ) -> Result<Answer, Error> {
        let records = self.shared.archive().records(segment);
        let mut records = records.ok_or(Error::Unknown)?.into_iter();
        let accepted = records.find(|record| record.version.0 == patch.base.0 + 1);
        match accepted {
            Some(record) if record.id == patch.id => Ok(record.answer(patch)),
            other => Ok(Answer::Conflict {
                in_force,
                winner: other.map(Record::winner),
            }),
        }
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

    fn handle_renew(&self, request: &RenewRequest) -> Result<RenewReply, Status> {
        let announcement = announcement(request).map_err(malformed)?;
        let node = announcement.node.clone();
        let is_entry = announcement.member.is_none();
        let before = self.log.leader();
        let Leader::This { term } = before else {
            return Ok(not_granted(before));
        };
        let now = self.shared.now();
        let (reply, event) = {
            let applied = self.shared.read();
            let window = applied.state.window();
            let mut leader_state = self.leader_state();
            let leases = &mut leader_state.for_term(term, now).leases;
            if let Err(stale) = leases.renew(now, announcement, window) {
                log::warn!("{stale}");
                return Ok(RenewReply::default());
            }
            let mut reply = grant(&applied, request, now);
            if is_entry {
                set_present(&mut reply, leases.alive(now), request.known_roster);
            }
            reply.control = self.log.members();
            (reply, leases.due_event(now, &node, window))
        };
        if let Some(event) = event {
            let service = self.clone();
            tokio::spawn(async move { service.commit_event(event).await });
        }
        let after = self.log.leader();
        Ok(match after == before {
            true => reply,
            false => not_granted(after),
        })
    }

    fn handle_lend(&self, request: &LendRequest) -> Result<LendReply, Status> {
        let entry: Node = request.entry.parse().map_err(malformed)?;
        let borrower = (entry, Incarnation(request.incarnation));
        let before = self.log.leader();
        let Leader::This { term } = before else {
            return Ok(not_lent(before));
        };
        let shares = request.shares.iter();
        let shares = shares.map(|share| self.lend(term, &borrower, share));
        let shares = shares.collect::<Result<_, Status>>()?;
        let after = self.log.leader();
        if after != before {
            return Ok(not_lent(after));
        }
        Ok(LendReply {
            leader_address: String::new(),
            shares,
            lease_ms: millis(LOAN_DURATION),
        })
    }

    fn lend(&self, term: u64, borrower: &Borrower, share: &Share) -> Result<Share, Status> {
        let team: Team = share.team.parse().map_err(malformed)?;
        let quota = quota(&self.shared.read(), &team);
        let now = self.shared.now();
        let mut leader_state = self.leader_state();
        let lender = &mut leader_state.for_term(term, now).lender;
        let request = ShareRequest {
            held: share.held,
            wanted: share.wanted,
        };
        Ok(Share {
            team: share.team.clone(),
            held: share.held,
            wanted: lender.lend(now, borrower, &team, request, quota),
        })
    }
}

/// Whether a patch was answered before.
enum PatchState {
    Answered(Answer),
    /// The record of the version after its base is in a segment; also holds the version in
    /// force.
    Old(Segment, Version, Patch),
    New(Proposal),
}

fn proposal(ledger: &Ledger, patch: Patch) -> Proposal {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

/// Returns the reply that grants a lease, with the configuration and the view changes
/// that the node lacks.
fn grant(applied: &AppliedState, request: &RenewRequest, now: Duration) -> RenewReply {
    let ledger = applied.state.ledger();
    let window = applied.state.window();
    let mut reply = RenewReply {
        granted: true,
        lease_ms: millis(LEASE_DURATION),
        version: ledger.version().0,
        view: window.number().0,
        view_age_ms: applied.view_age(now).as_millis() as u64,
        ..RenewReply::default()
    };
    if request.known_version != reply.version {
        reply.document = applied.node_document();
    }
    window
        .delta_since(View(request.known_view))
        .write(&mut reply);
    reply
}

/// Adds the agents with a live lease to the reply to an entry, unless their fingerprint
/// is `known_roster`, the one of the list that the entry has.
fn set_present<'a>(
    reply: &mut RenewReply,
    alive: impl Iterator<Item = &'a Announcement>,
    known_roster: u64,
) {
    let staying = alive.filter(|announcement| !announcement.leaving);
    let present = staying.filter_map(|announcement| announcement.member.as_ref());
    let present: Vec<messages::Member> = present.map(messages::Member::from).collect();
    let mut hasher = DefaultHasher::new();
    for member in &present {
        member.encode_to_vec().hash(&mut hasher);
    }
    // 0 is reserved for a node that has received no list yet.
    reply.roster = hasher.finish().max(1);
    if reply.roster != known_roster {
        reply.present = present;
    }
}

/// Replies to a renewal on an instance that doesn't lead.
fn not_granted(leader: Leader) -> RenewReply {
    RenewReply {
        leader_address: leader_address(leader),
        ..RenewReply::default()
    }
}

/// Replies to a loan request on an instance that doesn't lead.
fn not_lent(leader: Leader) -> LendReply {
    LendReply {
        leader_address: leader_address(leader),
        ..LendReply::default()
    }
}

/// Returns the leader's address, or an empty text if it isn't known.
fn leader_address(leader: Leader) -> String {
    match leader {
        Leader::Other(Some(address)) => address.to_string(),
        Leader::This { .. } | Leader::Other(None) => String::new(),
    }
}

fn announcement(request: &RenewRequest) -> member::Result<Announcement> {
    let node = request.node.as_ref().ok_or(member::Error::MissingNode)?;
    let message = gentian::wire::control::Member {
        node: Some(node.clone()),
        upstreams: request
            .upstreams
            .iter()
            .filter(|upstream| !upstream.leaving)
            .cloned()
            .collect(),
    };
    let member = Member::try_from(&message)?;
    Ok(Announcement {
        node: member.node.clone(),
        incarnation: member.incarnation,
        member: (node.role() == Role::Agent).then_some(member),
        leaving: request.leaving,
    })
}

/// Returns a team's quota, which is 0 for an unknown team.
fn quota(applied: &AppliedState, team: &Team) -> u32 {
    let document = applied.document();
    let team = document.and_then(|document| document.teams.get(team));
    team.map_or(0, |team| team.concurrent)
}

fn malformed(error: impl std::fmt::Display) -> Status {
    Status::invalid_argument(error.to_string())
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

#[tonic::async_trait]
impl<L: ReplicatedLog> Control for Service<L> {
    async fn renew(&self, request: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        self.handle_renew(request.get_ref()).map(Response::new)
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<JoinReply>, Status> {
        let request = request.into_inner();
        let leader = self.log.leader();
        if !matches!(leader, Leader::This { .. }) {
            return Ok(Response::new(JoinReply {
                leader_address: leader_address(leader),
                member: false,
                leads: false,
            }));
        }
        let member = id::Member::new(request.member);
        let member = member
            .ok_or_else(|| Status::invalid_argument("member: must be a non-zero member id"))?;
        Ok(Response::new(JoinReply {
            leader_address: String::new(),
            member: self.log.join(member, request.address),
            leads: true,
        }))
    }

    async fn history(
        &self,
        request: Request<HistoryRequest>,
    ) -> Result<Response<HistoryReply>, Status> {
        let last = Version(request.get_ref().last);
        let content = self.shared.archive().content(last);
        let content = content.map_err(|error| Status::unavailable(error.to_string()))?;
        let content = content.unwrap_or_default().into();
        Ok(Response::new(HistoryReply { content }))
    }

    async fn lend(&self, request: Request<LendRequest>) -> Result<Response<LendReply>, Status> {
        self.handle_lend(request.get_ref()).map(Response::new)
    }
}

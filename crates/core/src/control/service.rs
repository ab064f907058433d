//! What control answers to entries and agents.
//!
//! Every answer is read from the state first, and sent only if this instance
//! still leads after the reading: so it holds all that was accepted before the
//! request came.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, SystemTime};

use gentian::claim::key_window::{MAX_CLOCK_SKEW, RETENTION};
use gentian::config::ledger::{Answer, Ledger, Proposal};
use gentian::config::patch::Patch;
use gentian::member::lease_table::Announcement;
use gentian::member::member::{self, Member};
use gentian::member::quota_share::{Borrower, ShareRequest};
use gentian::member::state::{Command, Reply};
use gentian::member::view::Event;
use gentian::quorum::id;
use gentian::wire::control::control_server::Control;
use gentian::wire::control::{
    self as messages, JoinReply, JoinRequest, LendReply, LendRequest, RenewReply, RenewRequest,
    Role, Share,
};
use gentian::wire::id::{Incarnation, Node, Team, View};
use prost::Message;
use tonic::{Request, Response, Status};

use super::state::{Book, Error, Inner, Leader, Log, Shared, LEASE, LOAN};
use crate::renew::VIEW_GRACE;

/// How long a view stays of use after the next one: the keys' retention, the
/// time for which a node may still act on it, and twice the skew of clocks.
const VIEW_KEPT: Duration =
    Duration::from_secs(RETENTION.as_secs() + VIEW_GRACE.as_secs() + 2 * MAX_CLOCK_SKEW.as_secs());

/// One control instance.
#[derive(Debug)]
pub(crate) struct Service<L> {
    log: Arc<L>,
    shared: Shared,
    book: Arc<Mutex<Book>>,
}

impl<L> Clone for Service<L> {
    fn clone(&self) -> Service<L> {
        Service {
            log: self.log.clone(),
            shared: self.shared.clone(),
            book: self.book.clone(),
        }
    }
}

impl<L: Log> Service<L> {
    /// A service over `log`, which feeds `shared`.
    pub(crate) fn new(log: Arc<L>, shared: Shared) -> Service<L> {
        let book = Book::new(0, shared.now());
        Service {
            log,
            shared,
            book: Arc::new(Mutex::new(book)),
        }
    }

    /// The state that the log feeds.
    pub(crate) fn shared(&self) -> &Shared {
        &self.shared
    }

    /// Who leads at the time of the call.
    pub(crate) fn leader(&self) -> Leader {
        self.log.leader()
    }

    /// Reads the state, if this instance leads after the reading too.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Inner) -> T) -> Option<T> {
        let before = self.log.leader();
        let told = read(&self.shared.read());
        let leads = matches!(before, Leader::Own { .. }) && self.log.leader() == before;
        leads.then_some(told)
    }

    /// Has a patch accepted or refused.
    pub(crate) async fn patch(&self, patch: Patch) -> Result<Answer, Error> {
        let judged = self.read(|inner| {
            let ledger = inner.state.ledger();
            match ledger.first_answer(&patch) {
                Some(answer) => Judged::Before(answer),
                None => Judged::New(propose(ledger, patch)),
            }
        });
        match judged.ok_or(Error::NotLeader)? {
            Judged::Before(answer) => Ok(answer),
            Judged::New(proposal) => match self.commit(Command::Patch(proposal)).await? {
                Reply::Patch(answer) => Ok(answer),
                Reply::View(_) => Err(Error::Unknown),
            },
        }
    }

    /// Proposes what is due by now. Call it several times a second.
    pub(crate) async fn tick(&self) {
        let Leader::Own { term } = self.log.leader() else {
            return;
        };
        for event in self.due(term) {
            self.change(event).await;
        }
    }

    fn due(&self, term: u64) -> Vec<Event> {
        let now = self.shared.now();
        let inner = self.shared.read();
        let mut book = self.book();
        let mut events = book.turn(term, now).table.tick(now, inner.state.window());
        drop((inner, book));
        let outdated = self.shared.outdated(VIEW_KEPT);
        events.extend(outdated.map(Event::Forget));
        events
    }

    /// A change that gets lost is proposed again by a later tick.
    async fn change(&self, event: Event) {
        log::info!("view: {event:?}");
        if let Err(error) = self.commit(Command::View(event)).await {
            log::warn!("a view change is not known to be accepted: {error}");
        }
    }

    async fn commit(&self, command: Command) -> Result<Reply, Error> {
        let payload = command.encode().expect("a command can be written as JSON");
        let reply = self.log.propose(payload).await?;
        Ok(Reply::decode(&reply).expect("the machine writes replies"))
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().expect("no thread panics with this lock")
    }

    fn renewed(&self, request: &RenewRequest) -> Result<RenewReply, Status> {
        let announcement = announcement(request).map_err(malformed)?;
        let node = announcement.node.clone();
        let is_entry = announcement.member.is_none();
        let before = self.log.leader();
        let Leader::Own { term } = before else {
            return Ok(elsewhere(before));
        };
        let now = self.shared.now();
        let (reply, event) = {
            let inner = self.shared.read();
            let window = inner.state.window();
            let mut book = self.book();
            let table = &mut book.turn(term, now).table;
            if let Err(stale) = table.renew(now, announcement, window) {
                log::warn!("{stale}");
                return Ok(RenewReply::default());
            }
            let mut reply = grant(&inner, request, now);
            if is_entry {
                tell_present(&mut reply, table.alive(now), request.known_roster);
            }
            reply.control = self.log.members();
            (reply, table.due_event(now, &node, window))
        };
        if let Some(event) = event {
            let service = self.clone();
            tokio::spawn(async move { service.change(event).await });
        }
        let after = self.log.leader();
        Ok(match after == before {
            true => reply,
            false => elsewhere(after),
        })
    }

    fn lent(&self, request: &LendRequest) -> Result<LendReply, Status> {
        let entry: Node = request.entry.parse().map_err(malformed)?;
        let borrower = (entry, Incarnation(request.incarnation));
        let before = self.log.leader();
        let Leader::Own { term } = before else {
            return Ok(lent_elsewhere(before));
        };
        let shares = request.shares.iter();
        let shares = shares.map(|share| self.lend(term, &borrower, share));
        let shares = shares.collect::<Result<_, Status>>()?;
        let after = self.log.leader();
        if after != before {
            return Ok(lent_elsewhere(after));
        }
        Ok(LendReply {
            leader_address: String::new(),
            shares,
            lease_ms: millis(LOAN),
        })
    }

    fn lend(&self, term: u64, borrower: &Borrower, share: &Share) -> Result<Share, Status> {
        let team: Team = share.team.parse().map_err(malformed)?;
        let quota = quota(&self.shared.read(), &team);
        let now = self.shared.now();
        let mut book = self.book();
        let bank = &mut book.turn(term, now).bank;
        let ask = ShareRequest {
            held: share.held,
            wanted: share.wanted,
        };
        Ok(Share {
            team: share.team.clone(),
            held: share.held,
            wanted: bank.lend(now, borrower, &team, ask, quota),
        })
    }
}

/// What is known of a patch before it is proposed.
enum Judged {
    Before(Answer),
    New(Proposal),
}

fn propose(ledger: &Ledger, patch: Patch) -> Proposal {
    let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    Proposal {
        verdict: ledger.validate(&patch),
        patch,
        wall_ms: wall.map_or(0, |wall| wall.as_millis() as u64),
    }
}

fn grant(inner: &Inner, request: &RenewRequest, now: Duration) -> RenewReply {
    let ledger = inner.state.ledger();
    let window = inner.state.window();
    let mut reply = RenewReply {
        granted: true,
        lease_ms: millis(LEASE),
        version: ledger.version().0,
        view: window.number().0,
        view_age_ms: inner.view_age(now).as_millis() as u64,
        ..RenewReply::default()
    };
    if request.known_version != reply.version {
        reply.document = ledger.document().to_string().into_bytes().into();
    }
    window
        .delta_since(View(request.known_view))
        .write(&mut reply);
    reply
}

/// Tells an entry the agents that renew now, unless it knows of them.
fn tell_present<'a>(
    reply: &mut RenewReply,
    alive: impl Iterator<Item = &'a Announcement>,
    known: u64,
) {
    let staying = alive.filter(|announcement| !announcement.leaving);
    let present = staying.filter_map(|announcement| announcement.member.as_ref());
    let present: Vec<messages::Member> = present.map(messages::Member::from).collect();
    let mut hasher = DefaultHasher::new();
    for member in &present {
        member.encode_to_vec().hash(&mut hasher);
    }
    // Zero is what a node names that knows of none.
    reply.roster = hasher.finish().max(1);
    if reply.roster != known {
        reply.present = present;
    }
}

fn elsewhere(leader: Leader) -> RenewReply {
    RenewReply {
        leader_address: address(leader),
        ..RenewReply::default()
    }
}

fn lent_elsewhere(leader: Leader) -> LendReply {
    LendReply {
        leader_address: address(leader),
        ..LendReply::default()
    }
}

fn address(leader: Leader) -> String {
    match leader {
        Leader::Other(Some(address)) => address.to_string(),
        Leader::Own { .. } | Leader::Other(None) => String::new(),
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

fn quota(inner: &Inner, team: &Team) -> u32 {
    let document = inner.document.as_ref();
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
impl<L: Log> Control for Service<L> {
    async fn renew(&self, request: Request<RenewRequest>) -> Result<Response<RenewReply>, Status> {
        self.renewed(request.get_ref()).map(Response::new)
    }

    async fn join(&self, request: Request<JoinRequest>) -> Result<Response<JoinReply>, Status> {
        let request = request.into_inner();
        let leader = self.log.leader();
        if !matches!(leader, Leader::Own { .. }) {
            return Ok(Response::new(JoinReply {
                leader_address: address(leader),
                member: false,
                leads: false,
            }));
        }
        let member = id::Member::new(request.member);
        let member = member.ok_or_else(|| Status::invalid_argument("member: no member id"))?;
        Ok(Response::new(JoinReply {
            leader_address: String::new(),
            member: self.log.join(member, request.address),
            leads: true,
        }))
    }

    async fn lend(&self, request: Request<LendRequest>) -> Result<Response<LendReply>, Status> {
        self.lent(request.get_ref()).map(Response::new)
    }
}

//! The upstream beside the agent: the orders to it and what comes of them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use gentian::claim::run::{self, Fate, LeaseGrant, Owner, Refusal, Run, RunEnd, Runs};
use gentian::wire::agent::{self, Orders, Reports};
use gentian::wire::control;
use gentian::wire::need::Need;
use gentian_platform::heartbeat::Report;
use gentian_platform::order::{self, Authority, Clock};
use http_body_util::Full;
use tokio::sync::{Notify, Semaphore};

use super::calls;
use super::known::{Known, News};
use super::stream::{self, Sender};
use crate::client::{self, Client};
use crate::logging::is_sampled;
use crate::metrics;
use crate::renew::Announce;

/// Shortest time between two reports of the room that is left.
const ROOM_PERIOD: Duration = Duration::from_millis(25);
/// Steps for a pace between one and twice that.
const PACE_STEPS: f64 = 3.0;
/// Starts that are under way at once: each takes a connection.
const STARTS: usize = 4;
/// Added to a fencing token that is too low, doubled each time.
const TOKEN_STEP: u64 = 1_000;

/// The upstream beside the agent, and the streams of the entries.
#[derive(Debug)]
pub(super) struct Beside {
    pub(super) incarnation: u64,
    origin: Instant,
    state: Mutex<State>,
    client: Client,
    pub(super) starts: Arc<Semaphore>,
    /// Something is to be looked for.
    pub(super) look: Notify,
    /// The room that is left has changed.
    pub(super) room: Notify,
    pub(super) metrics: Arc<metrics::Runs>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) runs: Runs,
    upstream: Option<Known>,
    streams: BTreeMap<Owner, Stream>,
    joined: u64,
    token: u64,
    token_step: u64,
    /// Highest end that the upstream was told to forget.
    pub(super) acknowledged: u64,
    leaving: bool,
    pub(super) progress_at: Duration,
}

#[derive(Debug)]
struct Stream {
    number: u64,
    sender: Sender,
    told: Option<agent::Room>,
}

/// An order on its way: to whom, and with which authority.
pub(super) struct Order {
    pub(super) id: String,
    address: std::net::SocketAddr,
    pub(super) authority: Authority,
    grant: Option<LeaseGrant>,
}

impl Beside {
    pub(super) fn new(incarnation: u64, metrics: Arc<metrics::Runs>) -> Beside {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // Higher than that of every earlier process, unless the clock was set back.
        let token = wall.unwrap_or_default().as_millis() as u64;
        Beside {
            incarnation,
            origin: Instant::now(),
            state: Mutex::new(State {
                runs: Runs::default(),
                upstream: None,
                streams: BTreeMap::new(),
                joined: 0,
                token,
                token_step: TOKEN_STEP,
                acknowledged: 0,
                leaving: false,
                progress_at: Duration::ZERO,
            }),
            client: Client::new(),
            starts: Arc::new(Semaphore::new(STARTS)),
            look: Notify::new(),
            room: Notify::new(),
            metrics,
        }
    }

    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    /// Takes in a report of the upstream.
    pub(super) fn heard(&self, report: Report) {
        let now = Instant::now();
        let mut state = self.state();
        let incarnation = report.incarnation.clone();
        let ready = report.ready;
        let before = state.upstream.as_ref().map(|known| known.report.ready);
        let ends = match Known::take(&mut state.upstream, report, now) {
            News::Old => return,
            News::Same => {
                if before != Some(ready) {
                    log::info!("upstream {}: ready {ready}", incarnation.id);
                }
                Vec::new()
            }
            News::Replaced => {
                let born = incarnation.born_ms;
                log::info!("upstream {} born {born}: ready {ready}", incarnation.id);
                state.acknowledged = 0;
                state.runs.upstream_replaced(self.now())
            }
        };
        state.admit(now);
        self.deliver(&mut state, ends);
        drop(state);
        self.room.notify_one();
        self.look.notify_one();
    }

    /// Takes in that the upstream is about to end.
    pub(super) fn left(&self, id: &str) {
        let mut state = self.state();
        if let Some(known) = &mut state.upstream {
            if known.incarnation().id == id {
                known.leave();
                log::info!("upstream {id}: leaves");
            }
        }
        state.admit(Instant::now());
        drop(state);
        self.room.notify_one();
    }

    /// Takes no new runs from now on.
    pub(super) fn leave(&self) {
        let mut state = self.state();
        state.leaving = true;
        state.admit(Instant::now());
        drop(state);
        self.room.notify_one();
    }

    /// Ends all streams.
    pub(super) fn close(&self) {
        self.state().streams.clear();
    }

    pub(super) fn is_idle(&self) -> bool {
        let state = self.state();
        state.runs.is_empty() && state.acknowledged >= state.runs.last_seen_end()
    }

    pub(super) fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// Takes an entry's stream in place of its last; its number.
    pub(super) fn join_stream(&self, owner: &Owner, sender: Sender, first: &Orders) -> u64 {
        let now = self.now();
        let mut state = self.state();
        state.joined += 1;
        let number = state.joined;
        let stream = Stream {
            number,
            sender,
            told: None,
        };
        state.streams.insert(owner.clone(), stream);
        let known: Vec<Run> = first.known.iter().map(Run::from).collect();
        let ends = state.runs.reconcile(owner, &known, now);
        log::info!(
            "entry {} incarnation {}: stream opened, {} runs known, {} of them over",
            owner.entry,
            owner.incarnation,
            known.len(),
            ends.len()
        );
        self.deliver(&mut state, ends);
        number
    }

    pub(super) fn leave_stream(&self, owner: &Owner, number: u64) {
        let mut state = self.state();
        if state.streams.get(owner).is_some_and(|s| s.number == number) {
            state.streams.remove(owner);
        }
    }

    /// Carries out the orders of an entry; not those of a stream that another
    /// has replaced, since the entry no longer counts on them.
    pub(super) fn obey(self: &Arc<Self>, owner: &Owner, number: u64, orders: Orders) -> bool {
        let now = self.now();
        let mut state = self.state();
        if state.streams.get(owner).is_none_or(|s| s.number != number) {
            return false;
        }
        state.admit(Instant::now());
        state
            .runs
            .renew_lease(owner, stream::time(orders.lease_until_ms), now);
        for run in &orders.stops {
            state.runs.request_stop(owner, &Run::from(run));
        }
        let mut refused = Vec::new();
        for batch in orders.starts {
            let need = Need::from(batch.need.unwrap_or_default());
            let estimate = stream::time(batch.estimate_ms.into());
            for run in batch.runs.iter().map(Run::from) {
                match state.runs.admit(owner, &run, need, now) {
                    Ok(()) => {
                        state.runs.set_estimate(&run, estimate);
                        tokio::spawn(calls::start(self.clone(), run, batch.spec.clone()));
                    }
                    Err(refusal) => {
                        self.metrics.refused(refusal);
                        let end = refusal_of(owner, run, refusal);
                        tell_end(&end);
                        refused.push(end);
                    }
                }
            }
        }
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        // Each message is answered, so that the entry knows the clock.
        self.report(&mut state, owner, refused);
        drop(state);
        self.look.notify_one();
        self.room.notify_one();
        true
    }

    pub(super) fn send_stops(self: &Arc<Self>, stops: Vec<Run>) {
        for run in stops {
            tokio::spawn(calls::stop(self.clone(), run));
        }
    }

    /// Tells owners what became of their runs.
    pub(super) fn deliver(&self, state: &mut State, ends: Vec<RunEnd>) {
        let mut by_owner: BTreeMap<Owner, Vec<RunEnd>> = BTreeMap::new();
        for end in ends {
            self.metrics.ended(&end);
            tell_end(&end);
            by_owner.entry(end.owner.clone()).or_default().push(end);
        }
        for (owner, ends) in by_owner {
            self.report(state, &owner, ends);
        }
    }

    fn report(&self, state: &mut State, owner: &Owner, ends: Vec<RunEnd>) {
        let room = state.room(owner);
        let Some(stream) = state.streams.get_mut(owner) else {
            return;
        };
        let room = (stream.told != room).then(|| room.clone()).flatten();
        if room.is_some() {
            stream.told.clone_from(&room);
        }
        let reports = Reports {
            clock_ms: self.clock(),
            room,
            ends: ends.iter().map(end).collect(),
            progress: Vec::new(),
            incarnation: self.incarnation,
        };
        self.send(state, owner, reports);
    }

    /// An entry that doesn't read loses its stream, and asks again for what it
    /// has missed.
    pub(super) fn send(&self, state: &mut State, owner: &Owner, reports: Reports) {
        let Some(stream) = state.streams.get(owner) else {
            return;
        };
        if stream.sender.try_send(Ok(reports)).is_err() {
            log::warn!("entry {}: stream given up, it is not read", owner.entry);
            state.streams.remove(owner);
        }
    }

    pub(super) fn clock(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// The next order to this upstream, which carries the lease.
    pub(super) fn order(&self, state: &mut State) -> Option<Order> {
        let (now, at) = (self.now(), Instant::now());
        let known = state.upstream.as_ref()?;
        // One that doesn't answer is left to let its runs lapse.
        let lease = state.runs.upstream_lease(now).filter(|_| known.answers());
        let until = lease.map(|until| known.clock(at) + until.saturating_sub(now));
        let order = Order {
            id: known.incarnation().id.clone(),
            address: known.report.address,
            authority: Authority {
                token: state.token,
                until,
            },
            grant: lease.map(|until| state.runs.begin_grant(until, now)),
        };
        Some(order)
    }

    pub(super) async fn send_order(
        &self,
        order: &Order,
        request: http::Request<Bytes>,
        time: Duration,
    ) -> client::Result<client::Answer> {
        let (mut head, body) = request.into_parts();
        let uri = format!("http://{}{}", order.address, head.uri);
        head.uri = uri.parse().expect("an address and a path make a URI");
        let request = http::Request::from_parts(head, Full::new(body));
        let answer = self.client.send(request, time).await;
        let reached = !matches!(answer, Err(client::Error::Connect(_)));
        let mut state = self.state();
        if let Some(grant) = order.grant {
            state.runs.end_grant(grant, reached);
        }
        drop(state);
        answer
    }

    /// Takes in whether a look was answered.
    pub(super) fn heeded(&self, state: &mut State, order: &Order, error: Option<&client::Error>) {
        let known = state.upstream.as_mut();
        let Some(known) = known.filter(|known| known.incarnation().id == order.id) else {
            return;
        };
        let open = known.is_open(Instant::now());
        known.answered(error.is_none());
        match (open, known.is_open(Instant::now()), error) {
            (true, false, Some(error)) => {
                log::warn!("upstream {}: takes no orders: {error}", order.id);
            }
            (false, true, _) => log::info!("upstream {}: takes orders again", order.id),
            _ => return,
        }
        state.admit(Instant::now());
        self.room.notify_one();
    }

    /// Takes in an answer's clock; whether another life of the upstream answered.
    pub(super) fn tick(&self, state: &mut State, order: &Order, clock: Clock) -> bool {
        let Some(known) = &mut state.upstream else {
            return true;
        };
        if known.incarnation().id != order.id || known.is_other(clock) {
            return true;
        }
        known.tick(clock.now, Instant::now());
        false
    }

    /// Ends all runs, since another life of the upstream answered.
    pub(super) fn replace(&self, state: &mut State, order: &Order) {
        let known = state.upstream.as_mut();
        let Some(known) = known.filter(|known| known.incarnation().id == order.id) else {
            return;
        };
        log::warn!("upstream {}: is another one now", order.id);
        known.leave();
        state.admit(Instant::now());
        let ends = state.runs.upstream_replaced(self.now());
        self.deliver(state, ends);
        self.room.notify_one();
    }

    /// Takes a higher token, since this one is lower than one that was seen.
    pub(super) fn fence(&self, state: &mut State, used: u64) {
        if state.token == used {
            state.token += state.token_step;
            state.token_step *= 2;
            log::warn!("upstream has seen a higher fencing token than {used}");
        }
    }
}

impl State {
    /// Sets whether the upstream takes new runs.
    pub(super) fn admit(&mut self, now: Instant) {
        let Some(known) = &self.upstream else {
            return;
        };
        let open = known.is_open(now) && !self.leaving;
        self.runs.set_upstream(known.report.capacity, open);
    }

    /// What an entry is told of the room here.
    fn room(&self, owner: &Owner) -> Option<agent::Room> {
        let known = self.upstream.as_ref()?;
        Some(agent::Room {
            service: known.report.service.to_string(),
            capacity: Some(self.runs.capacity().into()),
            others: Some(self.runs.used_by_others(owner).into()),
            open: self.runs.is_open(),
            labels: known.report.labels.clone(),
            pace_percent: self.runs.pace().map_or(0, in_steps),
        })
    }
}

impl Announce for Beside {
    fn upstreams(&self) -> Vec<control::Upstream> {
        let state = self.state();
        let known = state.upstream.iter();
        let upstreams = known.map(|known| control::Upstream {
            service: known.report.service.to_string(),
            slots: 1,
            connections: STARTS as u32,
            leaving: false,
        });
        upstreams.collect()
    }

    fn leaving(&self) -> bool {
        self.state().leaving
    }
}

/// Tells all entries of the room that is left, whenever it has changed.
pub(super) async fn tell(beside: Arc<Beside>) {
    loop {
        beside.room.notified().await;
        {
            let mut state = beside.state();
            let owners: Vec<Owner> = state.streams.keys().cloned().collect();
            for owner in owners {
                let room = state.room(&owner);
                if state.streams.get(&owner).is_some_and(|s| s.told != room) {
                    beside.report(&mut state, &owner, Vec::new());
                }
            }
        }
        tokio::time::sleep(ROOM_PERIOD).await;
    }
}

/// A pace as it is told: in percent, in steps of a quarter of itself, so that
/// not each look is worth a message.
fn in_steps(pace: f64) -> u32 {
    let steps = (pace.max(0.1).log2() * PACE_STEPS).round() / PACE_STEPS;
    (steps.exp2() * 100.0) as u32
}

/// Tells how a run has ended, where it is not one of many that went well.
fn tell_end(end: &RunEnd) {
    let request = order::job(&end.run.task);
    if end.fate == Fate::Done && !is_sampled(request) {
        return;
    }
    tracing::info!(
        event = "ended",
        request,
        run = %end.run,
        entry = %end.owner.entry,
        fate = ?end.fate,
        ran_ms = end.ran.as_millis() as u64,
    );
}

fn refusal_of(owner: &Owner, run: Run, refusal: Refusal) -> RunEnd {
    RunEnd {
        owner: owner.clone(),
        run,
        fate: Fate::Refused(refusal),
        ran: Duration::ZERO,
    }
}

fn end(end: &RunEnd) -> agent::End {
    let (fate, refusal) = match end.fate {
        Fate::Done => (agent::Fate::Done, agent::Refusal::Unspecified),
        Fate::Failed => (agent::Fate::Failed, agent::Refusal::Unspecified),
        Fate::Stopped => (agent::Fate::Stopped, agent::Refusal::Unspecified),
        Fate::Lost => (agent::Fate::Lost, agent::Refusal::Unspecified),
        Fate::Refused(refusal) => (agent::Fate::Refused, wire_refusal(refusal)),
    };
    agent::End {
        run: Some((&end.run).into()),
        fate: fate.into(),
        refusal: refusal.into(),
        run_ms: u32::try_from(end.ran.as_millis()).unwrap_or(u32::MAX),
    }
}

fn wire_refusal(refusal: run::Refusal) -> agent::Refusal {
    match refusal {
        Refusal::Full => agent::Refusal::Full,
        Refusal::Closed => agent::Refusal::Closed,
        Refusal::Expired => agent::Refusal::Expired,
        Refusal::OldRun => agent::Refusal::OldRun,
        Refusal::Unhealthy => agent::Refusal::Unhealthy,
        Refusal::NoAnswer => agent::Refusal::NoAnswer,
        Refusal::Invalid => agent::Refusal::Invalid,
    }
}

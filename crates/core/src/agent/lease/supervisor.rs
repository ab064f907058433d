//! State that the calls to the upstream and the entries' streams share: admits
//! runs, authorizes orders to the upstream and reports the runs' ends to entries.

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
use super::stream::{self, Sender};
use super::upstream::{Update, UpstreamState};
use crate::client::{self, Client};
use crate::logging::is_sampled;
use crate::metrics;
use crate::renew::Announce;

/// Minimum time between two reports of free capacity to the entries.
const MIN_ROOM_REPORT_INTERVAL: Duration = Duration::from_millis(25);
/// Number of steps into which a doubling of the pace is rounded.
const PACE_STEPS_PER_DOUBLING: f64 = 3.0;
/// Most starts in flight at once; each takes a connection.
const MAX_CONCURRENT_STARTS: usize = 4;
/// First increment of a fencing token that proved too low; each further
/// increment is twice the last.
const INITIAL_TOKEN_STEP: u64 = 1_000;

/// Supervises the runs at the agent's upstream on behalf of the entries.
#[derive(Debug)]
pub(super) struct Supervisor {
    pub(super) incarnation: u64,
    origin: Instant,
    state: Mutex<State>,
    client: Client,
    pub(super) start_permits: Arc<Semaphore>,
    /// Wakes the poll loop, since runs or their leases may have changed.
    pub(super) poll_wakeup: Notify,
    /// Wakes the task that reports free capacity to the entries.
    pub(super) room_changed: Notify,
    pub(super) metrics: Arc<metrics::Runs>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) runs: Runs,
    upstream: Option<UpstreamState>,
    streams: BTreeMap<Owner, Stream>,
    last_stream_number: u64,
    /// Fencing token of this agent's orders.
    token: u64,
    token_step: u64,
    /// Highest sequence number of an end that was acknowledged to the upstream,
    /// which then drops the ends up to it.
    pub(super) acknowledged: u64,
    /// Whether the agent is shutting down.
    leaving: bool,
    pub(super) progress_sent_at: Duration,
}

#[derive(Debug)]
struct Stream {
    number: u64,
    sender: Sender,
    /// Free capacity as last reported on this stream.
    last_room: Option<agent::Room>,
}

/// Addressee and authority of an order to the upstream.
pub(super) struct Order {
    pub(super) id: String,
    address: std::net::SocketAddr,
    pub(super) authority: Authority,
    /// Lease that the order grants to the upstream, if any.
    grant: Option<LeaseGrant>,
}

impl Supervisor {
    pub(super) fn new(incarnation: u64, metrics: Arc<metrics::Runs>) -> Supervisor {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // Higher than the token of every earlier agent process, unless the machine's
        // clock was set back.
        let token = since_epoch.unwrap_or_default().as_millis() as u64;
        Supervisor {
            incarnation,
            origin: Instant::now(),
            state: Mutex::new(State {
                runs: Runs::default(),
                upstream: None,
                streams: BTreeMap::new(),
                last_stream_number: 0,
                token,
                token_step: INITIAL_TOKEN_STEP,
                acknowledged: 0,
                leaving: false,
                progress_sent_at: Duration::ZERO,
            }),
            client: Client::new(),
            start_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS)),
            poll_wakeup: Notify::new(),
            room_changed: Notify::new(),
            metrics,
        }
    }

    /// Time since the start of this supervisor, which is the agent's own clock.
    pub(super) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with this lock")
    }

    /// Handles a heartbeat of the upstream.
    pub(super) fn handle_report(&self, report: Report) {
        let now = Instant::now();
        let mut state = self.state();
        let incarnation = report.incarnation.clone();
        let ready = report.ready;
        let was_ready = state
            .upstream
            .as_ref()
            .map(|upstream| upstream.report.ready);
        let ends = match UpstreamState::apply_report(&mut state.upstream, report, now) {
            Update::Stale => return,
            Update::Same => {
                if was_ready != Some(ready) {
                    log::info!("upstream {}: ready changed to {ready}", incarnation.id);
                }
                Vec::new()
            }
            Update::Replaced => {
                let born = incarnation.born_ms;
                log::info!(
                    "upstream {} incarnation {born}: first heartbeat, ready {ready}",
                    incarnation.id
                );
                state.acknowledged = 0;
                state.runs.upstream_replaced(self.now())
            }
        };
        state.update_admission(now);
        self.report_ends(&mut state, ends);
        drop(state);
        self.room_changed.notify_one();
        self.poll_wakeup.notify_one();
    }

    /// Handles the upstream's notice that it is shutting down.
    pub(super) fn handle_leave(&self, id: &str) {
        let mut state = self.state();
        if let Some(upstream) = &mut state.upstream {
            if upstream.incarnation().id == id {
                upstream.mark_gone();
                log::info!("upstream {id}: shutting down; it gets no new runs");
            }
        }
        state.update_admission(Instant::now());
        drop(state);
        self.room_changed.notify_one();
    }

    /// Refuses new runs from now on.
    pub(super) fn refuse_new_runs(&self) {
        let mut state = self.state();
        state.leaving = true;
        state.update_admission(Instant::now());
        drop(state);
        self.room_changed.notify_one();
    }

    /// Closes the streams of all entries.
    pub(super) fn close_streams(&self) {
        self.state().streams.clear();
    }

    /// Whether no run is left and every end was acknowledged to the upstream.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.state();
        state.runs.is_empty() && state.acknowledged >= state.runs.last_seen_end()
    }

    /// Number of runs that are, or may be, at the upstream.
    pub(super) fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// Registers a stream of an entry in place of its previous one, and reports the
    /// ends that the entry missed. Returns the stream's number.
    pub(super) fn open_stream(&self, owner: &Owner, sender: Sender, first: &Orders) -> u64 {
        let now = self.now();
        let mut state = self.state();
        state.last_stream_number += 1;
        let number = state.last_stream_number;
        let stream = Stream {
            number,
            sender,
            last_room: None,
        };
        state.streams.insert(owner.clone(), stream);
        let known_runs: Vec<Run> = first.known.iter().map(Run::from).collect();
        let ends = state.runs.reconcile(owner, &known_runs, now);
        log::info!(
            "entry {} incarnation {}: stream opened; it knows {} runs, {} of which have ended",
            owner.entry,
            owner.incarnation,
            known_runs.len(),
            ends.len()
        );
        self.report_ends(&mut state, ends);
        number
    }

    /// Forgets a stream of an entry, unless a newer one has replaced it.
    pub(super) fn close_stream(&self, owner: &Owner, number: u64) {
        let mut state = self.state();
        if state.streams.get(owner).is_some_and(|s| s.number == number) {
            state.streams.remove(owner);
        }
    }

    /// Carries out the orders of an entry. Returns false without doing so if a newer
    /// stream has replaced this one, since the entry no longer relies on its orders.
    pub(super) fn apply_orders(
        self: &Arc<Self>,
        owner: &Owner,
        number: u64,
        orders: Orders,
    ) -> bool {
        let now = self.now();
        let mut state = self.state();
        if state.streams.get(owner).is_none_or(|s| s.number != number) {
            return false;
        }
        state.update_admission(Instant::now());
        state
            .runs
            .renew_lease(owner, stream::duration(orders.lease_until_ms), now);
        for run in &orders.stops {
            state.runs.request_stop(owner, &Run::from(run));
        }
        let mut refused = Vec::new();
        for batch in orders.starts {
            let need = Need::from(batch.need.unwrap_or_default());
            let estimate = stream::duration(batch.estimate_ms.into());
            for run in batch.runs.iter().map(Run::from) {
                match state.runs.admit(owner, &run, need, now) {
                    Ok(()) => {
                        state.runs.set_estimate(&run, estimate);
                        tokio::spawn(calls::start_run(self.clone(), run, batch.spec.clone()));
                    }
                    Err(refusal) => {
                        self.metrics.refused(refusal);
                        let end = refused_end(owner, run, refusal);
                        log_end(&end);
                        refused.push(end);
                    }
                }
            }
        }
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        // Every message gets an answer, which tells the entry this agent's clock.
        self.send_report(&mut state, owner, refused);
        drop(state);
        self.poll_wakeup.notify_one();
        self.room_changed.notify_one();
        true
    }

    /// Sends stops to the upstream without waiting for the answers.
    pub(super) fn send_stops(self: &Arc<Self>, stops: Vec<Run>) {
        for run in stops {
            tokio::spawn(calls::stop_run(self.clone(), run));
        }
    }

    /// Counts and logs the ends of runs, and reports them to the entries that
    /// ordered the runs.
    pub(super) fn report_ends(&self, state: &mut State, ends: Vec<RunEnd>) {
        let mut by_owner: BTreeMap<Owner, Vec<RunEnd>> = BTreeMap::new();
        for end in ends {
            self.metrics.ended(&end);
            log_end(&end);
            by_owner.entry(end.owner.clone()).or_default().push(end);
        }
        for (owner, ends) in by_owner {
            self.send_report(state, &owner, ends);
        }
    }

    /// Sends ends to an entry, and the free capacity if that has changed.
    fn send_report(&self, state: &mut State, owner: &Owner, ends: Vec<RunEnd>) {
        let room = state.room_for(owner);
        let Some(stream) = state.streams.get_mut(owner) else {
            return;
        };
        let room = (stream.last_room != room).then(|| room.clone()).flatten();
        if room.is_some() {
            stream.last_room.clone_from(&room);
        }
        let reports = Reports {
            clock_ms: self.clock_ms(),
            room,
            ends: ends.iter().map(end_to_wire).collect(),
            progress: Vec::new(),
            incarnation: self.incarnation,
        };
        self.queue_reports(state, owner, reports);
    }

    /// Queues reports for an entry. If its queue is full or closed, its stream is
    /// dropped; the entry then opens another and gets what it missed.
    pub(super) fn queue_reports(&self, state: &mut State, owner: &Owner, reports: Reports) {
        let Some(stream) = state.streams.get(owner) else {
            return;
        };
        if stream.sender.try_send(Ok(reports)).is_err() {
            log::warn!(
                "entry {}: stream dropped, since its queue of reports is full or closed",
                owner.entry
            );
            state.streams.remove(owner);
        }
    }

    /// Milliseconds on this agent's own clock, by which entries measure their leases.
    pub(super) fn clock_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }

    /// Prepares an order to the upstream, with the lease that it may be granted now.
    /// Returns `None` if no upstream has reported yet.
    pub(super) fn next_order(&self, state: &mut State) -> Option<Order> {
        let (now, at) = (self.now(), Instant::now());
        let upstream = state.upstream.as_ref()?;
        // The lease of an unresponsive upstream isn't extended, so that its runs lapse.
        let lease = state
            .runs
            .upstream_lease(now)
            .filter(|_| upstream.is_responsive());
        let until = lease.map(|until| upstream.clock_at(at) + until.saturating_sub(now));
        let order = Order {
            id: upstream.incarnation().id.clone(),
            address: upstream.report.address,
            authority: Authority {
                token: state.token,
                until,
            },
            grant: lease.map(|until| state.runs.begin_grant(until, now)),
        };
        Some(order)
    }

    /// Sends an order, and records whether the lease in it may have arrived.
    pub(super) async fn send_order(
        &self,
        order: &Order,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> client::Result<client::Answer> {
        let (mut head, body) = request.into_parts();
        let uri = format!("http://{}{}", order.address, head.uri);
        head.uri = uri.parse().expect("an address and a path make a URI");
        let request = http::Request::from_parts(head, Full::new(body));
        let answer = self.client.send(request, timeout).await;
        let reached = !matches!(answer, Err(client::Error::Connect(_)));
        let mut state = self.state();
        if let Some(grant) = order.grant {
            state.runs.end_grant(grant, reached);
        }
        drop(state);
        answer
    }

    /// Records whether a poll was answered, which decides whether the upstream is
    /// given new runs.
    pub(super) fn record_poll_answer(
        &self,
        state: &mut State,
        order: &Order,
        error: Option<&client::Error>,
    ) {
        let upstream = state.upstream.as_mut();
        let Some(upstream) = upstream.filter(|upstream| upstream.incarnation().id == order.id)
        else {
            return;
        };
        let was_open = upstream.is_open(Instant::now());
        upstream.record_poll(error.is_none());
        match (was_open, upstream.is_open(Instant::now()), error) {
            (true, false, Some(error)) => {
                log::warn!(
                    "upstream {}: polls are not answered, so it gets no new runs: {error}",
                    order.id
                );
            }
            (false, true, _) => log::info!(
                "upstream {}: answers polls again and may get new runs",
                order.id
            ),
            _ => return,
        }
        state.update_admission(Instant::now());
        self.room_changed.notify_one();
    }

    /// Records the clock in an answer to `order`. Returns true if another
    /// incarnation of the upstream answered, or has reported since the order was sent.
    pub(super) fn update_clock(&self, state: &mut State, order: &Order, clock: Clock) -> bool {
        let Some(upstream) = &mut state.upstream else {
            return true;
        };
        if upstream.incarnation().id != order.id || upstream.is_other_incarnation(clock) {
            return true;
        }
        upstream.set_clock(clock.now, Instant::now());
        false
    }

    /// Ends all runs, since another incarnation of the upstream answered `order`. Does
    /// nothing if an incarnation with another id has reported already.
    pub(super) fn handle_replacement(&self, state: &mut State, order: &Order) {
        let upstream = state.upstream.as_mut();
        let Some(upstream) = upstream.filter(|upstream| upstream.incarnation().id == order.id)
        else {
            return;
        };
        log::warn!(
            "upstream {}: another incarnation answered; all runs at the former one are over",
            order.id
        );
        upstream.mark_gone();
        state.update_admission(Instant::now());
        let ends = state.runs.upstream_replaced(self.now());
        self.report_ends(state, ends);
        self.room_changed.notify_one();
    }

    /// Raises the fencing token after an order with the token `used` was rejected,
    /// unless another order has raised it already.
    pub(super) fn raise_token(&self, state: &mut State, used: u64) {
        if state.token == used {
            state.token += state.token_step;
            state.token_step *= 2;
            log::warn!(
                "upstream rejected fencing token {used} as too low; raised to {}",
                state.token
            );
        }
    }
}

impl State {
    /// Recomputes whether the upstream takes new runs.
    pub(super) fn update_admission(&mut self, now: Instant) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let open = upstream.is_open(now) && !self.leaving;
        self.runs.set_upstream(upstream.report.capacity, open);
    }

    /// Capacity as reported to an entry, which knows its own runs and is told what
    /// the runs of others use.
    fn room_for(&self, owner: &Owner) -> Option<agent::Room> {
        let upstream = self.upstream.as_ref()?;
        Some(agent::Room {
            service: upstream.report.service.to_string(),
            capacity: Some(self.runs.capacity().into()),
            others: Some(self.runs.used_by_others(owner).into()),
            open: self.runs.is_open(),
            labels: upstream.report.labels.clone(),
            pace_percent: self.runs.pace().map_or(0, rounded_percent),
        })
    }
}

impl Announce for Supervisor {
    fn upstreams(&self) -> Vec<control::Upstream> {
        let state = self.state();
        let upstream = state.upstream.iter();
        let upstreams = upstream.map(|upstream| control::Upstream {
            service: upstream.report.service.to_string(),
            slots: 1,
            connections: MAX_CONCURRENT_STARTS as u32,
            leaving: false,
        });
        upstreams.collect()
    }

    fn leaving(&self) -> bool {
        self.state().leaving
    }
}

/// Reports the free capacity to all entries whenever it has changed.
pub(super) async fn report_room(supervisor: Arc<Supervisor>) {
    loop {
        supervisor.room_changed.notified().await;
        {
            let mut state = supervisor.state();
            let owners: Vec<Owner> = state.streams.keys().cloned().collect();
            for owner in owners {
                let room = state.room_for(&owner);
                if state
                    .streams
                    .get(&owner)
                    .is_some_and(|s| s.last_room != room)
                {
                    supervisor.send_report(&mut state, &owner, Vec::new());
                }
            }
        }
        tokio::time::sleep(MIN_ROOM_REPORT_INTERVAL).await;
    }
}

/// A pace in percent, rounded to steps of about a quarter of itself, so that not
/// every poll causes a report.
fn rounded_percent(pace: f64) -> u32 {
    let steps = (pace.max(0.1).log2() * PACE_STEPS_PER_DOUBLING).round() / PACE_STEPS_PER_DOUBLING;
    (steps.exp2() * 100.0) as u32
}

/// Logs the end of a run. Of the runs that completed, only a sample is logged.
fn log_end(end: &RunEnd) {
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

fn refused_end(owner: &Owner, run: Run, refusal: Refusal) -> RunEnd {
    RunEnd {
        owner: owner.clone(),
        run,
        fate: Fate::Refused(refusal),
        ran: Duration::ZERO,
    }
}

fn end_to_wire(end: &RunEnd) -> agent::End {
    let (fate, refusal) = match end.fate {
        Fate::Done => (agent::Fate::Done, agent::Refusal::Unspecified),
        Fate::Failed => (agent::Fate::Failed, agent::Refusal::Unspecified),
        Fate::Stopped => (agent::Fate::Stopped, agent::Refusal::Unspecified),
        Fate::Lost => (agent::Fate::Lost, agent::Refusal::Unspecified),
        Fate::Refused(refusal) => (agent::Fate::Refused, refusal_to_wire(refusal)),
    };
    agent::End {
        run: Some((&end.run).into()),
        fate: fate.into(),
        refusal: refusal.into(),
        run_ms: u32::try_from(end.ran.as_millis()).unwrap_or(u32::MAX),
    }
}

fn refusal_to_wire(refusal: run::Refusal) -> agent::Refusal {
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

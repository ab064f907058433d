//! Streams of the entries: the reports of ends and of free capacity.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gentian::claim::run::{self, Fate, Owner, Refusal, Run, RunEnd};
use gentian::wire::agent::{self, Orders, Reports};
use gentian_platform::order;

use super::stream::Sender;
use super::supervisor::{State, Supervisor};
use crate::logging::is_sampled;
use crate::panics::AbortOnPanic;

/// Minimum time between two reports of free capacity to the entries.
const MIN_ROOM_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Mean time between two periodic reports of free capacity to any entry.
const ROOM_REPORT_SPACING: Duration = Duration::from_millis(8);
/// Time without a report after which an entry gets an answer in any case. It is well below
/// the time after which the entry takes the agent for lost.
const MAX_SILENCE: Duration = Duration::from_millis(100);
/// Time that an entry has to use free capacity before it is offered to the next one:
/// longer than a round trip between data centres.
const OFFER_INTERVAL: Duration = Duration::from_millis(4);
/// Number of steps into which a doubling of the pace is rounded.
const PACE_STEPS_PER_DOUBLING: f64 = 3.0;

/// The open stream of one entry.
#[derive(Debug)]
pub(super) struct Stream {
    number: u64,
    sender: Sender,
    /// Free capacity as last reported on this stream.
    last_room: Option<agent::Room>,
    /// When the last report was queued, on the agent's clock.
    reported_at: Duration,
}

impl Supervisor {
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
            reported_at: Duration::ZERO,
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
        self.exchange_crashes(&mut state, owner, &first.crashes);
        self.report_ends(&mut state, ends);
        number
    }

    /// Forgets a stream of an entry, unless a newer one has replaced it.
    pub(super) fn close_stream(&self, owner: &Owner, number: u64) {
        let mut state = self.state();
        if state.is_current_stream(owner, number) {
            state.streams.remove(owner);
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
        let any_ended = !by_owner.is_empty();
        for (owner, ends) in by_owner {
            self.send_report(state, &owner, ends);
        }
        if any_ended {
            self.offer_room(state);
        }
    }

    /// Tells one of the entries that were refused for lack of capacity that some is free.
    /// If that entry no longer needs it, the next one is told after [`OFFER_INTERVAL`].
    fn offer_room(&self, state: &mut State) {
        if !state.runs.is_open() {
            return;
        }
        let free = state.runs.capacity().minus(state.runs.used());
        if let Some(owner) = state.waiting.take_next(free, self.now()) {
            self.metrics.offered();
            self.send_report(state, &owner, Vec::new());
            self.room_offered.notify_one();
        }
    }

    /// Reports the free capacity to the entries that were last told something else.
    fn report_room(&self, state: &mut State) {
        state.told_open = state.runs.is_open();
        let owners: Vec<Owner> = state.streams.keys().cloned().collect();
        for owner in owners {
            let room = state.room_for(&owner);
            let stream = state.streams.get(&owner);
            if stream.is_some_and(|stream| stream.last_room != room) {
                self.send_report(state, &owner, Vec::new());
            }
        }
    }

    /// Sends ends to an entry, and the free capacity if that has changed.
    pub(super) fn send_report(&self, state: &mut State, owner: &Owner, ends: Vec<RunEnd>) {
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
            incarnation: self.incarnation,
            ..Reports::default()
        };
        self.queue_reports(state, owner, reports);
    }

    /// Queues reports for an entry. If its queue is full or closed, its stream is
    /// dropped; the entry then opens another and gets what it missed.
    pub(super) fn queue_reports(&self, state: &mut State, owner: &Owner, reports: Reports) {
        let Some(stream) = state.streams.get_mut(owner) else {
            return;
        };
        stream.reported_at = self.now();
        if stream.sender.try_send(Ok(reports)).is_err() {
            log::warn!(
                "entry {}: stream dropped, since its queue of reports is full or closed",
                owner.entry
            );
            state.streams.remove(owner);
        }
    }
}

impl State {
    /// Whether no newer stream of the entry has replaced this one.
    pub(super) fn is_current_stream(&self, owner: &Owner, number: u64) -> bool {
        let stream = self.streams.get(owner);
        stream.is_some_and(|stream| stream.number == number)
    }

    /// Whether the upstream has begun or ceased to take new runs since the entries were
    /// last told.
    pub(super) fn open_has_changed(&self) -> bool {
        self.upstream.is_some() && self.told_open != self.runs.is_open()
    }

    /// Whether an entry has not heard from this agent for a while.
    pub(super) fn is_report_due(&self, owner: &Owner, now: Duration) -> bool {
        let stream = self.streams.get(owner);
        stream.is_some_and(|stream| now > stream.reported_at + MAX_SILENCE)
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

/// Reports the free capacity to all entries when it has changed, at most once in each
/// [`room_report_interval`]; but at once if the upstream takes runs again or no longer.
pub(super) async fn report_room(supervisor: Arc<Supervisor>) {
    let _essential = AbortOnPanic("the reports to the entries");
    let mut due = tokio::time::Instant::now();
    loop {
        supervisor.room_changed.notified().await;
        while !supervisor.state().open_has_changed() {
            let changed = supervisor.room_changed.notified();
            if tokio::time::timeout_at(due, changed).await.is_err() {
                break;
            }
        }
        let mut state = supervisor.state();
        supervisor.report_room(&mut state);
        due = tokio::time::Instant::now() + room_report_interval(state.streams.len());
    }
}

/// Offers free capacity to the next entry that waits for some, when the one before has
/// had time to use it.
pub(super) async fn repeat_offers(supervisor: Arc<Supervisor>) {
    let _essential = AbortOnPanic("the offers to the entries");
    loop {
        supervisor.room_offered.notified().await;
        tokio::time::sleep(OFFER_INTERVAL).await;
        supervisor.offer_room(&mut supervisor.state());
    }
}

/// Time between two reports of the free capacity to all of `entries`. The more there are,
/// the less often each is told, so that an agent's reports don't grow with their number.
fn room_report_interval(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    MIN_ROOM_REPORT_INTERVAL.max(ROOM_REPORT_SPACING.saturating_mul(entries))
}

/// A pace in percent, rounded to steps of about a quarter of itself, so that not
/// every poll causes a report.
fn rounded_percent(pace: f64) -> u32 {
    let steps = (pace.max(0.1).log2() * PACE_STEPS_PER_DOUBLING).round() / PACE_STEPS_PER_DOUBLING;
    (steps.exp2() * 100.0) as u32
}

/// Logs the end of a run. Of the runs that completed, and of those that found no room and
/// are tried elsewhere, only a sample is logged.
pub(super) fn log_end(end: &RunEnd) {
    let request = order::job(&end.run.task);
    let usual = matches!(end.fate, Fate::Done | Fate::Refused(Refusal::Full));
    if usual && !is_sampled(request) {
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
        Refusal::Unsuitable => agent::Refusal::Unsuitable,
        Refusal::Denied => agent::Refusal::Denied,
        Refusal::Expired => agent::Refusal::Expired,
        Refusal::OldRun => agent::Refusal::OldRun,
        Refusal::Unhealthy => agent::Refusal::Unhealthy,
        Refusal::NoAnswer => agent::Refusal::NoAnswer,
        Refusal::Invalid => agent::Refusal::Invalid,
    }
}

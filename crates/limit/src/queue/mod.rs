//! The bounded queue of an entry.
//!
//! Fair on two levels: between teams by their weights, and inside a team
//! between its single requests and each of its jobs. Fairness counts expected
//! run time, not requests, since that is what slots are short of. Inside a flow
//! the first come goes first: last-come-first would answer some callers sooner
//! under overload, but here whoever would be too late is refused on arrival, so
//! that those who wait are those who can still be served.
//!
//! A request that can't start in time any more is shed, so that its caller
//! learns at once that it was not run.

mod fair;
mod list;
mod team;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use gentian_wire::id::{self, Team};
use strum::Display;

use self::fair::Fair;
use self::list::Slab;
use self::team::State;
use crate::retry_after::DrainRate;

pub use self::list::Ticket;

const CAPACITY: usize = 20_000;

/// How much more of a team's turn its single requests get than one job does.
const SINGLE_WEIGHT: u32 = 4;

/// Waiting requests looked at in one pop for one that can be placed.
const LOOKS: usize = 32;

/// Waiting requests of one flow looked at in one pop.
const LOOKS_PER_FLOW: usize = 4;

/// Cancelled entries that the queue of deadlines may hold besides live ones.
const SPARE_DEADLINES: usize = 1024;

/// What takes turns inside a team.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Flow {
    /// All single requests of the team.
    Single,
    /// The tasks of one job.
    Job(id::Job),
}

/// A request to wait in the queue.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// The team it is counted to.
    pub team: Team,
    /// What it takes turns with.
    pub flow: Flow,
    /// When its answer must be there.
    pub deadline: Duration,
    /// How long it is expected to run.
    pub expected_run_time: Duration,
    /// What is handed back.
    pub item: T,
}

impl<T> Entry<T> {
    /// Latest start that still leaves time to run.
    pub fn latest_start(&self) -> Duration {
        self.deadline.saturating_sub(self.expected_run_time)
    }
}

/// Why a request may not wait.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The queue is full, or holds all of the team that it has room for.
    Full,
    /// It would not be answered before its deadline.
    Late,
}

/// A request that may not wait, with how long it takes until there is room.
#[derive(Clone, Debug)]
pub struct Refusal<T> {
    /// Why.
    pub cause: Cause,
    /// Expected wait as the queue stands; zero where nothing is known.
    pub wait: Duration,
    /// The refused request.
    pub entry: Entry<T>,
}

/// A result whose error is a refused request.
pub type Result<T, E> = std::result::Result<T, Box<Refusal<E>>>;

/// A request that was let in.
#[derive(Debug)]
pub struct Admission<T> {
    /// Names it for a cancellation.
    pub ticket: Ticket,
    /// The newest single request of the team that held most beyond its part,
    /// which had to make room.
    pub evicted: Option<Entry<T>>,
}

/// Bounded queue, fair between teams and between the flows of a team.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Slab<Entry<T>>,
    teams: HashMap<Team, State>,
    turns: Fair<Team>,
    deadlines: BinaryHeap<Reverse<(Duration, Ticket)>>,
    capacity: usize,
    drain_rate: DrainRate,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue::new(CAPACITY)
    }
}

impl<T> Queue<T> {
    /// An empty queue with room for `capacity` requests.
    pub fn new(capacity: usize) -> Queue<T> {
        Queue {
            entries: Slab::default(),
            teams: HashMap::new(),
            turns: Fair::default(),
            deadlines: BinaryHeap::new(),
            capacity,
            drain_rate: DrainRate::default(),
        }
    }

    /// Sets the team's weight against other teams; it is 1 unless set.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        let state = self.teams.entry(team.clone()).or_default();
        state.weight = weight.max(1);
    }

    /// Sets the room; what waits beyond it may stay.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// How fast the queue drains.
    pub fn drain_rate(&mut self) -> &mut DrainRate {
        &mut self.drain_rate
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests of the team waiting.
    pub fn team_len(&self, team: &Team) -> usize {
        self.teams.get(team).map_or(0, State::len)
    }

    /// Lets a request wait, or refuses it at once where it would be too late
    /// or has no room.
    pub fn push(&mut self, entry: Entry<T>, now: Duration) -> Result<Admission<T>, T> {
        let wait = self.expected_wait(&entry.team, entry.flow, now);
        if now.saturating_add(wait) > entry.latest_start() {
            return Err(refusal(Cause::Late, wait, entry));
        }
        let mut evicted = None;
        if self.len() >= self.capacity {
            evicted = self.evict_for(&entry.team);
            if evicted.is_none() {
                return Err(refusal(Cause::Full, wait, entry));
            }
        }
        let ticket = self.insert(entry);
        Ok(Admission { ticket, evicted })
    }

    /// Time until a further request of this flow would start.
    pub fn expected_wait(&self, team: &Team, flow: Flow, now: Duration) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.ahead(team, flow);
        self.drain_rate
            .time_to_start(ahead, now)
            .unwrap_or(Duration::ZERO)
    }

    /// Takes the request whose turn it is among those that `fits` accepts; a
    /// few are looked at. `fits` is not asked again once it has accepted one.
    pub fn pop(&mut self, now: Duration, fits: impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        let ticket = self.next(now, fits)?;
        let entry = self.remove(ticket)?;
        self.charge(&entry);
        self.drain_rate.record_start(!self.is_empty(), now);
        Some(entry)
    }

    /// Takes the next request out without a charge, for a queue that has to be
    /// emptied.
    pub fn pop_uncharged(&mut self) -> Option<Entry<T>> {
        let team = self.turns.iter().next()?;
        let list = self.teams.get(team)?.lists().next()?;
        let ticket = self.entries.iter(list).next()?;
        self.remove(ticket)
    }

    /// Takes a request out before its turn.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.remove(ticket)?;
        self.trim();
        Some(entry)
    }

    /// Takes a request that can't start in time any more. To be called until
    /// there is none, before requests are popped.
    pub fn shed(&mut self, now: Duration) -> Option<Entry<T>> {
        while let Some(Reverse((latest, ticket))) = self.deadlines.peek().copied() {
            if latest >= now {
                return None;
            }
            self.deadlines.pop();
            if let Some(entry) = self.remove(ticket) {
                return Some(entry);
            }
        }
        None
    }

    /// When the next request will have to be shed, or earlier.
    pub fn next_shed_at(&self) -> Option<Duration> {
        self.deadlines.peek().map(|Reverse((latest, _))| *latest)
    }

    fn insert(&mut self, entry: Entry<T>) -> Ticket {
        let (team, flow, latest) = (entry.team.clone(), entry.flow, entry.latest_start());
        let ticket = self.entries.insert(entry);
        let state = self.teams.entry(team.clone()).or_default();
        if state.is_empty() {
            self.turns.activate(team);
        }
        state.push(flow, ticket, &mut self.entries);
        self.deadlines.push(Reverse((latest, ticket)));
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.entries.get(ticket)?;
        let state = self.teams.get_mut(&entry.team)?;
        let flow = entry.flow;
        state.unlink(flow, ticket, &mut self.entries);
        let entry = self.entries.remove(ticket)?;
        if state.is_empty() {
            self.turns.deactivate(&entry.team);
        }
        Some(entry)
    }

    fn next(&self, now: Duration, mut fits: impl FnMut(&Entry<T>) -> bool) -> Option<Ticket> {
        let mut looks = LOOKS;
        let teams = self.turns.iter().filter_map(|team| self.teams.get(team));
        for list in teams.flat_map(State::lists) {
            let mut in_flow = LOOKS_PER_FLOW.min(looks);
            for ticket in self.entries.iter(list) {
                let entry = self.entries.get(ticket)?;
                if entry.latest_start() < now {
                    continue;
                }
                if in_flow == 0 {
                    break;
                }
                if fits(entry) {
                    return Some(ticket);
                }
                in_flow -= 1;
                looks -= 1;
            }
            if looks == 0 {
                return None;
            }
        }
        None
    }

    fn charge(&mut self, entry: &Entry<T>) {
        let cost = u64::try_from(entry.expected_run_time.as_micros()).unwrap_or(u64::MAX);
        if let Some(state) = self.teams.get_mut(&entry.team) {
            state.charge(entry.flow, cost);
            self.turns.charge(&entry.team, cost, state.weight);
        }
    }

    /// Requests that will start before a further one of this flow.
    fn ahead(&self, team: &Team, flow: Flow) -> usize {
        let state = self.teams.get(team);
        let weight = state.map_or(1, |state| state.weight);
        let own = state.map_or(0, |state| state.ahead(flow));
        let others: usize = self
            .turns
            .iter()
            .filter(|other| *other != team)
            .filter_map(|other| self.teams.get(other))
            .map(|other| other.len().min(share(own + 1, other.weight, weight)))
            .sum();
        own + others
    }

    /// Makes room for a team that holds less than its part, at the cost of the
    /// one that holds most beyond its own. Tasks of a job are left alone, since
    /// a job is answered whole or not at all.
    fn evict_for(&mut self, team: &Team) -> Option<Entry<T>> {
        let total = self.total_weight(team);
        let excess = |state: &State| {
            state.len() as f64 - self.capacity as f64 * f64::from(state.weight) / total
        };
        let own = self.teams.get(team).map_or(-1.0, excess);
        let (_, victim) = self
            .teams
            .iter()
            .filter(|(name, state)| *name != team && excess(state) > 0.0)
            .max_by(|a, b| excess(a.1).total_cmp(&excess(b.1)))?;
        let ticket = victim.newest(Flow::Single)?;
        if own >= 0.0 {
            return None;
        }
        self.remove(ticket)
    }

    fn total_weight(&self, joining: &Team) -> f64 {
        let weight = |team: &Team| self.teams.get(team).map_or(1, |state| state.weight);
        let active: u32 = self
            .turns
            .iter()
            .filter(|team| *team != joining)
            .map(weight)
            .sum();
        f64::from(active + weight(joining))
    }

    fn trim(&mut self) {
        if self.deadlines.len() > 2 * self.entries.len() + SPARE_DEADLINES {
            let entries = &self.entries;
            self.deadlines
                .retain(|Reverse((_, ticket))| entries.get(*ticket).is_some());
        }
    }
}

/// Requests that a flow of weight `other` starts while one of weight `own`
/// starts `count`.
pub(crate) fn share(count: usize, other: u32, own: u32) -> usize {
    let scaled = (count as u64).saturating_mul(u64::from(other));
    usize::try_from(scaled.div_ceil(u64::from(own.max(1)))).unwrap_or(usize::MAX)
}

fn refusal<T>(cause: Cause, wait: Duration, entry: Entry<T>) -> Box<Refusal<T>> {
    Box::new(Refusal { cause, wait, entry })
}

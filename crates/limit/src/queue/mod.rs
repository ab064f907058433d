//! Bounded, fair queue of the requests that wait at one entry instance.
//!
//! The queue is fair on two levels: between teams by their weights, and within a
//! team between its single requests and each of its jobs. Shares are measured in
//! expected run time rather than in requests, since slot time is the scarce
//! resource. Within a flow the order is first in, first out. Last in, first out
//! would answer some callers sooner under overload, but here a request that would
//! miss its deadline is refused on arrival, so that those that wait can still be
//! served.
//!
//! A waiting request that can no longer start in time is shed, so that its caller
//! learns immediately that it was not run.

mod fair;
mod list;
mod team;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use gentian_wire::id::{self, Team};
use strum::Display;

use self::fair::FairQueue;
use self::list::Slab;
use self::team::TeamQueue;
use crate::retry_after::DrainRate;

pub use self::list::Ticket;

const DEFAULT_CAPACITY: usize = 20_000;

/// Weight of a team's single requests; each of its jobs has weight 1.
const SINGLE_WEIGHT: u32 = 4;

/// Number of waiting requests that one pop tries to place.
const MAX_TRIED: usize = 32;

/// Number of waiting requests of one flow that one pop tries to place.
const MAX_TRIED_PER_FLOW: usize = 4;

/// Latest starts of removed requests are pruned once they outnumber the waiting
/// requests by more than this.
const MAX_STALE_STARTS: usize = 1024;

/// Unit between which a team's share is divided fairly.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Flow {
    /// All single requests of the team.
    Single,
    /// The tasks of one job.
    Job(id::Job),
}

/// A request in the queue.
#[derive(Clone, Debug)]
pub struct Entry<T> {
    /// Team that is charged for the request.
    pub team: Team,
    /// Flow of the team that the request belongs to.
    pub flow: Flow,
    /// Time by which the answer is due.
    pub deadline: Duration,
    /// Expected run time.
    pub expected_run_time: Duration,
    /// Value that the queue returns with the request.
    pub item: T,
}

impl<T> Entry<T> {
    /// Latest start at which the request is expected to finish by its deadline.
    pub fn latest_start(&self) -> Duration {
        self.deadline.saturating_sub(self.expected_run_time)
    }
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The queue is full and no other team's request can be evicted for this one.
    Full,
    /// The request would not be answered before its deadline.
    Late,
}

/// A request that was not admitted.
#[derive(Clone, Debug)]
pub struct Refusal<T> {
    /// Why the request was refused.
    pub cause: Cause,
    /// Expected wait at the current queue length; zero if it is unknown.
    pub wait: Duration,
    /// The refused request.
    pub entry: Entry<T>,
}

/// A result whose error is a refused request.
pub type Result<T, E> = std::result::Result<T, Box<Refusal<E>>>;

/// Result of admitting a request.
#[derive(Debug)]
pub struct Admission<T> {
    /// Key to cancel the request with.
    pub ticket: Ticket,
    /// Request that was evicted to make room: the newest single request of the team
    /// that exceeded its share of the queue most.
    pub evicted: Option<Entry<T>>,
}

/// Bounded queue, fair between teams and between the flows of a team.
#[derive(Debug)]
pub struct Queue<T> {
    entries: Slab<Entry<T>>,
    teams: HashMap<Team, TeamQueue>,
    fair_order: FairQueue<Team>,
    /// Latest starts of the requests, including some already removed.
    latest_starts: BinaryHeap<Reverse<(Duration, Ticket)>>,
    capacity: usize,
    drain_rate: DrainRate,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue::new(DEFAULT_CAPACITY)
    }
}

impl<T> Queue<T> {
    /// Creates an empty queue that holds up to `capacity` requests.
    pub fn new(capacity: usize) -> Queue<T> {
        Queue {
            entries: Slab::default(),
            teams: HashMap::new(),
            fair_order: FairQueue::default(),
            latest_starts: BinaryHeap::new(),
            capacity,
            drain_rate: DrainRate::default(),
        }
    }

    /// Sets the team's weight relative to other teams; the default is 1.
    pub fn set_weight(&mut self, team: &Team, weight: u32) {
        let team_queue = self.teams.entry(team.clone()).or_default();
        team_queue.weight = weight.max(1);
    }

    /// Sets the capacity. Requests that already wait beyond it stay in the queue.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Measured rate at which the queue drains.
    pub fn drain_rate(&mut self) -> &mut DrainRate {
        &mut self.drain_rate
    }

    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of waiting requests of the team.
    pub fn team_len(&self, team: &Team) -> usize {
        self.teams.get(team).map_or(0, TeamQueue::len)
    }

    /// Adds a request, or refuses it if it would miss its deadline or the queue is
    /// full.
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

    /// Expected time until a request added to this flow now would start; zero if it
    /// is unknown.
    pub fn expected_wait(&self, team: &Team, flow: Flow, now: Duration) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let ahead = self.ahead(team, flow);
        self.drain_rate
            .time_to_start(ahead, now)
            .unwrap_or(Duration::ZERO)
    }

    /// Removes and returns the first request, in fair order, that `fits` accepts, and
    /// charges it to its team and flow.
    ///
    /// Only a bounded number of requests are tried. `fits` is not called again after
    /// it has accepted one.
    pub fn pop(&mut self, now: Duration, fits: impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        let ticket = self.find_next(now, fits)?;
        let entry = self.remove(ticket)?;
        self.charge(&entry);
        self.drain_rate.record_start(!self.is_empty(), now);
        Some(entry)
    }

    /// Removes the next request without charging for it. Used to empty the queue.
    pub fn pop_uncharged(&mut self) -> Option<Entry<T>> {
        let team = self.fair_order.iter().next()?;
        let list = self.teams.get(team)?.lists().next()?;
        let ticket = self.entries.iter(list).next()?;
        self.remove(ticket)
    }

    /// Removes a request that is no longer wanted.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.remove(ticket)?;
        self.prune_latest_starts();
        Some(entry)
    }

    /// Removes and returns a request that can no longer start in time. Call this until
    /// it returns `None` before popping requests.
    pub fn shed(&mut self, now: Duration) -> Option<Entry<T>> {
        while let Some(Reverse((latest, ticket))) = self.latest_starts.peek().copied() {
            if latest >= now {
                return None;
            }
            self.latest_starts.pop();
            if let Some(entry) = self.remove(ticket) {
                return Some(entry);
            }
        }
        None
    }

    /// Time at which to call [`shed`](Queue::shed) again. May be early, since requests
    /// that were removed are still considered.
    pub fn next_shed_at(&self) -> Option<Duration> {
        self.latest_starts
            .peek()
            .map(|Reverse((latest, _))| *latest)
    }

    fn insert(&mut self, entry: Entry<T>) -> Ticket {
        let (team, flow, latest) = (entry.team.clone(), entry.flow, entry.latest_start());
        let ticket = self.entries.insert(entry);
        let team_queue = self.teams.entry(team.clone()).or_default();
        if team_queue.is_empty() {
            self.fair_order.activate(team);
        }
        team_queue.push(flow, ticket, &mut self.entries);
        self.latest_starts.push(Reverse((latest, ticket)));
        ticket
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry<T>> {
        let entry = self.entries.get(ticket)?;
        let team_queue = self.teams.get_mut(&entry.team)?;
        let flow = entry.flow;
        team_queue.unlink(flow, ticket, &mut self.entries);
        let entry = self.entries.remove(ticket)?;
        if team_queue.is_empty() {
            self.fair_order.deactivate(&entry.team);
        }
        Some(entry)
    }

    fn find_next(&self, now: Duration, mut fits: impl FnMut(&Entry<T>) -> bool) -> Option<Ticket> {
        let mut remaining = MAX_TRIED;
        let teams = self
            .fair_order
            .iter()
            .filter_map(|team| self.teams.get(team));
        for list in teams.flat_map(TeamQueue::lists) {
            let mut remaining_in_flow = MAX_TRIED_PER_FLOW.min(remaining);
            for ticket in self.entries.iter(list) {
                let entry = self.entries.get(ticket)?;
                if entry.latest_start() < now {
                    continue;
                }
                if remaining_in_flow == 0 {
                    break;
                }
                if fits(entry) {
                    return Some(ticket);
                }
                remaining_in_flow -= 1;
                remaining -= 1;
            }
            if remaining == 0 {
                return None;
            }
        }
        None
    }

    fn charge(&mut self, entry: &Entry<T>) {
        let cost = u64::try_from(entry.expected_run_time.as_micros()).unwrap_or(u64::MAX);
        if let Some(team_queue) = self.teams.get_mut(&entry.team) {
            team_queue.charge(entry.flow, cost);
            self.fair_order.charge(&entry.team, cost, team_queue.weight);
        }
    }

    /// Number of waiting requests that would start before one newly added to this flow.
    fn ahead(&self, team: &Team, flow: Flow) -> usize {
        let team_queue = self.teams.get(team);
        let weight = team_queue.map_or(1, |team_queue| team_queue.weight);
        let own = team_queue.map_or(0, |team_queue| team_queue.ahead(flow));
        let others: usize = self
            .fair_order
            .iter()
            .filter(|other| *other != team)
            .filter_map(|other| self.teams.get(other))
            .map(|other| {
                other
                    .len()
                    .min(proportional_count(own + 1, other.weight, weight))
            })
            .sum();
        own + others
    }

    /// Makes room for a team that holds less than its share of the queue by evicting a
    /// request of the team that exceeds its own share most. Tasks of jobs are never
    /// evicted, since a job without one of its tasks would be useless.
    fn evict_for(&mut self, team: &Team) -> Option<Entry<T>> {
        let total = self.total_weight(team);
        let excess = |team_queue: &TeamQueue| {
            team_queue.len() as f64 - self.capacity as f64 * f64::from(team_queue.weight) / total
        };
        let own = self.teams.get(team).map_or(-1.0, excess);
        let (_, victim) = self
            .teams
            .iter()
            .filter(|(name, team_queue)| *name != team && excess(team_queue) > 0.0)
            .max_by(|a, b| excess(a.1).total_cmp(&excess(b.1)))?;
        let ticket = victim.newest(Flow::Single)?;
        if own >= 0.0 {
            return None;
        }
        self.remove(ticket)
    }

    fn total_weight(&self, joining: &Team) -> f64 {
        let weight = |team: &Team| {
            self.teams
                .get(team)
                .map_or(1, |team_queue| team_queue.weight)
        };
        let active: u32 = self
            .fair_order
            .iter()
            .filter(|team| *team != joining)
            .map(weight)
            .sum();
        f64::from(active + weight(joining))
    }

    fn prune_latest_starts(&mut self) {
        if self.latest_starts.len() > 2 * self.entries.len() + MAX_STALE_STARTS {
            let entries = &self.entries;
            self.latest_starts
                .retain(|Reverse((_, ticket))| entries.get(*ticket).is_some());
        }
    }
}

/// Number of requests that a flow or team of weight `other_weight` starts while one of
/// weight `own_weight` starts `count`.
pub(crate) fn proportional_count(count: usize, other_weight: u32, own_weight: u32) -> usize {
    let scaled = (count as u64).saturating_mul(u64::from(other_weight));
    usize::try_from(scaled.div_ceil(u64::from(own_weight.max(1)))).unwrap_or(usize::MAX)
}

fn refusal<T>(cause: Cause, wait: Duration, entry: Entry<T>) -> Box<Refusal<T>> {
    Box::new(Refusal { cause, wait, entry })
}

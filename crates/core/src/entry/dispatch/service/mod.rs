//! Queueing, placement and retries for one service.

mod health;
mod retry;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gentian::config::document;
use gentian::limit::queue::{Cause, Entry, Flow, Queue, Ticket};
use gentian::limit::quota::TeamQuotas;
use gentian::limit::response_weight::ResponseWeight;
use gentian::limit::retry::Budget;
use gentian::limit::retry_after::retry_after;
use gentian::route::outlier::{Detector, Settings};
use gentian::route::run_times::RunTimes;
use gentian::route::view::{Index, Load, LoadView};
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::choose::choose;
use super::members::Upstream;
use super::{Counts, Place, PlaceRequest, Reason, Refusal, Report, Verdict};

/// Assumed wait, from which the retry delay of refused callers follows, when the wait
/// can't be estimated, such as while there is no upstream.
const DEFAULT_WAIT: Duration = Duration::from_millis(500);

/// One service: its queue, the view of its upstreams, and run time statistics.
#[derive(Debug)]
pub(super) struct Service {
    view: LoadView,
    queue: Queue<PendingRequest>,
    detector: Detector,
    runtime: RunTimes,
    budget: Budget,
    /// Addresses of the agents.
    addresses: HashMap<id::Node, String>,
    /// Requests in the queue by number.
    tickets: HashMap<u64, Ticket>,
    /// Requests that have a place, by number.
    in_flight: HashMap<u64, InFlight>,
    /// Retries that wait for the end of their backoff, by that time and the request's
    /// number.
    backoff: BTreeMap<(Duration, u64), PendingRequest>,
    counts: Arc<Counts>,
    rng: Pcg64Mcg,
}

/// A request that has a place, which counts against its team's quota.
#[derive(Debug)]
struct InFlight {
    index: Index,
    team: id::Team,
}

/// A request that has no verdict yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) number: u64,
    pub(super) request: PlaceRequest,
    pub(super) deadline: Duration,
    pub(super) sender: oneshot::Sender<Verdict>,
}

impl Service {
    pub(super) fn new(
        entry: &id::Node,
        data_center: &id::DataCenter,
        counts: Arc<Counts>,
        rng: Pcg64Mcg,
    ) -> Service {
        Service {
            view: LoadView::new(entry, data_center.clone()),
            queue: Queue::default(),
            detector: Detector::new(Settings::default()),
            runtime: RunTimes::default(),
            budget: Budget::new(ResponseWeight::default().retry_share()),
            addresses: HashMap::new(),
            tickets: HashMap::new(),
            in_flight: HashMap::new(),
            backoff: BTreeMap::new(),
            counts,
            rng,
        }
    }

    /// Applies the configuration of the service.
    pub(super) fn configure(&mut self, service: &document::Service, limits: &document::Limits) {
        let weight = ResponseWeight::try_from(service.response_weight).unwrap_or_default();
        self.view.set_min_free_slots(weight.min_free_slots());
        self.budget
            .set_share(service.retry_budget.min(weight.retry_share()));
        self.queue.set_capacity(limits.queue as usize);
    }

    /// Replaces the list of upstreams.
    pub(super) fn update_upstreams(
        &mut self,
        upstreams: &BTreeMap<id::Node, Upstream>,
        now: Duration,
    ) {
        let known: BTreeSet<id::Node> = self.addresses.keys().cloned().collect();
        for node in known.iter().filter(|node| !upstreams.contains_key(*node)) {
            self.view.remove(node, now);
            self.detector.untrack(node);
            self.addresses.remove(node);
        }
        for (node, upstream) in upstreams {
            self.view.upsert(upstream.member.clone(), now);
            self.detector.track(node, upstream.member.incarnation);
            self.addresses
                .insert(node.clone(), upstream.address.clone());
        }
    }

    /// Queues a request or refuses it at once.
    pub(super) fn add(&mut self, pending: PendingRequest, now: Duration) {
        match pending.request.retry_of {
            None => {
                self.counts.demanded.add();
                self.budget.deposit();
                self.enqueue(pending, now);
            }
            Some(outcome) => self.retry(pending, outcome, now),
        }
    }

    /// Drops a waiting request, or frees the place that it was given.
    pub(super) fn cancel(&mut self, number: u64, quotas: &mut TeamQuotas, now: Duration) {
        if let Some(ticket) = self.tickets.remove(&number) {
            self.queue.cancel(ticket);
            self.counts.cancelled.add();
        }
        if let Some(placed) = self.in_flight.remove(&number) {
            quotas.release(&placed.team);
            self.view.record_end(placed.index, None, now);
        }
        self.backoff.retain(|key, _| key.1 != number);
    }

    /// Frees a place and updates the statistics of its upstream and of the service.
    pub(super) fn report(&mut self, report: &Report, quotas: &mut TeamQuotas, now: Duration) {
        let Some(placed) = self.in_flight.remove(&report.place.number) else {
            return;
        };
        quotas.release(&placed.team);
        let load = report.load.as_ref();
        let load = load.map(|load| Load::new(report.place.incarnation, load));
        self.view.record_end(placed.index, load, now);
        match report.outcome {
            Outcome::NotRun => self.counts.refused_by_agents.add(),
            Outcome::Unknown => self.counts.lost.add(),
            Outcome::Done | Outcome::Failed => {}
        }
        if let Some(observation) = self.observation(report) {
            self.detect_outlier(&report.place.agent, observation, now);
        }
        if let (Outcome::Done, Some(run)) = (report.outcome, report.run) {
            self.observe_run_time(run);
        }
    }

    /// Gives places to waiting requests in their order, and refuses those that can't
    /// be served in time.
    pub(super) fn place(&mut self, view: id::View, quotas: &mut TeamQuotas, now: Duration) {
        self.readmit(now);
        self.end_backoffs(now);
        while let Some(entry) = self.queue.shed(now) {
            let wait = self.queue.expected_wait(&entry.team, entry.flow, now);
            self.refuse(entry.item, Reason::DeadlinePassed, wait);
        }
        while let Some((pending, index)) = self.pop(quotas, now) {
            self.start(pending, index, view, quotas, now);
        }
    }

    /// Refuses all waiting requests.
    pub(super) fn refuse_all(&mut self, reason: Reason) {
        while let Some(entry) = self.queue.pop_uncharged() {
            self.refuse(entry.item, reason, DEFAULT_WAIT);
        }
        for pending in std::mem::take(&mut self.backoff).into_values() {
            self.refuse(pending, reason, DEFAULT_WAIT);
        }
    }

    /// Whether the service has any upstream that may take work.
    pub(super) fn has_upstream(&self) -> bool {
        self.view.total_slots() > 0
    }

    /// Number of waiting requests of a team.
    pub(super) fn waiting_of(&self, team: &id::Team) -> usize {
        self.queue.team_len(team)
    }

    /// Whether any request waits for a slot.
    pub(super) fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When the next backoff ends or the next waiting request has to be refused.
    pub(super) fn next_wake(&self) -> Option<Duration> {
        let backoff = self.backoff.first_key_value().map(|(key, _)| key.0);
        backoff.into_iter().chain(self.queue.next_shed_at()).min()
    }

    /// Puts a request into the queue. Refuses the request if no upstream may run it, if it
    /// can't be served in time or if the queue is full.
    fn enqueue(&mut self, pending: PendingRequest, now: Duration) {
        if !self.has_eligible_upstream(&pending.request) {
            self.refuse(pending, Reason::NoUpstream, DEFAULT_WAIT);
            return;
        }
        self.update_drain_estimate();
        let number = pending.number;
        let entry = Entry {
            team: pending.request.team.clone(),
            flow: pending.request.job.map_or(Flow::Single, Flow::Job),
            deadline: pending.deadline,
            expected_run_time: self.reserved_run_time(pending.deadline.saturating_sub(now)),
            item: pending,
        };
        match self.queue.push(entry, now) {
            Ok(admission) => {
                self.tickets.insert(number, admission.ticket);
                if let Some(evicted) = admission.evicted {
                    let wait = self.queue.expected_wait(&evicted.team, evicted.flow, now);
                    self.refuse(evicted.item, Reason::QueueFull, wait);
                }
            }
            Err(refusal) => {
                let reason = match refusal.cause {
                    Cause::Full => Reason::QueueFull,
                    Cause::Late => Reason::NoTimeLeft,
                };
                self.refuse(refusal.entry.item, reason, refusal.wait);
            }
        }
    }

    /// Run time to set aside for a request that has `left` until its deadline: the 90th
    /// percentile, capped at half of `left` or, if that is longer, at the median.
    fn reserved_run_time(&self, left: Duration) -> Duration {
        let median = self.runtime.quantile(0.5).unwrap_or_default();
        let p90 = self.runtime.quantile(0.9).unwrap_or_default();
        p90.min(median.max(left / 2))
    }

    /// Takes the next request out of the queue whose team has quota left and for which an
    /// upstream has a free slot.
    fn pop(&mut self, quotas: &TeamQuotas, now: Duration) -> Option<(PendingRequest, Index)> {
        let view = &mut self.view;
        let rng = &mut self.rng;
        let mut chosen = None;
        let fits = |entry: &Entry<PendingRequest>| {
            if quotas.check(&entry.team, now).is_err() {
                return false;
            }
            chosen = choose(view, &entry.item.request, now, rng);
            chosen.is_some()
        };
        let entry = self.queue.pop(now, fits)?;
        Some((entry.item, chosen?))
    }

    fn start(
        &mut self,
        pending: PendingRequest,
        index: Index,
        view: id::View,
        quotas: &mut TeamQuotas,
        now: Duration,
    ) {
        self.tickets.remove(&pending.number);
        let Some(upstream) = self.view.get(index) else {
            return;
        };
        let agent = upstream.node().clone();
        let place = Place {
            number: pending.number,
            incarnation: upstream.incarnation(),
            address: self.addresses.get(&agent).cloned().unwrap_or_default(),
            agent,
            view,
        };
        let retried = pending.request.retry_of.is_some();
        if pending.sender.send(Verdict::Start(place)).is_err() {
            self.counts.cancelled.add();
            return;
        }
        self.counts.placed.add();
        if retried {
            self.counts.retried.add();
        }
        self.view.record_start(index, now);
        let team = pending.request.team;
        quotas
            .acquire(&team, now)
            .expect("the quota was checked when the request was taken");
        self.in_flight
            .insert(pending.number, InFlight { index, team });
    }

    fn refuse(&mut self, pending: PendingRequest, reason: Reason, wait: Duration) {
        self.tickets.remove(&pending.number);
        self.counts.refused.add();
        let retry_after = Some(retry_after(wait, &mut self.rng));
        let refusal = Refusal {
            reason,
            retry_after,
        };
        // Fails if the caller no longer waits.
        let _ = pending.sender.send(Verdict::Refuse(refusal));
    }

    /// Whether any upstream that may run the request takes work.
    fn has_eligible_upstream(&self, request: &PlaceRequest) -> bool {
        let serves = |node: &id::Node| {
            let index = self.view.index_of(node);
            let upstream = index.and_then(|index| self.view.get(index));
            upstream.is_some_and(|upstream| upstream.takes_work())
        };
        match request.candidates.is_empty() {
            true => self.has_upstream(),
            false => request.candidates.iter().any(serves),
        }
    }

    /// Sets the queue's expected drain rate: the requests in flight over the mean run
    /// time.
    fn update_drain_estimate(&mut self) {
        if let Some(mean) = self.runtime.mean() {
            let in_flight = self.in_flight.len().max(1) as f64;
            let drain = self.queue.drain_rate();
            drain.set_estimate(in_flight / mean.as_secs_f64().max(1e-3));
        }
    }
}

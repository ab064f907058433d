//! The decisions for one service.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use gentian::config::document;
use gentian::limit::after::after;
use gentian::limit::queue::{Cause, Entry, Flow, Queue, Ticket};
use gentian::limit::quota::Ledger;
use gentian::limit::retry::{Budget, Try};
use gentian::limit::weight::Weight;
use gentian::route::eject::{Detector, Ending, Settings};
use gentian::route::runtime::Runtime;
use gentian::route::view::{Index, Load, Standing, View};
use gentian::wire::agent;
use gentian::wire::id;
use gentian::wire::outcome::Outcome;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::choose::choose;
use super::members::Offer;
use super::{Counts, Place, PlaceRequest, Reason, Refusal, Report, Verdict};

/// Time to come back while no upstream serves, since nothing tells when one will.
const NO_UPSTREAM_WAIT: Duration = Duration::from_millis(500);

/// How long a request that was refused waits where the retry budget is spent.
const BUDGET_WAIT: Duration = Duration::from_millis(50);

/// Answers after which the view is told the mean run time again.
const SETTLE_PERIOD: u64 = 32;

/// One service: its queue, its view and what was learned of it.
#[derive(Debug)]
pub(super) struct Service {
    view: View,
    queue: Queue<Waiting>,
    detector: Detector,
    runtime: Runtime,
    budget: Budget,
    addresses: HashMap<id::Node, String>,
    tickets: HashMap<u64, Ticket>,
    placed: HashMap<u64, Placed>,
    /// Retries that wait out their backoff, by its end and their number.
    later: BTreeMap<(Duration, u64), Waiting>,
    counts: Arc<Counts>,
    rng: Pcg64Mcg,
}

/// A demand that holds a slot, counted to its team.
#[derive(Debug)]
struct Placed {
    index: Index,
    team: id::Team,
}

/// A demand that has no verdict yet.
#[derive(Debug)]
pub(super) struct Waiting {
    pub(super) number: u64,
    pub(super) demand: PlaceRequest,
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
            view: View::new(entry, data_center.clone()),
            queue: Queue::default(),
            detector: Detector::new(Settings::default()),
            runtime: Runtime::default(),
            budget: Budget::new(Weight::default().budget()),
            addresses: HashMap::new(),
            tickets: HashMap::new(),
            placed: HashMap::new(),
            later: BTreeMap::new(),
            counts,
            rng,
        }
    }

    /// Takes over what the configuration says of the service.
    pub(super) fn configure(&mut self, service: &document::Service, limits: &document::Limits) {
        let weight = Weight::try_from(service.response_weight).unwrap_or_default();
        self.view.set_floor(weight.floor());
        self.budget
            .set_share(service.retry_budget.min(weight.budget()));
        self.queue.set_capacity(limits.queue as usize);
    }

    /// Takes over which upstreams there are.
    pub(super) fn adopt(&mut self, offers: &BTreeMap<id::Node, Offer>, now: Duration) {
        let known: BTreeSet<id::Node> = self.addresses.keys().cloned().collect();
        for node in known.iter().filter(|node| !offers.contains_key(*node)) {
            self.view.remove(node, now);
            self.detector.remove(node);
            self.addresses.remove(node);
        }
        for (node, offer) in offers {
            self.view.put(offer.member.clone(), now);
            self.detector.put(node, offer.member.incarnation);
            self.addresses.insert(node.clone(), offer.address.clone());
        }
    }

    /// Lets a demand wait, or gives it up at once.
    pub(super) fn demand(&mut self, waiting: Waiting, now: Duration) {
        match waiting.demand.retry_of {
            None => {
                self.counts.demanded.add();
                self.budget.earn();
                self.push(waiting, now);
            }
            Some(outcome) => self.again(waiting, outcome, now),
        }
    }

    /// Drops a demand, or frees the place it was given.
    pub(super) fn cancel(&mut self, number: u64, quotas: &mut Ledger, now: Duration) {
        if let Some(ticket) = self.tickets.remove(&number) {
            self.queue.cancel(ticket);
            self.counts.cancelled.add();
        }
        if let Some(placed) = self.placed.remove(&number) {
            quotas.put_back(&placed.team);
            self.view.end(placed.index, None, now);
        }
        self.later.retain(|key, _| key.1 != number);
    }

    /// Frees a place and learns from what came of it.
    pub(super) fn report(&mut self, report: &Report, quotas: &mut Ledger, now: Duration) {
        let Some(placed) = self.placed.remove(&report.place.number) else {
            return;
        };
        quotas.put_back(&placed.team);
        let load = report.load.as_ref();
        let load = load.map(|load| Load::new(report.place.incarnation, load));
        self.view.end(placed.index, load, now);
        match report.outcome {
            Outcome::NotRun => self.counts.refused_by_agents.add(),
            Outcome::Unknown => self.counts.lost.add(),
            Outcome::Done | Outcome::Failed => {}
        }
        if let Some(ending) = self.ending(report) {
            self.judge(&report.place.agent, ending, now);
        }
        if let (Outcome::Done, Some(run)) = (report.outcome, report.run) {
            self.learn(run);
        }
    }

    /// Gives places to those whose turn it is, and gives up those it must.
    pub(super) fn place(&mut self, view: id::View, quotas: &mut Ledger, now: Duration) {
        self.readmit(now);
        self.resume(now);
        while let Some(entry) = self.queue.shed(now) {
            let wait = self.queue.wait(&entry.team, entry.flow, now);
            self.refuse(entry.item, Reason::DeadlinePassed, wait);
        }
        while let Some((waiting, index)) = self.pop(quotas, now) {
            self.start(waiting, index, view, quotas, now);
        }
    }

    /// Gives up everything that waits.
    pub(super) fn refuse_all(&mut self, reason: Reason) {
        while let Some(waiting) = self.queue.take() {
            self.refuse(waiting.item, reason, NO_UPSTREAM_WAIT);
        }
        for later in std::mem::take(&mut self.later).into_values() {
            self.refuse(later, reason, NO_UPSTREAM_WAIT);
        }
    }

    /// Whether any upstream may take work.
    pub(super) fn is_served(&self) -> bool {
        self.view.slots() > 0
    }

    /// Requests of a team that wait.
    pub(super) fn waiting(&self, team: &id::Team) -> usize {
        self.queue.len_of(team)
    }

    /// Whether anything waits for a slot.
    pub(super) fn is_occupied(&self) -> bool {
        !self.queue.is_empty()
    }

    /// When something will have to be done without a further event.
    pub(super) fn next(&self) -> Option<Duration> {
        let later = self.later.first_key_value().map(|(key, _)| key.0);
        later.into_iter().chain(self.queue.next_shed()).min()
    }

    fn push(&mut self, waiting: Waiting, now: Duration) {
        if !self.may_run(&waiting.demand) {
            self.refuse(waiting, Reason::NoUpstream, NO_UPSTREAM_WAIT);
            return;
        }
        self.estimate();
        let number = waiting.number;
        let entry = Entry {
            team: waiting.demand.team.clone(),
            flow: waiting.demand.job.map_or(Flow::Single, Flow::Job),
            deadline: waiting.deadline,
            run: self.reserve(waiting.deadline.saturating_sub(now)),
            item: waiting,
        };
        match self.queue.push(entry, now) {
            Ok(admission) => {
                self.tickets.insert(number, admission.ticket);
                if let Some(evicted) = admission.evicted {
                    let wait = self.queue.wait(&evicted.team, evicted.flow, now);
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

    /// Time to keep for the run of a request that has `left` until its deadline:
    /// what nine of ten tasks take, but no more than half of what is left unless
    /// a usual task takes longer.
    fn reserve(&self, left: Duration) -> Duration {
        let usual = self.runtime.quantile(0.5).unwrap_or_default();
        let most = self.runtime.quantile(0.9).unwrap_or_default();
        most.min(usual.max(left / 2))
    }

    /// Sends a demand again, at once or after a backoff, if the budget allows it.
    fn again(&mut self, waiting: Waiting, outcome: Outcome, now: Duration) {
        let earlier = waiting.demand.tried_agents.len().saturating_sub(1);
        let tried = Try {
            outcome,
            // The caller's side asks again only where that does no harm.
            idempotent: true,
            earlier: u32::try_from(earlier).unwrap_or(u32::MAX),
            left: waiting.deadline.saturating_sub(now),
            run: self.runtime.quantile(0.5).unwrap_or_default(),
        };
        match tried.again(&mut self.budget, &mut self.rng) {
            Some(Duration::ZERO) => self.push(waiting, now),
            Some(backoff) => self.postpone(waiting, backoff, now),
            None if outcome == Outcome::NotRun && tried.left > tried.run + BUDGET_WAIT => {
                self.postpone(waiting, BUDGET_WAIT, now);
            }
            None => self.refuse(waiting, Reason::RetryBudgetSpent, NO_UPSTREAM_WAIT),
        }
    }

    fn postpone(&mut self, waiting: Waiting, wait: Duration, now: Duration) {
        self.later.insert((now + wait, waiting.number), waiting);
    }

    fn resume(&mut self, now: Duration) {
        while let Some(first) = self.later.first_entry() {
            if first.key().0 > now {
                return;
            }
            let waiting = first.remove();
            self.push(waiting, now);
        }
    }

    fn pop(&mut self, quotas: &Ledger, now: Duration) -> Option<(Waiting, Index)> {
        let view = &mut self.view;
        let rng = &mut self.rng;
        let mut chosen = None;
        let fits = |entry: &Entry<Waiting>| {
            if quotas.check(&entry.team, now).is_err() {
                return false;
            }
            chosen = choose(view, &entry.item.demand, now, rng);
            chosen.is_some()
        };
        let entry = self.queue.pop(now, fits)?;
        Some((entry.item, chosen?))
    }

    fn start(
        &mut self,
        waiting: Waiting,
        index: Index,
        view: id::View,
        quotas: &mut Ledger,
        now: Duration,
    ) {
        self.tickets.remove(&waiting.number);
        let Some(upstream) = self.view.get(index) else {
            return;
        };
        let agent = upstream.node().clone();
        let place = Place {
            number: waiting.number,
            incarnation: upstream.incarnation(),
            address: self.addresses.get(&agent).cloned().unwrap_or_default(),
            agent,
            view,
        };
        let retried = waiting.demand.retry_of.is_some();
        if waiting.sender.send(Verdict::Start(place)).is_err() {
            self.counts.cancelled.add();
            return;
        }
        self.counts.placed.add();
        if retried {
            self.counts.retried.add();
        }
        self.view.start(index, now);
        let team = waiting.demand.team;
        quotas.take(&team, now).expect("it was checked before");
        self.placed.insert(waiting.number, Placed { index, team });
    }

    fn refuse(&mut self, waiting: Waiting, reason: Reason, wait: Duration) {
        self.tickets.remove(&waiting.number);
        self.counts.refused.add();
        let retry_after = Some(after(wait, &mut self.rng));
        let refusal = Refusal {
            reason,
            retry_after,
        };
        // A caller that no longer waits needs no verdict.
        let _ = waiting.sender.send(Verdict::Refuse(refusal));
    }

    fn may_run(&self, demand: &PlaceRequest) -> bool {
        let serves = |node: &id::Node| {
            let index = self.view.find(node);
            let upstream = index.and_then(|index| self.view.get(index));
            upstream.is_some_and(|upstream| upstream.takes_work())
        };
        match demand.candidates.is_empty() {
            true => self.is_served(),
            false => demand.candidates.iter().any(serves),
        }
    }

    /// Tells the queue how fast it would drain if all requests in flight were
    /// of the usual length.
    fn estimate(&mut self) {
        if let Some(mean) = self.runtime.mean() {
            let in_flight = self.placed.len().max(1) as f64;
            let drain = self.queue.drain();
            drain.set_estimate(in_flight / mean.as_secs_f64().max(1e-3));
        }
    }

    fn ending(&self, report: &Report) -> Option<Ending> {
        match (report.outcome, report.run) {
            (Outcome::Done, Some(run)) => Some(Ending::Good {
                run,
                expected: self.runtime.quantile(0.5),
            }),
            (Outcome::Done, None) => None,
            (Outcome::Failed | Outcome::Unknown, _) => Some(Ending::Bad),
            (Outcome::NotRun, _) => is_unable(report.reason).then_some(Ending::Refused),
        }
    }

    fn judge(&mut self, node: &id::Node, ending: Ending, now: Duration) {
        let changed = self.detector.observe(node, ending, now, &mut self.rng);
        let Some(standing) = changed else {
            return;
        };
        if standing == Standing::Ejected {
            self.counts.ejected.add();
        }
        self.stand(node, standing, now);
    }

    fn readmit(&mut self, now: Duration) {
        while let Some(agent) = self.detector.readmit(now) {
            self.counts.readmitted.add();
            self.stand(&agent, Standing::Trial, now);
        }
    }

    fn stand(&mut self, agent: &id::Node, standing: Standing, now: Duration) {
        log::info!("upstream beside {agent} is {standing}");
        if let Some(index) = self.view.find(agent) {
            self.view.set_standing(index, standing, now);
        }
    }

    fn learn(&mut self, run: Duration) {
        self.runtime.observe(run);
        if self.runtime.count().is_multiple_of(SETTLE_PERIOD) {
            if let Some(mean) = self.runtime.mean() {
                self.view.set_settle(mean);
            }
        }
    }
}

/// Whether a refusal speaks against the agent. Others follow from its load, from
/// the task or from the entry's view, and healthy agents give them too.
fn is_unable(reason: agent::Reason) -> bool {
    matches!(reason, agent::Reason::NoLease | agent::Reason::NoUpstream)
}

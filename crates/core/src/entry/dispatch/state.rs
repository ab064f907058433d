//! What the dispatch thread knows: the lease, and each service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::limit::quota::{Ask, Ledger, Loan};
use gentian::wire::id;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::members;
use super::service::{Service, Waiting};
use super::{Counts, PlaceRequest, Reason, Refusal, Report, TeamLoan, Verdict};
use crate::renew::Held;

/// Longest time without a look at what waits and what is ejected.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// The same while something waits: loads that were told grow old.
const OCCUPIED_PAUSE: Duration = Duration::from_millis(5);

const SHORTEST_PAUSE: Duration = Duration::from_millis(1);
const RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Debug)]
pub(super) struct State {
    node: id::Node,
    data_center: id::DataCenter,
    origin: Instant,
    held: Arc<Held>,
    services: BTreeMap<id::Service, Service>,
    quotas: Ledger,
    counts: Arc<Counts>,
}

impl State {
    pub(super) fn new(node: &id::Node, data_center: &id::DataCenter, counts: Arc<Counts>) -> State {
        State {
            node: node.clone(),
            data_center: data_center.clone(),
            origin: Instant::now(),
            held: Arc::default(),
            services: BTreeMap::new(),
            quotas: Ledger::default(),
            counts,
        }
    }

    pub(super) fn demand(
        &mut self,
        number: u64,
        demand: PlaceRequest,
        sender: oneshot::Sender<Verdict>,
        now: Instant,
    ) {
        if !self.held.in_force(now) {
            return refuse(sender, Reason::NoLease);
        }
        let view = id::View(self.held.view);
        let deadline = self.since(demand.deadline);
        let now = self.since(now);
        let Some(service) = self.services.get_mut(&demand.service) else {
            return refuse(sender, Reason::NoUpstream);
        };
        let first = !service.is_occupied();
        let waiting = Waiting {
            number,
            demand,
            deadline,
            sender,
        };
        service.demand(waiting, now);
        if first {
            service.place(view, &mut self.quotas, now);
        }
    }

    pub(super) fn cancel(&mut self, number: u64, now: Instant) {
        let now = self.since(now);
        for service in self.services.values_mut() {
            service.cancel(number, &mut self.quotas, now);
        }
    }

    pub(super) fn report(&mut self, report: &Report, now: Instant) {
        let now = self.since(now);
        if let Some(service) = self.services.get_mut(&report.service) {
            service.report(report, &mut self.quotas, now);
        }
    }

    /// Takes over the view and the configuration that are in force.
    pub(super) fn hold(&mut self, held: Arc<Held>, now: Instant) {
        let same = held.view == self.held.view && held.version == self.held.version;
        self.held = held;
        if same {
            return;
        }
        self.adopt(self.since(now));
    }

    /// Gives places to those that wait, and gives up those it must.
    pub(super) fn place(&mut self, now: Instant) {
        let in_force = self.held.in_force(now);
        let view = id::View(self.held.view);
        let now = self.since(now);
        for service in self.services.values_mut() {
            match in_force {
                true => service.place(view, &mut self.quotas, now),
                false => service.refuse_all(Reason::NoLease),
            }
        }
    }

    /// What to ask control for each team that has a quota.
    pub(super) fn asks(&mut self, now: Instant) -> Vec<(id::Team, Ask)> {
        let now = self.since(now);
        let teams: Vec<id::Team> = self.quotas.teams().cloned().collect();
        let mut asks = Vec::with_capacity(teams.len());
        for team in teams {
            let waiting = self.services.values().map(|service| service.waiting(&team));
            let waiting = u32::try_from(waiting.sum::<usize>()).unwrap_or(u32::MAX);
            if let Some(ask) = self.quotas.ask(&team, waiting, now) {
                asks.push((team, ask));
            }
        }
        asks
    }

    /// Takes over what control lent.
    pub(super) fn lend(&mut self, lent: &[TeamLoan]) {
        for lent in lent {
            let loan = Loan {
                amount: lent.amount,
                until: self.since(lent.until),
            };
            self.quotas.lend(&lent.team, loan);
        }
    }

    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How long nothing has to be done without a further event.
    pub(super) fn pause(&self, now: Instant) -> Duration {
        let occupied = self.services.values().any(Service::is_occupied);
        let longest = if occupied { OCCUPIED_PAUSE } else { IDLE_PAUSE };
        let now = self.since(now);
        let next = self.services.values().filter_map(Service::next).min();
        let until = next.map_or(longest, |next| next.saturating_sub(now));
        until.clamp(SHORTEST_PAUSE, longest)
    }

    fn adopt(&mut self, now: Duration) {
        let document = self.held.document.clone();
        let teams: Vec<id::Team> = document.teams.keys().cloned().collect();
        self.quotas.set_teams(&teams);
        let offered = members::services(&self.held.members, &document);
        for name in offered.keys() {
            if !self.services.contains_key(name) {
                let service = self.service();
                self.services.insert(name.clone(), service);
            }
        }
        let none = BTreeMap::new();
        for (name, service) in &mut self.services {
            let settings = document.services.get(name).cloned();
            service.configure(&settings.unwrap_or_default(), &document.limits);
            service.adopt(offered.get(name).unwrap_or(&none), now);
            if !service.is_served() {
                service.refuse_all(Reason::NoUpstream);
            }
        }
    }

    fn service(&self) -> Service {
        let rng = Pcg64Mcg::seed_from_u64(rand::random());
        Service::new(&self.node, &self.data_center, self.counts.clone(), rng)
    }

    fn since(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.origin)
    }
}

fn refuse(sender: oneshot::Sender<Verdict>, reason: Reason) {
    let refusal = Refusal {
        reason,
        retry_after: Some(RETRY_AFTER),
    };
    // A caller that no longer waits needs no verdict.
    let _ = sender.send(Verdict::Refuse(refusal));
}

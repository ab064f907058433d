//! State of the dispatcher's thread: the lease, the teams' quotas and each service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gentian::limit::quota::{Loan, LoanRequest, TeamQuotas};
use gentian::wire::id;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::sync::oneshot;

use super::members;
use super::service::{PendingRequest, Service};
use super::{Counts, PlaceRequest, Reason, Refusal, Report, TeamLoan, Verdict};
use crate::clock;
use crate::renew::LeaseState;

/// Longest time between two passes over the services while no request waits. Each pass
/// also puts upstreams on trial whose ejection has ended.
const IDLE_PAUSE: Duration = Duration::from_millis(100);

/// Longest time between two passes while requests wait: slots may count as free without
/// any event, since the estimate of free slots changes as the reported loads age.
const OCCUPIED_PAUSE: Duration = Duration::from_millis(5);

const SHORTEST_PAUSE: Duration = Duration::from_millis(1);
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// All state of the dispatcher's thread.
#[derive(Debug)]
pub(super) struct State {
    node: id::Node,
    data_center: id::DataCenter,
    /// Zero of the times that are passed to [`Service`].
    origin: Instant,
    held: Arc<LeaseState>,
    services: BTreeMap<id::Service, Service>,
    quotas: TeamQuotas,
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
            quotas: TeamQuotas::default(),
            counts,
        }
    }

    /// Adds a request to its service, or refuses it if there is no lease or no such
    /// service.
    pub(super) fn request_place(
        &mut self,
        number: u64,
        request: PlaceRequest,
        sender: oneshot::Sender<Verdict>,
        now: Instant,
    ) {
        if !self.held.in_force(clock::now()) {
            return refuse(sender, Reason::NoLease);
        }
        let view = id::View(self.held.view);
        let deadline = self.since_origin(request.deadline);
        let now = self.since_origin(now);
        let Some(service) = self.services.get_mut(&request.service) else {
            return refuse(sender, Reason::NoUpstream);
        };
        let first = !service.has_waiting();
        let pending = PendingRequest {
            number,
            request,
            deadline,
            sender,
        };
        service.add(pending, now);
        if first {
            service.place(view, &mut self.quotas, now);
        }
    }

    pub(super) fn cancel(&mut self, number: u64, now: Instant) {
        let now = self.since_origin(now);
        for service in self.services.values_mut() {
            service.cancel(number, &mut self.quotas, now);
        }
    }

    pub(super) fn report(&mut self, report: &Report, now: Instant) {
        let now = self.since_origin(now);
        if let Some(service) = self.services.get_mut(&report.service) {
            service.report(report, &mut self.quotas, now);
        }
    }

    /// Updates the lease, and the services if the view or the configuration has
    /// changed.
    pub(super) fn set_lease(&mut self, held: Arc<LeaseState>, now: Instant) {
        let same = held.view == self.held.view && held.version == self.held.version;
        self.held = held;
        if same {
            return;
        }
        self.update_services(self.since_origin(now));
    }

    /// Gives places to waiting requests, and refuses those that can't be served in time.
    /// Without a lease, all of them are refused.
    pub(super) fn place(&mut self, now: Instant) {
        let in_force = self.held.in_force(clock::now());
        let view = id::View(self.held.view);
        let now = self.since_origin(now);
        for service in self.services.values_mut() {
            match in_force {
                true => service.place(view, &mut self.quotas, now),
                false => service.refuse_all(Reason::NoLease),
            }
        }
    }

    /// The loan to request from control for each team that has a quota.
    pub(super) fn loan_requests(&mut self, now: Instant) -> Vec<(id::Team, LoanRequest)> {
        let now = self.since_origin(now);
        let teams: Vec<id::Team> = self.quotas.teams().cloned().collect();
        let mut requests = Vec::with_capacity(teams.len());
        for team in teams {
            let waiting = self
                .services
                .values()
                .map(|service| service.waiting_of(&team));
            let waiting = u32::try_from(waiting.sum::<usize>()).unwrap_or(u32::MAX);
            if let Some(request) = self.quotas.loan_request(&team, waiting, now) {
                requests.push((team, request));
            }
        }
        requests
    }

    /// Updates the loans that control has granted.
    pub(super) fn set_loans(&mut self, loans: &[TeamLoan]) {
        for granted in loans {
            let loan = Loan {
                amount: granted.amount,
                until: self.since_origin(granted.until),
            };
            self.quotas.lend(&granted.team, loan);
        }
    }

    pub(super) fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How long the thread may wait for the next event.
    pub(super) fn pause(&self, now: Instant) -> Duration {
        let occupied = self.services.values().any(Service::has_waiting);
        let longest = if occupied { OCCUPIED_PAUSE } else { IDLE_PAUSE };
        let now = self.since_origin(now);
        let next = self.services.values().filter_map(Service::next_wake).min();
        let until = next.map_or(longest, |next| next.saturating_sub(now));
        until.clamp(SHORTEST_PAUSE, longest)
    }

    fn update_services(&mut self, now: Duration) {
        let document = self.held.document.clone();
        let teams: Vec<id::Team> = document.teams.keys().cloned().collect();
        self.quotas.set_teams(&teams);
        let upstreams = members::upstreams_by_service(&self.held.members, &document);
        for name in upstreams.keys() {
            if !self.services.contains_key(name) {
                let service = self.new_service();
                self.services.insert(name.clone(), service);
            }
        }
        let none = BTreeMap::new();
        for (name, service) in &mut self.services {
            let settings = document.services.get(name).cloned();
            service.configure(&settings.unwrap_or_default(), &document.limits);
            service.update_upstreams(upstreams.get(name).unwrap_or(&none), now);
            if !service.has_upstream() {
                service.refuse_all(Reason::NoUpstream);
            }
        }
    }

    fn new_service(&self) -> Service {
        let rng = Pcg64Mcg::seed_from_u64(rand::random());
        Service::new(&self.node, &self.data_center, self.counts.clone(), rng)
    }

    fn since_origin(&self, instant: Instant) -> Duration {
        instant.saturating_duration_since(self.origin)
    }
}

fn refuse(sender: oneshot::Sender<Verdict>, reason: Reason) {
    let refusal = Refusal {
        reason,
        retry_after: Some(RETRY_AFTER),
    };
    // Fails if the caller no longer waits.
    let _ = sender.send(Verdict::Refuse(refusal));
}

//! What load to make.

use std::time::Duration;

use gentian_wire::id;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;

use super::Mixture;
use crate::client::Base;

/// A load to make.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    entries: Vec<Base>,
    metrics: Vec<Base>,
    service: id::Service,
    team: id::Team,
    rate: PerSecond,
    warmup: Duration,
    duration: Duration,
    seed: u64,
    mixture: Mixture,
    network: Duration,
    deadline: Duration,
    idempotent: bool,
    tasks: usize,
    body: Bytes,
    command: String,
}

/// Settings of a load, each with a default.
#[derive(Clone, Debug)]
pub(crate) struct Builder {
    plan: Plan,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $field:ident: $type:ty,)*) => {$(
        $(#[$doc])*
        pub(crate) fn $field(mut self, $field: $type) -> Builder {
            self.plan.$field = $field;
            self
        }
    )*};
}

impl Builder {
    /// A load on the given entries, of tasks that run as `mixture` says.
    pub(crate) fn new(entries: Vec<Base>, service: id::Service, mixture: Mixture) -> Builder {
        let plan = Plan {
            metrics: entries.clone(),
            entries,
            service,
            team: "load".parse().expect("a valid name"),
            rate: PerSecond::try_from(10.0).expect("a valid rate"),
            warmup: Duration::ZERO,
            duration: Duration::from_secs(10),
            seed: 1,
            mixture,
            network: Duration::ZERO,
            deadline: Duration::from_secs(10),
            idempotent: false,
            tasks: 0,
            body: Bytes(256),
            command: String::new(),
        };
        Builder { plan }
    }

    setters! {
        /// Team that the requests are of.
        team: id::Team,
        /// Mean number of requests a second.
        rate: PerSecond,
        /// Time at the start whose requests are sent but not counted.
        warmup: Duration,
        /// Time after the warm-up whose requests are counted.
        duration: Duration,
        /// Fixes arrivals and run times.
        seed: u64,
        /// Round trip that no answer can do without, a part of the ideal time.
        network: Duration,
        /// Deadline of each request.
        deadline: Duration,
        /// Whether requests may run more than once.
        idempotent: bool,
        /// Tasks of each job; 0 for single requests.
        tasks: usize,
        /// Length of each single request's body, at least what the run time and number need.
        body: Bytes,
        /// Command that repeats the load.
        command: String,
    }

    /// Counts messages at these addresses too, beside the entries.
    pub(crate) fn metrics(mut self, more: Vec<Base>) -> Builder {
        self.plan.metrics.extend(more);
        self.plan.metrics.sort_unstable();
        self.plan.metrics.dedup();
        self
    }

    /// The plan.
    pub(crate) fn build(self) -> Plan {
        self.plan
    }
}

macro_rules! getters {
    ($($field:ident: $type:ty,)*) => {$(
        pub(super) fn $field(&self) -> $type {
            self.$field
        }
    )*};
}

impl Plan {
    getters! {
        rate: PerSecond,
        warmup: Duration,
        duration: Duration,
        seed: u64,
        mixture: Mixture,
        network: Duration,
        deadline: Duration,
        idempotent: bool,
        tasks: usize,
        body: Bytes,
    }

    /// The entry that the request of this number goes to.
    pub(super) fn entry(&self, number: u64) -> &Base {
        &self.entries[number as usize % self.entries.len()]
    }

    pub(super) fn metrics(&self) -> &[Base] {
        &self.metrics
    }

    pub(super) fn service(&self) -> &id::Service {
        &self.service
    }

    pub(super) fn team(&self) -> &id::Team {
        &self.team
    }

    pub(super) fn command(&self) -> &str {
        &self.command
    }
}

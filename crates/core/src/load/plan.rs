//! Parameters of a load.

use std::time::Duration;

use gentian_wire::id;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;

use super::RunTimes;
use crate::client::BaseUrl;

/// Parameters of a load.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    entries: Vec<BaseUrl>,
    metrics_sources: Vec<BaseUrl>,
    service: id::Service,
    team: id::Team,
    rate: PerSecond,
    warmup: Duration,
    duration: Duration,
    seed: u64,
    run_times: RunTimes,
    network: Duration,
    deadline: Duration,
    idempotent: bool,
    tasks: usize,
    body: Bytes,
    command: String,
}

/// Builds a [`Plan`]; parameters that are not set have defaults.
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
    /// Starts from a load against `entries` with the given run times of tasks.
    pub(crate) fn new(entries: Vec<BaseUrl>, service: id::Service, run_times: RunTimes) -> Builder {
        let plan = Plan {
            metrics_sources: entries.clone(),
            entries,
            service,
            team: "load".parse().expect("a valid name"),
            rate: PerSecond::try_from(10.0).expect("a valid rate"),
            warmup: Duration::ZERO,
            duration: Duration::from_secs(10),
            seed: 1,
            run_times,
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
        /// Team that the requests are from.
        team: id::Team,
        /// Mean number of requests per second.
        rate: PerSecond,
        /// Duration of the warm-up, whose requests are sent but not counted.
        warmup: Duration,
        /// Duration of the measurement after the warm-up.
        duration: Duration,
        /// Seed of arrival times and run times.
        seed: u64,
        /// Network round-trip time to include in the ideal latency.
        network: Duration,
        /// Deadline of each request.
        deadline: Duration,
        /// Whether requests may run more than once.
        idempotent: bool,
        /// Number of tasks of each job; 0 to send single requests.
        tasks: usize,
        /// Size of the body of each single request. The body is larger if its fields
        /// need more.
        body: Bytes,
        /// Command line that repeats the load, for the summary.
        command: String,
    }

    /// Reads message counters from these addresses, too, besides the entries.
    pub(crate) fn metrics_sources(mut self, more: Vec<BaseUrl>) -> Builder {
        self.plan.metrics_sources.extend(more);
        self.plan.metrics_sources.sort_unstable();
        self.plan.metrics_sources.dedup();
        self
    }

    /// Returns the plan.
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
        run_times: RunTimes,
        network: Duration,
        deadline: Duration,
        idempotent: bool,
        tasks: usize,
        body: Bytes,
    }

    /// The entry to send the request of this index to; entries are used in turn.
    pub(super) fn entry(&self, index: u64) -> &BaseUrl {
        &self.entries[index as usize % self.entries.len()]
    }

    pub(super) fn metrics_sources(&self) -> &[BaseUrl] {
        &self.metrics_sources
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

//! The configuration document, as operators write it in JSON.
//!
//! Each field has a default and unknown fields are refused, so that a misspelt
//! name is an error instead of a setting without effect.

mod check;
mod queue;
mod read;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

use gentian_wire::id;
use gentian_wire::rate::PerSecond;
use gentian_wire::size::Bytes;
use serde::{Deserialize, Serialize};

pub use queue::{Queue, Release};

/// Largest document, as canonical JSON.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// A result whose error lists everything that is wrong with a document.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// One thing that is wrong with a document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Path of the field, such as `services.dashboard.candidates`.
    pub path: String,
    /// The value as it was given, as JSON.
    pub value: String,
    /// What is allowed instead.
    pub allowed: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Problem {
            path,
            value,
            allowed,
        } = self;
        write!(f, "{path}: {value} is not allowed: {allowed}")
    }
}

/// The whole configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Services that upstreams serve, by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams that callers belong to, by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Which upstreams may take work.
    pub upstreams: Upstreams,
    /// Limits of every entry and agent.
    pub limits: Limits,
    /// Queues for jobs, under keys of any kind.
    pub queues: BTreeMap<String, Queue>,
    /// What the services and queues were last taken from, where that came whole.
    pub release: Option<Release>,
}

impl Document {
    /// The queue of a request: the one with the longest prefix that fits.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.queues.values();
        let fitting = queues.filter(|queue| queue.matches(host, path));
        fitting.max_by_key(|queue| queue.prefix.len())
    }
}

/// One service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Path at the upstream under which its tasks are posted.
    pub path: String,
    /// Largest body of a request.
    pub max_body: Bytes,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u32,
    /// Number of agents among which a task's start is chosen.
    pub candidates: u32,
    /// Weight of response time, 0 to 1; the rest is that of wasted messages.
    pub response_weight: f64,
    /// Retries allowed per request, as a fraction.
    pub retry_budget: f64,
    /// Whether a slow idempotent request may be sent to a second upstream.
    pub hedge: bool,
    /// Service-level objectives.
    pub objectives: Objectives,
}

impl Service {
    /// Deadline of a request that names none.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms.into())
    }
}

impl Default for Service {
    fn default() -> Service {
        Service {
            path: "/".to_owned(),
            max_body: Bytes(1 << 20),
            deadline_ms: 2_000,
            candidates: 3,
            response_weight: 0.5,
            retry_budget: 0.1,
            hedge: false,
            objectives: Objectives::default(),
        }
    }
}

/// Objectives that the report on service-level burn is measured against.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// Fraction of requests that are answered `done`.
    pub availability: f64,
    /// Fraction of `done` requests that are answered within `latency_ms`.
    pub latency: f64,
    /// Latency threshold, in milliseconds.
    pub latency_ms: u32,
}

impl Default for Objectives {
    fn default() -> Objectives {
        Objectives {
            availability: 0.999,
            latency: 0.99,
            latency_ms: 1_000,
        }
    }
}

/// One team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Requests and tasks of the team that may run at once, over all entries.
    pub concurrent: u32,
    /// Requests and tasks of the team admitted per second, over all entries.
    pub rate: PerSecond,
    /// Services the team may call; empty means all.
    pub services: BTreeSet<id::Service>,
}

impl Default for Team {
    fn default() -> Team {
        Team {
            concurrent: 1_000,
            rate: PerSecond::try_from(1_000.0).unwrap_or_default(),
            services: BTreeSet::new(),
        }
    }
}

/// Which upstreams may take work: those allowed and not denied.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstreams {
    /// An empty selector allows all.
    pub allow: Selector,
    /// Goes before `allow`.
    pub deny: Selector,
}

impl Upstreams {
    /// Whether the upstream beside the given agent may take work.
    pub fn admits(&self, node: &id::Node, place: &id::DataCenter, rack: &id::Rack) -> bool {
        let allowed = self.allow.is_empty() || self.allow.matches(node, place, rack);
        allowed && !self.deny.matches(node, place, rack)
    }
}

/// Selects agents by any one of their name, data centre or rack.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Selector {
    /// Names of agents.
    pub nodes: BTreeSet<id::Node>,
    /// Data centres.
    pub data_centers: BTreeSet<id::DataCenter>,
    /// Racks.
    pub racks: BTreeSet<id::Rack>,
}

impl Selector {
    fn is_empty(&self) -> bool {
        self.nodes.is_empty() && self.data_centers.is_empty() && self.racks.is_empty()
    }

    fn matches(&self, node: &id::Node, place: &id::DataCenter, rack: &id::Rack) -> bool {
        self.nodes.contains(node) || self.data_centers.contains(place) || self.racks.contains(rack)
    }
}

/// Limits of every entry and agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Requests that wait at one entry.
    pub queue: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { queue: 1_024 }
    }
}

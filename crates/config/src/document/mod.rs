//! The configuration document, as operators write it in JSON.
//!
//! Every field has a default. Unknown fields are refused, so that a misspelt
//! name is an error rather than a setting without effect.

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

/// Maximum size of a document, serialized as compact JSON.
pub const MAX_DOCUMENT_BYTES: usize = 1024 * 1024;

/// The result of reading a document; the error lists every problem found.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// An invalid field of a document or patch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Problem {
    /// Path of the field, such as `services.dashboard.candidates`.
    pub path: String,
    /// The invalid value, or a description of it.
    pub value: String,
    /// Which values are allowed, or why the value could not be read.
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

/// The complete configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// Services that upstreams serve, by name.
    pub services: BTreeMap<id::Service, Service>,
    /// Teams that callers belong to, by name.
    pub teams: BTreeMap<id::Team, Team>,
    /// Which upstreams may be given work.
    pub upstreams: Upstreams,
    /// Limits that apply to each entry.
    pub limits: Limits,
    /// Queues for jobs, under arbitrary keys.
    pub queues: BTreeMap<String, Queue>,
    /// The complete configuration that last replaced the services and queues, if
    /// they were set that way rather than by patches.
    pub release: Option<Release>,
}

impl Document {
    /// Returns the queue for a request: the one with the longest matching prefix.
    pub fn queue_for(&self, host: &str, path: &str) -> Option<&Queue> {
        let queues = self.queues.values();
        let matching = queues.filter(|queue| queue.matches(host, path));
        matching.max_by_key(|queue| queue.prefix.len())
    }
}

/// Settings of one service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Service {
    /// Path at the upstream to which tasks are posted.
    pub path: String,
    /// Maximum size of a request body.
    pub max_body: Bytes,
    /// Default deadline of a request, in milliseconds.
    pub deadline_ms: u32,
    /// Number of candidate agents considered when placing a task.
    pub candidates: u32,
    /// Weight of response time when choosing an agent, from 0 to 1. The remaining
    /// weight is that of wasted messages.
    pub response_weight: f64,
    /// Maximum ratio of retries to requests, from 0 to 1.
    pub retry_budget: f64,
    /// Whether a slow idempotent request may be sent to a second upstream.
    pub hedge: bool,
    /// Service-level objectives.
    pub objectives: Objectives,
}

impl Service {
    /// Returns the default deadline of a request.
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

/// Service-level objectives, against which the error budget burn is reported.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Objectives {
    /// Target fraction of requests that are answered `done`.
    pub availability: f64,
    /// Target fraction of `done` requests that are answered within `latency_ms`.
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

/// Quota and permissions of one team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Team {
    /// Maximum number of concurrent requests and tasks, across all entries.
    pub concurrent: u32,
    /// Maximum rate of admitted requests and tasks, across all entries.
    pub rate: PerSecond,
    /// Services that the team may call; all if empty.
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

/// Which upstreams may be given work: those allowed, neither denied nor drained.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Upstreams {
    /// Upstreams to allow; all if empty.
    pub allow: Selector,
    /// Upstreams to deny; takes precedence over `allow`.
    pub deny: Selector,
    /// Data centres that operators have drained; takes precedence over `allow`.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub drained: BTreeSet<id::DataCenter>,
}

impl Upstreams {
    /// Whether the upstream of the given agent may be given work.
    pub fn admits(&self, node: &id::Node, data_center: &id::DataCenter, rack: &id::Rack) -> bool {
        let allowed = self.allow.is_empty() || self.allow.matches(node, data_center, rack);
        let denied = self.deny.matches(node, data_center, rack);
        allowed && !denied && !self.drained.contains(data_center)
    }
}

/// Selects the agents that match any of the given names, data centres or racks.
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

    fn matches(&self, node: &id::Node, data_center: &id::DataCenter, rack: &id::Rack) -> bool {
        self.nodes.contains(node)
            || self.data_centers.contains(data_center)
            || self.racks.contains(rack)
    }
}

/// Limits that apply to each entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of requests of one service that wait at one entry.
    pub queue: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { queue: 1_024 }
    }
}

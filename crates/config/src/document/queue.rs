//! Queues: where callers hand jobs in, and how the jobs are treated.

use gentian_wire::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// One queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// The queue's name.
    pub name: String,
    /// Host that callers name.
    pub host: String,
    /// Begin of the paths that belong to the queue.
    pub prefix: String,
    /// Service whose upstreams run the tasks.
    pub service: Option<id::Service>,
    /// Jobs of a lower number go first.
    pub priority: u32,
    /// Runs of one task after which the job has failed.
    pub attempts: u32,
    /// How many times its longest chain of work a job may take.
    pub stretch: f64,
    /// What a job may take beyond that, in milliseconds.
    pub target_ms: u32,
    /// Longest time that a job may take, in milliseconds.
    pub timeout_ms: u32,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            name: String::new(),
            host: String::new(),
            prefix: "/".to_owned(),
            service: None,
            priority: 0,
            attempts: 1,
            stretch: 1.0,
            target_ms: 1_000,
            timeout_ms: 10_000,
        }
    }
}

impl Queue {
    /// What a job may take beyond the stretch of its work.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }

    /// Longest time that a job may take.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// Whether a request for `path` at `host` belongs to the queue.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&self.prefix)
    }
}

/// A configuration that an operator hands in as a whole, under a number of its own.
///
/// It is kept as it was sent, so that it reads back as it was sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Release {
    /// The operator's number; a release takes the place of those with a lower one.
    pub number: u64,
    /// What was sent.
    pub body: String,
}

//! Queues, to which callers submit jobs, and the scheduling settings of their
//! jobs.

use gentian_wire::id;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Address and scheduling settings of one queue.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name in the requests that belong to the queue.
    pub host: String,
    /// Path prefix of the requests that belong to the queue.
    pub prefix: String,
    /// Service whose upstreams run the tasks.
    pub service: Option<id::Service>,
    /// Priority of the jobs; lower numbers go first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Multiple of a job's longest chain of dependent work that the job may take.
    pub stretch: f64,
    /// Time that a job may take in addition to `stretch`, in milliseconds.
    pub target_ms: u32,
    /// Time limit of a job, in milliseconds.
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
    /// Returns the time that a job may take in addition to the stretched length
    /// of its work.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms.into())
    }

    /// Returns the time limit of a job.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.into())
    }

    /// Whether a request for `path` at `host` belongs to the queue.
    pub fn matches(&self, host: &str, path: &str) -> bool {
        self.host.eq_ignore_ascii_case(host) && path.starts_with(&self.prefix)
    }
}

/// A complete configuration, which the operator numbers independently of the
/// versions.
///
/// It is stored verbatim, so that it can be returned exactly as it was sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Release {
    /// The operator's number; a release replaces those with a lower one.
    pub number: u64,
    /// Text of the configuration as sent.
    pub body: String,
}

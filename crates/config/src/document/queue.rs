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
    /// Priority of the jobs; jobs with lower numbers go first.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// Factor by which a job may take longer than its critical path, the longest
    /// chain of dependent tasks.
    pub stretch: f64,
    /// Time that a job may take in addition to its critical path times `stretch`, in
    /// milliseconds.
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
    /// Returns the time that a job may take in addition to its critical path times
    /// `stretch`.
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

/// A complete configuration as sent by an operator, who numbers releases
/// independently of the document's versions.
///
/// The text is stored verbatim, so that it can be returned exactly as it was sent.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Release {
    /// The operator's number; a release replaces releases with a lower number.
    pub number: u64,
    /// Text of the configuration as sent.
    pub body: String,
}

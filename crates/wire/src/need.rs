//! The resources that tasks need and upstreams have, and the placement constraints of
//! tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::agent;

/// An amount of resources: the demand of one or more tasks, or the capacity of an
/// upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Need {
    /// CPU, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MiB.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Need {
    /// Whether every resource of this demand fits into `available`.
    pub fn fits(self, available: Need) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accelerators <= available.accelerators
    }

    /// The sum of both, saturating at the maximum.
    #[must_use]
    pub fn plus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// The difference of both, saturating at 0.
    #[must_use]
    pub fn minus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The dominant share: the largest fraction of a resource of `capacity` that this
    /// demand uses. It is between 0 and 1 if the demand fits.
    pub fn share_of(self, capacity: Need) -> f64 {
        let share = |demand: u32, capacity: u32| match demand {
            0 => 0.0,
            demand => f64::from(demand) / f64::from(capacity.max(1)),
        };
        share(self.cpu, capacity.cpu)
            .max(share(self.memory, capacity.memory))
            .max(share(self.accelerators, capacity.accelerators))
    }
}

/// Placement constraints of a task, besides the resources that it needs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Constraints {
    /// A label that the upstream must have.
    pub required_label: Option<String>,
    /// A label that the upstream should have, because the task's data is there.
    pub preferred_label: Option<String>,
    /// Maximum number of tasks of one step that may run on one upstream at once.
    pub max_per_upstream: Option<u32>,
}

impl Constraints {
    /// Whether an upstream with enough free resources may still be unsuitable.
    pub fn is_restrictive(&self) -> bool {
        self.required_label.is_some() || self.max_per_upstream.is_some()
    }
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Need {
            cpu,
            memory,
            accelerators,
        } = self;
        write!(f, "{cpu}m cpu, {memory} MiB")?;
        match accelerators {
            0 => Ok(()),
            count => write!(f, ", {count} accelerators"),
        }
    }
}

impl From<agent::Need> for Need {
    fn from(message: agent::Need) -> Need {
        Need {
            cpu: message.cpu,
            memory: message.memory,
            accelerators: message.accelerators,
        }
    }
}

impl From<Need> for agent::Need {
    fn from(need: Need) -> agent::Need {
        agent::Need {
            cpu: need.cpu,
            memory: need.memory,
            accelerators: need.accelerators,
        }
    }
}

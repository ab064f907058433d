//! What a task takes of an upstream, and what an upstream has.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::agent;

/// Processor, memory and accelerators: of one task, of several, or of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Need {
    /// Processor, in thousandths of a core.
    pub cpu: u32,
    /// Memory, in MiB.
    pub memory: u32,
    /// Accelerators.
    pub accelerators: u32,
}

impl Need {
    /// Whether this fits into `room` as a whole.
    pub fn fits(self, room: Need) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accelerators <= room.accelerators
    }

    /// Both together.
    #[must_use]
    pub fn plus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// What is left of this without `other`; nothing where that is more.
    #[must_use]
    pub fn minus(self, other: Need) -> Need {
        Need {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The largest share that this takes of any part of `whole`, 0 to 1 where it fits.
    pub fn share_of(self, whole: Need) -> f64 {
        let share = |part: u32, whole: u32| match part {
            0 => 0.0,
            part => f64::from(part) / f64::from(whole.max(1)),
        };
        share(self.cpu, whole.cpu)
            .max(share(self.memory, whole.memory))
            .max(share(self.accelerators, whole.accelerators))
    }
}

/// What a task asks of its upstream beside room.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Wish {
    /// Label that the upstream must have.
    pub label: Option<String>,
    /// Label that the upstream had better have, as its data is there.
    pub near: Option<String>,
    /// How many tasks of one step may be at one upstream at once.
    pub most: Option<u32>,
}

impl Wish {
    /// Whether only some of the upstreams with room will do.
    pub fn is_picky(&self) -> bool {
        self.label.is_some() || self.most.is_some()
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

//! Why an agent refused a start or a claim.

use gentian_wire::agent::Reason;
use strum::{Display, EnumIter, EnumString};

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The agent holds no lease.
    NoLease,
    /// The upstream takes no new work.
    Leaving,
    /// No slot and no place in the queue is free.
    Full,
    /// Another coordinator holds the task's tombstone.
    Tombstoned,
    /// The task was started here before.
    Duplicate,
    /// The message names an older view than the agent has seen.
    OldView,
    /// The key was created before the retention window, or too far ahead.
    Expired,
    /// The agent has no upstream of the service.
    NoUpstream,
    /// The key was created before the agent's memory begins.
    Forgotten,
}

impl Refusal {
    /// Whether the refused task may be sent to another candidate by the same
    /// coordinator.
    ///
    /// A duplicate has started, a tombstone means that another coordinator may
    /// start it, and an expired key is expired everywhere.
    pub fn may_retry(self) -> bool {
        !matches!(
            self,
            Refusal::Duplicate | Refusal::Tombstoned | Refusal::Expired
        )
    }

    /// Whether the refusal proves that the coordinator's task has not started.
    pub fn proves_not_run(self) -> bool {
        !matches!(self, Refusal::Duplicate | Refusal::Tombstoned)
    }
}

impl From<Refusal> for Reason {
    fn from(refusal: Refusal) -> Reason {
        match refusal {
            Refusal::NoLease => Reason::NoLease,
            Refusal::Leaving => Reason::Leaving,
            Refusal::Full => Reason::Full,
            Refusal::Tombstoned => Reason::Tombstoned,
            Refusal::Duplicate => Reason::Duplicate,
            Refusal::OldView => Reason::OldView,
            Refusal::Expired => Reason::Expired,
            Refusal::NoUpstream => Reason::NoUpstream,
            Refusal::Forgotten => Reason::Forgotten,
        }
    }
}

impl TryFrom<Reason> for Refusal {
    type Error = Unnamed;

    fn try_from(reason: Reason) -> Result<Refusal> {
        match reason {
            Reason::NoLease => Ok(Refusal::NoLease),
            Reason::Leaving => Ok(Refusal::Leaving),
            Reason::Full => Ok(Refusal::Full),
            Reason::Tombstoned => Ok(Refusal::Tombstoned),
            Reason::Duplicate => Ok(Refusal::Duplicate),
            Reason::OldView => Ok(Refusal::OldView),
            Reason::Expired => Ok(Refusal::Expired),
            Reason::NoUpstream => Ok(Refusal::NoUpstream),
            Reason::Forgotten => Ok(Refusal::Forgotten),
            Reason::Unspecified => Err(Unnamed),
        }
    }
}

/// A message that names no reason.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("field reason is unspecified")]
pub struct Unnamed;

/// A result whose error is a missing reason.
pub type Result<T> = std::result::Result<T, Unnamed>;

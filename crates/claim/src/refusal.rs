//! Why an agent refused a start or a claim.

use gentian_wire::agent::Reason;
use strum::{Display, EnumIter, EnumString};

/// Reason for which an agent refused a start or a claim.
#[derive(Clone, Copy, Debug, Display, EnumIter, EnumString, Eq, Hash, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The agent holds no lease from the control service.
    NoLease,
    /// The upstream is leaving and takes no new work.
    Leaving,
    /// No slot is free and the queue is full.
    Full,
    /// The agent has promised another coordinator not to start the task for
    /// this one.
    Tombstoned,
    /// The task was started at this agent before.
    Duplicate,
    /// The agent has seen a newer view than the one that the request was made under.
    OldView,
    /// The key was created before the retention window, or too far in the
    /// future.
    Expired,
    /// The agent has no upstream for the service.
    NoUpstream,
    /// The key was created before this agent started, so the agent may have
    /// lost its record.
    Forgotten,
}

impl Refusal {
    /// Whether the coordinator may send the refused task to another candidate.
    ///
    /// It may not if the task has already started (`Duplicate`), if another
    /// coordinator may start it (`Tombstoned`), or if every agent would refuse
    /// the key (`Expired`).
    pub fn may_retry(self) -> bool {
        !matches!(
            self,
            Refusal::Duplicate | Refusal::Tombstoned | Refusal::Expired
        )
    }

    /// Whether the coordinator may report the refused task as not run.
    ///
    /// After `Duplicate` or `Tombstoned` the outcome is unknown, since the task has
    /// started or another coordinator may start it.
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
    type Error = UnspecifiedReason;

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
            Reason::Unspecified => Err(UnspecifiedReason),
        }
    }
}

/// A message whose `reason` field is not set.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("field reason is unspecified")]
pub struct UnspecifiedReason;

/// A result whose error is an unset `reason` field.
pub type Result<T> = std::result::Result<T, UnspecifiedReason>;

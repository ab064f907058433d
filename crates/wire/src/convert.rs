//! Conversions between the newtypes and the generated protobuf messages.

use uuid::Uuid;

use crate::agent;
use crate::id::{Ballot, Job, Task};
use crate::outcome::Outcome;

/// The error returned when a message from another process violates the protocol.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Malformed {
    /// A job key is not 16 bytes long, or is not a UUID of version 7.
    #[error("a job key is not a UUID of version 7")]
    Job,
    /// A required field is missing.
    #[error("field {0} is missing")]
    Missing(&'static str),
}

impl From<Task> for agent::Task {
    fn from(task: Task) -> agent::Task {
        agent::Task {
            job: task.job.into(),
            index: task.index,
        }
    }
}

impl From<Job> for prost::bytes::Bytes {
    fn from(job: Job) -> prost::bytes::Bytes {
        prost::bytes::Bytes::copy_from_slice(job.as_bytes())
    }
}

impl TryFrom<&[u8]> for Job {
    type Error = Malformed;

    fn try_from(bytes: &[u8]) -> Result<Job, Malformed> {
        let uuid = Uuid::from_slice(bytes).map_err(|_| Malformed::Job)?;
        Job::try_from(uuid).map_err(|_| Malformed::Job)
    }
}

impl TryFrom<&agent::Task> for Task {
    type Error = Malformed;

    fn try_from(task: &agent::Task) -> Result<Task, Malformed> {
        Ok(Job::try_from(&task.job[..])?.task(task.index))
    }
}

impl From<Ballot> for agent::Ballot {
    fn from(ballot: Ballot) -> agent::Ballot {
        agent::Ballot {
            epoch: ballot.epoch,
            coordinator: ballot.coordinator,
        }
    }
}

impl From<agent::Ballot> for Ballot {
    fn from(ballot: agent::Ballot) -> Ballot {
        Ballot {
            epoch: ballot.epoch,
            coordinator: ballot.coordinator,
        }
    }
}

impl From<Outcome> for agent::Outcome {
    fn from(outcome: Outcome) -> agent::Outcome {
        match outcome {
            Outcome::Done => agent::Outcome::Done,
            Outcome::Failed => agent::Outcome::Failed,
            Outcome::NotRun => agent::Outcome::NotRun,
            Outcome::Unknown => agent::Outcome::Unknown,
        }
    }
}

impl From<agent::Outcome> for Outcome {
    /// An outcome that this version does not know, such as one sent by a newer process,
    /// becomes [`Outcome::Unknown`], because it does not tell whether the task started.
    fn from(outcome: agent::Outcome) -> Outcome {
        match outcome {
            agent::Outcome::Done => Outcome::Done,
            agent::Outcome::Failed => Outcome::Failed,
            agent::Outcome::NotRun => Outcome::NotRun,
            agent::Outcome::Unknown | agent::Outcome::Unspecified => Outcome::Unknown,
        }
    }
}

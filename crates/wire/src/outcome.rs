//! The outcome of a request or of one task of a job.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// The outcome of a request or task. Each of them is reported with exactly one outcome.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    PartialEq,
    Serialize,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It ran once and its answer arrived complete.
    Done,
    /// It ran but gave no usable answer.
    Failed,
    /// It is certain that it never started and never will.
    NotRun,
    /// It was sent, and whether it started can't be determined.
    Unknown,
}

impl Outcome {
    /// Whether the task may be sent to another upstream.
    ///
    /// That is always safe after `NotRun`. After `Unknown` the task may run twice, so it
    /// must be idempotent.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent,
            Outcome::Done | Outcome::Failed => false,
        }
    }
}

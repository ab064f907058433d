//! What became of a request or of one task of a job.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

/// Exactly one of these is told for each request and each task.
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
    /// It ran once and the answer is whole.
    Done,
    /// It ran and gave no usable answer.
    Failed,
    /// It is proved that it never started and never will.
    NotRun,
    /// It was sent and nothing proves whether it started.
    Unknown,
}

impl Outcome {
    /// Whether the task may be sent to another upstream.
    ///
    /// `NotRun` always may; `Unknown` only where running twice does no harm.
    pub fn may_retry(self, idempotent: bool) -> bool {
        match self {
            Outcome::NotRun => true,
            Outcome::Unknown => idempotent,
            Outcome::Done | Outcome::Failed => false,
        }
    }
}

//! What a task to be placed requires, and why it may not be placed.

use std::sync::Arc;
use std::time::Duration;

use gentian_wire::id::Node;
use gentian_wire::need::{Constraints, Need};

use crate::bulkhead::Pool;

/// Time from the placement of a task to its start and from its end to the answer.
const START_TIME: Duration = Duration::from_millis(8);

/// Requirements of a task to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Resources that the task uses.
    pub need: Need,
    /// Further requirements and preferences for the upstream.
    pub constraints: &'a Constraints,
    /// Upstreams to use only if no other has enough resources.
    pub avoid: &'a [Node],
    /// Upstreams that must not be used.
    pub excluded: &'a [Node],
    /// Upstreams that may be used.
    pub pool: Pool<'a>,
    /// The job that the task belongs to, if it is to run beside its other tasks.
    pub beside: Option<&'a Arc<str>>,
    /// Whether it may run beside tasks of that job only.
    pub alone: bool,
    /// When the task is to end, if that matters.
    pub due: Option<Due>,
}

impl<'a> PlacementRequest<'a> {
    /// A task that may run anywhere, beside any other.
    pub fn new(need: Need, constraints: &'a Constraints) -> PlacementRequest<'a> {
        PlacementRequest {
            need,
            constraints,
            avoid: &[],
            excluded: &[],
            pool: Pool::All,
            beside: None,
            alone: false,
            due: None,
        }
    }
}

/// By when a task is to end, and how long it is expected to run.
#[derive(Clone, Copy, Debug)]
pub struct Due {
    /// Time until the task is to have ended.
    pub left: Duration,
    /// Expected run time at an average upstream.
    pub expected: Duration,
}

impl Due {
    /// Logarithm of the ratio of run times to those at an average upstream above which the
    /// task would end too late.
    pub(super) fn max_log_ratio(self) -> f64 {
        let left = self.left.saturating_sub(START_TIME).as_secs_f64();
        (left / self.expected.as_secs_f64().max(1e-3)).ln()
    }
}

/// Why a task was not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Blocked {
    /// No upstream that may run it has enough free resources.
    #[error("no upstream has room")]
    NoRoom,
    /// It would end too late wherever there is room, but in time at an upstream that is
    /// busy now.
    #[error("there is room only where it would end too late")]
    Late,
}

/// The result of placing a task.
pub type Result<T> = std::result::Result<T, Blocked>;

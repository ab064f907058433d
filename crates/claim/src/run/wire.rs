//! Conversions between runs and their wire messages.

use gentian_wire::agent;

use super::Run;

impl From<&Run> for agent::Run {
    fn from(run: &Run) -> agent::Run {
        agent::Run {
            task: run.task.to_string(),
            run: run.number,
        }
    }
}

impl From<&agent::Run> for Run {
    fn from(message: &agent::Run) -> Run {
        Run {
            task: message.task.as_str().into(),
            number: message.run,
        }
    }
}

//! Conversions between runs and their wire messages.

use gentian_wire::agent;

use super::{Isolation, Run};

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

impl From<Isolation> for agent::Isolation {
    fn from(isolation: Isolation) -> agent::Isolation {
        match isolation {
            Isolation::Shared => agent::Isolation::Shared,
            Isolation::Limited => agent::Isolation::Limited,
            Isolation::Alone => agent::Isolation::Alone,
        }
    }
}

impl From<agent::Isolation> for Isolation {
    fn from(message: agent::Isolation) -> Isolation {
        match message {
            agent::Isolation::Shared => Isolation::Shared,
            agent::Isolation::Limited => Isolation::Limited,
            agent::Isolation::Alone => Isolation::Alone,
        }
    }
}

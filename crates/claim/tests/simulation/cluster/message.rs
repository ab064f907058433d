//! Messages in the simulated network.

use gentian_claim::coordinator::Event;
use gentian_claim::home::Holder;
use gentian_wire::id::Ballot;

use super::Value;

/// A request of a coordinator to an agent.
#[derive(Clone, Debug)]
pub(crate) enum Request {
    Claim,
    /// Task indices, and whether the reply may wait for their end.
    Ask(Vec<u32>, bool),
    Start(u32),
    Cancel(Vec<u32>),
}

/// A message in the network.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    ToAgent {
        agent: usize,
        attempt: usize,
        ballot: Ballot,
        request: Request,
        /// Whether the network has duplicated this message.
        duplicated: bool,
    },
    Follow {
        attempt: usize,
        holder: Holder,
    },
    ToCoordinator {
        attempt: usize,
        event: Event<Value>,
    },
}

impl Message {
    pub(super) fn is_duplicated_start(&self) -> bool {
        matches!(
            self,
            Message::ToAgent {
                request: Request::Start(_),
                duplicated: true,
                ..
            }
        )
    }
}

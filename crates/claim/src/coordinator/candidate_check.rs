//! Progress of asking all candidates whether they have started a task.

use gentian_wire::id::Node;

/// A task whose candidates are being asked whether they have started it.
#[derive(Debug)]
pub(super) struct CandidateCheck {
    /// The candidates that have not replied.
    unanswered: Vec<Node>,
    /// Whether some candidate may have started the task.
    inconclusive: bool,
}

impl CandidateCheck {
    pub(super) fn new(candidates: &[Node]) -> CandidateCheck {
        CandidateCheck {
            unanswered: candidates.to_vec(),
            inconclusive: candidates.is_empty(),
        }
    }

    /// Whether the candidate has yet to reply.
    pub(super) fn awaits(&self, agent: &Node) -> bool {
        self.unanswered.contains(agent)
    }

    /// Records that the candidate has tombstoned the task.
    pub(super) fn tombstoned(&mut self, agent: &Node) {
        self.unanswered.retain(|unanswered| unanswered != agent);
    }

    /// Records that the candidate can't tell whether it has started the task.
    /// The check goes on, since another candidate may still report a start.
    pub(super) fn inconclusive(&mut self, agent: &Node) {
        self.tombstoned(agent);
        self.inconclusive = true;
    }

    /// Whether the task may start; `None` until all candidates have replied.
    pub(super) fn may_start(&self) -> Option<bool> {
        self.unanswered.is_empty().then_some(!self.inconclusive)
    }
}

//! A task whose candidates are being asked whether they have started it.

use gentian_wire::id::Node;

#[derive(Debug)]
pub(super) struct Asking {
    silent: Vec<Node>,
    blocked: bool,
}

impl Asking {
    pub(super) fn new(candidates: &[Node]) -> Asking {
        Asking {
            silent: candidates.to_vec(),
            blocked: candidates.is_empty(),
        }
    }

    /// Whether the candidate has yet to answer.
    pub(super) fn awaits(&self, agent: &Node) -> bool {
        self.silent.contains(agent)
    }

    pub(super) fn promised(&mut self, agent: &Node) {
        self.silent.retain(|silent| silent != agent);
    }

    /// The candidate proves nothing; another may still tell of a start.
    pub(super) fn blocked(&mut self, agent: &Node) {
        self.promised(agent);
        self.blocked = true;
    }

    /// Whether the task may start, once all candidates have answered.
    pub(super) fn verdict(&self) -> Option<bool> {
        self.silent.is_empty().then_some(!self.blocked)
    }
}

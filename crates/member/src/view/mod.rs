//! Numbered membership views.
//!
//! Each event that changes the membership produces the next view. The [`Window`]
//! keeps all views under which unfinished jobs may have been placed, as the
//! oldest view and the changes after it: to find out where a task runs, its
//! candidates under each of these views have to be asked. For the same reason
//! nodes receive each change individually rather than the net difference, since
//! a member that joined and left between two renewals may have started tasks.

mod age;
mod convert;
mod delta;

use std::collections::{BTreeMap, VecDeque};

use gentian_wire::id::{Incarnation, Node, View};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::member::Member;

pub use age::ViewAges;
pub use delta::{Delta, Error, Result, WindowSnapshot};

/// Maximum number of changes in a window. Once it is reached, agents can neither
/// join nor update, but members can still leave. Older views are not dropped
/// instead, since tasks placed under them could then no longer be found.
pub const MAX_CHANGES: usize = 4_096;

/// The members of one view, by name.
pub type Members = BTreeMap<Node, Member>;

/// A membership event, which may produce the next view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// An agent joins, possibly as a later incarnation of a current member.
    Join(Member),
    /// A member has changed its announcement.
    Update(Member),
    /// A member leaves.
    Leave {
        /// Name of the member.
        node: Node,
        /// The latest incarnation that leaves; a later one stays.
        incarnation: Incarnation,
        /// Why the member leaves.
        reason: Reason,
    },
    /// Views before this one are no longer needed.
    Forget(View),
}

/// Why a member leaves.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It announced that it is draining.
    Leaving,
    /// Its lease has expired.
    Expired,
    /// A later incarnation of it has renewed.
    Restarted,
}

/// The difference between a view and the view before it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Number of the view that the change produces.
    pub view: View,
    /// Name of the member that changed.
    pub node: Node,
    /// The member's new state; `None` if it has left.
    pub member: Option<Member>,
}

/// The current view and the earlier views that are still needed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Window {
    /// Number of the oldest view.
    floor: View,
    /// Members of the oldest view.
    oldest: Members,
    changes: VecDeque<Change>,
    /// Members of the current view.
    members: Members,
}

impl Window {
    /// Returns the number of the current view.
    pub fn number(&self) -> View {
        View(self.floor.0 + self.changes.len() as u64)
    }

    /// Returns the number of the oldest view that is kept.
    pub fn floor(&self) -> View {
        self.floor
    }

    /// Returns the members of the current view.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the members of a view, or `None` if the view doesn't exist yet or
    /// is no longer kept.
    pub fn members_at(&self, view: View) -> Option<Members> {
        let count = usize::try_from(view.0.checked_sub(self.floor.0)?).ok()?;
        if count > self.changes.len() {
            return None;
        }
        let mut members = self.oldest.clone();
        for change in self.changes.iter().take(count) {
            change.apply(&mut members);
        }
        Some(members)
    }

    /// Calls `visit` with each view that is kept, oldest first.
    pub fn for_each(&self, mut visit: impl FnMut(View, &Members)) {
        let mut members = self.oldest.clone();
        visit(self.floor, &members);
        for change in &self.changes {
            change.apply(&mut members);
            visit(change.view, &members);
        }
    }

    /// Applies an event from the log and returns whether it produced a new view.
    pub fn apply(&mut self, event: Event) -> bool {
        match event {
            Event::Join(member) => self.join(member),
            Event::Update(member) => self.update(member),
            Event::Leave {
                node, incarnation, ..
            } => self.leave(node, incarnation),
            Event::Forget(before) => {
                self.forget(before);
                false
            }
        }
    }

    fn join(&mut self, member: Member) -> bool {
        match self.members.get(&member.node) {
            _ if self.is_full() => false,
            Some(known) if known.incarnation > member.incarnation => false,
            Some(known) if *known == member => false,
            _ => self.push(member.node.clone(), Some(member)),
        }
    }

    fn update(&mut self, member: Member) -> bool {
        match self.members.get(&member.node) {
            _ if self.is_full() => false,
            Some(known) if known.incarnation == member.incarnation && *known != member => {
                self.push(member.node.clone(), Some(member))
            }
            _ => false,
        }
    }

    fn leave(&mut self, node: Node, incarnation: Incarnation) -> bool {
        match self.members.get(&node) {
            Some(known) if known.incarnation <= incarnation => self.push(node, None),
            _ => false,
        }
    }

    fn push(&mut self, node: Node, member: Option<Member>) -> bool {
        let change = Change {
            view: View(self.number().0 + 1),
            node,
            member,
        };
        self.append(change);
        true
    }

    fn append(&mut self, change: Change) {
        change.apply(&mut self.members);
        self.changes.push_back(change);
    }

    fn is_full(&self) -> bool {
        self.changes.len() >= MAX_CHANGES
    }

    /// Drops the views before the given one, but never the current view.
    fn forget(&mut self, before: View) {
        while self.floor < before {
            let Some(change) = self.changes.pop_front() else {
                return;
            };
            self.floor = change.view;
            change.apply(&mut self.oldest);
        }
    }
}

impl Change {
    fn apply(&self, members: &mut Members) {
        match &self.member {
            Some(member) => members.insert(self.node.clone(), member.clone()),
            None => members.remove(&self.node),
        };
    }
}

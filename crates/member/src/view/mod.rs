//! Numbered membership views.
//!
//! Each accepted event gives the next view. The [`Window`] keeps the views that
//! a job may still have been placed under, as the oldest one and the changes
//! after it: the candidates of a task have to be asked under every one of them.
//! For the same reason a node is sent each change on its own and not their sum;
//! a member that came and went between two renewals may have started tasks.

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

/// Changes kept before agents may neither join nor update. Views are not
/// dropped instead, for tasks placed under them would then be looked for
/// nowhere; members may still leave.
pub const MAX_CHANGES: usize = 4_096;

/// The members of one view, by name.
pub type Members = BTreeMap<Node, Member>;

/// Something that may lead to the next view.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// An agent comes, or comes back as a later incarnation.
    Join(Member),
    /// A member has changed what it announces.
    Update(Member),
    /// A member goes.
    Leave {
        /// Its name.
        node: Node,
        /// The incarnation that goes; a later one stays.
        incarnation: Incarnation,
        /// Why it goes.
        reason: Reason,
    },
    /// Views before this one are of no more use.
    Forget(View),
}

/// Why a member goes.
#[derive(Clone, Copy, Debug, Deserialize, Display, EnumString, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It announced that it stops.
    Leaving,
    /// It has not renewed its lease.
    Expired,
    /// It runs again as a later incarnation.
    Restarted,
}

/// What one view has that the view before it had not.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Number of the view.
    pub view: View,
    /// The member that changed.
    pub node: Node,
    /// What it is now; nothing where it has gone.
    pub member: Option<Member>,
}

/// The view in force and those before it that are still of use.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Window {
    floor: View,
    oldest: Members,
    changes: VecDeque<Change>,
    members: Members,
}

impl Window {
    /// Number of the view in force.
    pub fn number(&self) -> View {
        View(self.floor.0 + self.changes.len() as u64)
    }

    /// Number of the oldest view that is kept.
    pub fn floor(&self) -> View {
        self.floor
    }

    /// The members in force.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// The members of a view, unless it is to come or no longer kept.
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

    /// Calls `visit` with every view that is kept, oldest first.
    pub fn for_each(&self, mut visit: impl FnMut(View, &Members)) {
        let mut members = self.oldest.clone();
        visit(self.floor, &members);
        for change in &self.changes {
            change.apply(&mut members);
            visit(change.view, &members);
        }
    }

    /// Applies an event from the log; tells whether it led to a new view.
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

    /// Drops the views before the given one, but never the one in force.
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

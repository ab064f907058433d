//! Incremental updates and snapshots of a [`Window`], which bring a node's copy
//! up to date.

use gentian_wire::id::View;
use serde::{Deserialize, Serialize};

use super::{Change, Members, Window};
use crate::member::Member;

/// The result of applying a delta.
pub type Result<T> = std::result::Result<T, Error>;

/// A delta that can't be applied to a window.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Changes between the known view and the delta, or within the delta, are missing.
    #[error("view {found} received instead of the next view {expected}")]
    Gap {
        /// The view that should have come next.
        expected: View,
        /// The view that was received instead.
        found: View,
    },
    /// The snapshot is older than the window.
    #[error("snapshot ends at view {found}, but view {known} is already known")]
    Older {
        /// The last view of the window.
        known: View,
        /// The last view of the snapshot.
        found: View,
    },
}

/// The views that a node lacks.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delta {
    /// The changes after the last view that the node knows.
    Changes {
        /// The oldest view that is still kept.
        floor: View,
        /// Consecutive changes in ascending order.
        changes: Vec<Change>,
    },
    /// The whole window, which replaces the node's copy.
    #[serde(rename = "whole")]
    Snapshot(WindowSnapshot),
}

/// A complete copy of a window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowSnapshot {
    /// Number of the oldest view that is kept.
    pub floor: View,
    /// Members of the oldest view.
    pub oldest: Vec<Member>,
    /// Consecutive changes after the oldest view, in ascending order.
    pub changes: Vec<Change>,
}

impl Window {
    /// Returns what a node lacks if the last view that it knows is `known`: the later
    /// changes, or a snapshot if the window doesn't contain that view.
    pub fn delta_since(&self, known: View) -> Delta {
        if known < self.floor || known > self.number() {
            return Delta::Snapshot(self.snapshot());
        }
        let skipped = usize::try_from(known.0 - self.floor.0).unwrap_or(usize::MAX);
        Delta::Changes {
            floor: self.floor,
            changes: self.changes.iter().skip(skipped).cloned().collect(),
        }
    }

    /// Returns a copy of the whole window.
    pub fn snapshot(&self) -> WindowSnapshot {
        WindowSnapshot {
            floor: self.floor,
            oldest: self.oldest.values().cloned().collect(),
            changes: self.changes.iter().cloned().collect(),
        }
    }

    /// Applies a delta from a control instance. On an error the window is
    /// unchanged.
    pub fn apply_delta(&mut self, delta: Delta) -> Result<()> {
        match delta {
            Delta::Changes { floor, changes } => self.apply_changes(floor, changes),
            Delta::Snapshot(snapshot) => self.replace(snapshot),
        }
    }

    fn apply_changes(&mut self, floor: View, changes: Vec<Change>) -> Result<()> {
        let known = self.number();
        let new: Vec<Change> = changes
            .into_iter()
            .filter(|change| change.view > known)
            .collect();
        check_consecutive(known, &new)?;
        for change in new {
            self.append(change);
        }
        self.forget(floor);
        Ok(())
    }

    fn replace(&mut self, snapshot: WindowSnapshot) -> Result<()> {
        let window = Window::try_from(snapshot)?;
        let (known, found) = (self.number(), window.number());
        if found < known {
            return Err(Error::Older { known, found });
        }
        *self = window;
        Ok(())
    }
}

impl TryFrom<WindowSnapshot> for Window {
    type Error = Error;

    fn try_from(snapshot: WindowSnapshot) -> Result<Window> {
        check_consecutive(snapshot.floor, &snapshot.changes)?;
        let oldest: Members = snapshot
            .oldest
            .into_iter()
            .map(|member| (member.node.clone(), member))
            .collect();
        let mut window = Window {
            floor: snapshot.floor,
            members: oldest.clone(),
            oldest,
            ..Window::default()
        };
        for change in snapshot.changes {
            window.append(change);
        }
        Ok(window)
    }
}

/// Checks that the changes directly follow the known view and each other.
fn check_consecutive(known: View, changes: &[Change]) -> Result<()> {
    let mut expected = known;
    for change in changes {
        expected.0 += 1;
        if change.view != expected {
            let found = change.view;
            return Err(Error::Gap { expected, found });
        }
    }
    Ok(())
}

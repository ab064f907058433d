//! What a node lacks of the window, and the window as a snapshot.

use gentian_wire::id::View;
use serde::{Deserialize, Serialize};

use super::{Change, Members, Window};
use crate::member::Member;

/// A result whose error is a delta that doesn't fit.
pub type Result<T> = std::result::Result<T, Error>;

/// A delta that doesn't fit the window it is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
pub enum Error {
    /// Changes between what is known and what came are missing.
    #[error("view {found} came where view {expected} was to follow")]
    Gap {
        /// The view that was to come.
        expected: View,
        /// The view that came.
        found: View,
    },
    /// The delta ends before what is known.
    #[error("views up to {found} came where view {known} is known")]
    Older {
        /// The view that is known.
        known: View,
        /// The last view of the delta.
        found: View,
    },
}

/// What a node that knows some view needs to know all.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Delta {
    /// The changes after the view it knows.
    Changes {
        /// The oldest view that is still of use.
        floor: View,
        /// In their order, without gaps.
        changes: Vec<Change>,
    },
    /// Everything.
    #[serde(rename = "whole")]
    Snapshot(WindowSnapshot),
}

/// A whole window.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowSnapshot {
    /// The oldest view.
    pub floor: View,
    /// Its members.
    pub oldest: Vec<Member>,
    /// The changes after it, in their order, without gaps.
    pub changes: Vec<Change>,
}

impl Window {
    /// What a node lacks that knows the given view.
    pub fn delta_since(&self, known: View) -> Delta {
        if known < self.floor || known > self.number() {
            return Delta::Snapshot(self.snapshot());
        }
        let kept = usize::try_from(known.0 - self.floor.0).unwrap_or(usize::MAX);
        Delta::Changes {
            floor: self.floor,
            changes: self.changes.iter().skip(kept).cloned().collect(),
        }
    }

    /// The whole window.
    pub fn snapshot(&self) -> WindowSnapshot {
        WindowSnapshot {
            floor: self.floor,
            oldest: self.oldest.values().cloned().collect(),
            changes: self.changes.iter().cloned().collect(),
        }
    }

    /// Takes over what a control instance sent; leaves the window as it is on
    /// an error.
    pub fn apply_delta(&mut self, delta: Delta) -> Result<()> {
        match delta {
            Delta::Changes { floor, changes } => self.follow_changes(floor, changes),
            Delta::Snapshot(whole) => self.replace(whole),
        }
    }

    fn follow_changes(&mut self, floor: View, changes: Vec<Change>) -> Result<()> {
        let known = self.number();
        let new: Vec<Change> = changes
            .into_iter()
            .filter(|change| change.view > known)
            .collect();
        check_order(known, &new)?;
        for change in new {
            self.append(change);
        }
        self.forget(floor);
        Ok(())
    }

    fn replace(&mut self, whole: WindowSnapshot) -> Result<()> {
        let window = Window::try_from(whole)?;
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

    fn try_from(whole: WindowSnapshot) -> Result<Window> {
        check_order(whole.floor, &whole.changes)?;
        let oldest: Members = whole
            .oldest
            .into_iter()
            .map(|member| (member.node.clone(), member))
            .collect();
        let mut window = Window {
            floor: whole.floor,
            members: oldest.clone(),
            oldest,
            ..Window::default()
        };
        for change in whole.changes {
            window.append(change);
        }
        Ok(window)
    }
}

fn check_order(known: View, changes: &[Change]) -> Result<()> {
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

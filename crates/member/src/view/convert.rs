//! Conversion of window deltas to and from renewal replies.

use gentian_wire::control;
use gentian_wire::id::View;

use super::{Change, Delta, WindowSnapshot};
use crate::member::{Member, Result};

impl Delta {
    /// Writes the delta to the fields of a reply.
    pub fn write(&self, reply: &mut control::RenewReply) {
        let (floor, changes) = match self {
            Delta::Changes { floor, changes } => (floor, changes),
            Delta::Snapshot(snapshot) => {
                reply.whole = true;
                reply.members = snapshot.oldest.iter().map(control::Member::from).collect();
                (&snapshot.floor, &snapshot.changes)
            }
        };
        reply.floor = floor.0;
        reply.changes = changes.iter().map(control::Change::from).collect();
    }

    /// Reads the delta from the fields of a reply.
    pub fn read(reply: &control::RenewReply) -> Result<Delta> {
        let floor = View(reply.floor);
        let changes = reply.changes.iter().map(Change::try_from);
        let changes = changes.collect::<Result<_>>()?;
        if !reply.whole {
            return Ok(Delta::Changes { floor, changes });
        }
        let oldest = reply.members.iter().map(Member::try_from);
        Ok(Delta::Snapshot(WindowSnapshot {
            floor,
            oldest: oldest.collect::<Result<_>>()?,
            changes,
        }))
    }
}

impl From<&Change> for control::Change {
    fn from(change: &Change) -> control::Change {
        control::Change {
            view: change.view.0,
            node: change.node.to_string(),
            member: change.member.as_ref().map(control::Member::from),
        }
    }
}

impl TryFrom<&control::Change> for Change {
    type Error = crate::member::Error;

    fn try_from(message: &control::Change) -> Result<Change> {
        Ok(Change {
            view: View(message.view),
            node: message.node.parse()?,
            member: message.member.as_ref().map(Member::try_from).transpose()?,
        })
    }
}

//! The leader's table of who renews.
//!
//! The table is not replicated. A new leader knows of no renewals, so it gives
//! everyone a whole lease before it lets anyone go; it does the same after it
//! was stalled itself, since renewals then wait unread in its sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};

use crate::member::Member;
use crate::view::{Event, Reason, Window};

/// How long the table waits before it proposes the same event again.
pub const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// The periods of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// How long a lease lasts.
    pub lease: Duration,
    /// Added to the lease before a node counts as gone; a longer gap between
    /// two ticks counts as a stall of the leader.
    pub margin: Duration,
    /// How long an incarnation must have been seen before it joins a view, so
    /// that no key older than its memory is its to answer for.
    pub quarantine: Duration,
}

/// What a node sends about itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Its name.
    pub node: Node,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// What a view lists of it; nothing for an entry.
    pub member: Option<Member>,
    /// It stops and wants no new work.
    pub leaving: bool,
}

/// A renewal by an incarnation that a later one has replaced.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("node {node} runs as incarnation {known}, so incarnation {incarnation} gets no lease")]
pub struct StaleIncarnation {
    /// The node.
    pub node: Node,
    /// The incarnation that asked.
    pub incarnation: Incarnation,
    /// The incarnation that is known.
    pub known: Incarnation,
}

/// A result whose error is a renewal that was refused.
pub type Result<T> = std::result::Result<T, StaleIncarnation>;

/// Who renewed, and when; times since a monotonic origin.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    timing: Timing,
    grace_from: Duration,
    ticked: Duration,
    rows: BTreeMap<Node, Row>,
    asked: BTreeMap<Node, (Duration, Event)>,
}

#[derive(Clone, Debug)]
struct Row {
    first_seen: Duration,
    seen: Duration,
    announcement: Announcement,
}

impl LeaseTable {
    /// The table of a leader that starts now.
    pub fn new(now: Duration, timing: Timing) -> LeaseTable {
        LeaseTable {
            timing,
            grace_from: now,
            ticked: now,
            rows: BTreeMap::new(),
            asked: BTreeMap::new(),
        }
    }

    /// Takes a renewal. The caller grants the lease once a majority has
    /// confirmed that it leads.
    pub fn renew(
        &mut self,
        now: Duration,
        announcement: Announcement,
        window: &Window,
    ) -> Result<()> {
        self.check(&announcement, window)?;
        let same = |row: &&Row| row.announcement.incarnation == announcement.incarnation;
        let before = self.rows.get(&announcement.node).filter(same);
        let leaving = before.is_some_and(|row| row.announcement.leaving);
        let row = Row {
            first_seen: before.map_or(now, |row| row.first_seen),
            seen: now,
            announcement: Announcement {
                leaving: leaving || announcement.leaving,
                ..announcement
            },
        };
        self.rows.insert(row.announcement.node.clone(), row);
        Ok(())
    }

    /// What is to be proposed about one node, at once after its renewal.
    pub fn due_event(&mut self, now: Duration, node: &Node, window: &Window) -> Option<Event> {
        let event = self.wanted(now, node, window)?;
        let asked = self.asked.get(node);
        if asked.is_some_and(|(at, before)| *before == event && now < *at + REPROPOSE_INTERVAL) {
            return None;
        }
        self.asked.insert(node.clone(), (now, event.clone()));
        Some(event)
    }

    /// What is to be proposed by now about all nodes. Call it several times
    /// per margin.
    pub fn tick(&mut self, now: Duration, window: &Window) -> Vec<Event> {
        if now.saturating_sub(self.ticked) > self.timing.margin {
            self.grace_from = now;
        }
        self.ticked = now;
        let names = self.rows.keys().chain(window.members().keys());
        let names: std::collections::BTreeSet<Node> = names.cloned().collect();
        let events = names
            .iter()
            .filter_map(|node| self.due_event(now, node, window))
            .collect();
        self.prune(now);
        events
    }

    /// Nodes that renewed lately.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Announcement> {
        self.rows
            .values()
            .filter(move |row| !self.lapsed(now, Some(row)))
            .map(|row| &row.announcement)
    }

    fn check(&self, announcement: &Announcement, window: &Window) -> Result<()> {
        let node = &announcement.node;
        let row = self.rows.get(node).map(|row| row.announcement.incarnation);
        let member = window.members().get(node).map(|member| member.incarnation);
        match row.max(member) {
            Some(known) if known > announcement.incarnation => Err(StaleIncarnation {
                node: node.clone(),
                incarnation: announcement.incarnation,
                known,
            }),
            _ => Ok(()),
        }
    }

    fn wanted(&self, now: Duration, node: &Node, window: &Window) -> Option<Event> {
        let row = self.rows.get(node);
        let member = window.members().get(node);
        let leave = |reason| {
            member.map(|member| Event::Leave {
                node: node.clone(),
                incarnation: member.incarnation,
                reason,
            })
        };
        if self.lapsed(now, row) {
            return leave(Reason::Expired);
        }
        let row = row?;
        if row.announcement.leaving {
            return leave(Reason::Leaving);
        }
        let announced = row.announcement.member.as_ref()?;
        match member {
            None => self
                .may_join(now, row)
                .then(|| Event::Join(announced.clone())),
            Some(member) if member.incarnation < announced.incarnation => leave(Reason::Restarted),
            Some(member) if member != announced => Some(Event::Update(announced.clone())),
            Some(_) => None,
        }
    }

    fn lapsed(&self, now: Duration, row: Option<&Row>) -> bool {
        let seen = row.map_or(self.grace_from, |row| row.seen.max(self.grace_from));
        now.saturating_sub(seen) > self.timing.lease + self.timing.margin
    }

    fn may_join(&self, now: Duration, row: &Row) -> bool {
        now.saturating_sub(row.first_seen) >= self.timing.quarantine
    }

    fn prune(&mut self, now: Duration) {
        let lapsed: Vec<Node> = self
            .rows
            .iter()
            .filter(|(_, row)| self.lapsed(now, Some(row)))
            .map(|(node, _)| node.clone())
            .collect();
        for node in lapsed {
            self.rows.remove(&node);
        }
        self.asked
            .retain(|_, (at, _)| now < *at + REPROPOSE_INTERVAL);
    }
}

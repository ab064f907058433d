//! The leader's table of lease renewals, from which it derives view changes.
//!
//! The table is not replicated. A new leader knows of no renewals, so it waits
//! for a full lease plus margin before it removes a silent member. A leader does the
//! same after its own process was stalled, since renewals that arrived during the
//! stall are still unread in its sockets.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};

use crate::member::Member;
use crate::view::{Event, Reason, Window};

/// Minimum time between two proposals of the same event for a node.
pub const REPROPOSE_INTERVAL: Duration = Duration::from_secs(1);

/// Durations that determine when members join and leave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Timing {
    /// Duration of a lease.
    pub lease: Duration,
    /// Time added to the lease before a silent node is removed. A gap between
    /// two ticks that exceeds it counts as a stall of the leader.
    pub margin: Duration,
    /// Time between an incarnation's first renewal and its joining a view, so that
    /// it is not asked about keys created before it started: records of runs are in
    /// memory only, so it has none for those keys.
    pub quarantine: Duration,
}

/// What a node states about itself in a renewal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Name of the node.
    pub node: Node,
    /// Incarnation that renews.
    pub incarnation: Incarnation,
    /// The member to list in views; `None` for an entry.
    pub member: Option<Member>,
    /// Whether the node is draining and must get no new work.
    pub leaving: bool,
}

/// A renewal by an incarnation that a later one has superseded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("lease refused for node {node}: incarnation {incarnation} is superseded by {known}")]
pub struct StaleIncarnation {
    /// Name of the node.
    pub node: Node,
    /// The incarnation that tried to renew.
    pub incarnation: Incarnation,
    /// The latest incarnation known to the leader.
    pub known: Incarnation,
}

/// The result of a renewal.
pub type Result<T> = std::result::Result<T, StaleIncarnation>;

/// The last renewal of each node. Times are durations since a monotonic origin.
#[derive(Clone, Debug)]
pub struct LeaseTable {
    timing: Timing,
    /// When the leader started or last recovered from a stall; no lease counts
    /// from an earlier time.
    grace_start: Duration,
    last_tick: Duration,
    rows: BTreeMap<Node, Row>,
    /// The last event proposed for each node, with its time.
    proposed: BTreeMap<Node, (Duration, Event)>,
}

#[derive(Clone, Debug)]
struct Row {
    first_seen: Duration,
    last_seen: Duration,
    announcement: Announcement,
}

impl LeaseTable {
    /// Creates the table of a leader whose term starts at `now`.
    pub fn new(now: Duration, timing: Timing) -> LeaseTable {
        LeaseTable {
            timing,
            grace_start: now,
            last_tick: now,
            rows: BTreeMap::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Records a renewal, unless a later incarnation of the node is known.
    ///
    /// The caller may grant the lease only once a majority has confirmed that
    /// it still leads. An incarnation that has announced its drain stays
    /// draining, even if an older announcement arrives later.
    pub fn renew(
        &mut self,
        now: Duration,
        announcement: Announcement,
        window: &Window,
    ) -> Result<()> {
        self.check_incarnation(&announcement, window)?;
        let same_incarnation =
            |row: &&Row| row.announcement.incarnation == announcement.incarnation;
        let previous = self.rows.get(&announcement.node).filter(same_incarnation);
        let leaving = previous.is_some_and(|row| row.announcement.leaving);
        let row = Row {
            first_seen: previous.map_or(now, |row| row.first_seen),
            last_seen: now,
            announcement: Announcement {
                leaving: leaving || announcement.leaving,
                ..announcement
            },
        };
        self.rows.insert(row.announcement.node.clone(), row);
        Ok(())
    }

    /// Returns the event to propose for one node, if any. Called right after the
    /// node's renewal.
    pub fn due_event(&mut self, now: Duration, node: &Node, window: &Window) -> Option<Event> {
        let event = self.next_event(now, node, window)?;
        let last = self.proposed.get(node);
        if last.is_some_and(|(at, previous)| *previous == event && now < *at + REPROPOSE_INTERVAL) {
            return None;
        }
        self.proposed.insert(node.clone(), (now, event.clone()));
        Some(event)
    }

    /// Returns the events to propose for all nodes. Must be called several times
    /// per margin, since a longer gap counts as a stall of the leader.
    pub fn tick(&mut self, now: Duration, window: &Window) -> Vec<Event> {
        if now.saturating_sub(self.last_tick) > self.timing.margin {
            self.grace_start = now;
        }
        self.last_tick = now;
        let nodes = self.rows.keys().chain(window.members().keys());
        let nodes: std::collections::BTreeSet<Node> = nodes.cloned().collect();
        let events = nodes
            .iter()
            .filter_map(|node| self.due_event(now, node, window))
            .collect();
        self.remove_expired(now);
        events
    }

    /// Returns the announcements of all nodes that renewed recently enough for their
    /// lease and margin not to have passed.
    pub fn alive(&self, now: Duration) -> impl Iterator<Item = &Announcement> {
        self.rows
            .values()
            .filter(move |row| !self.is_expired(now, Some(row)))
            .map(|row| &row.announcement)
    }

    fn check_incarnation(&self, announcement: &Announcement, window: &Window) -> Result<()> {
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

    fn next_event(&self, now: Duration, node: &Node, window: &Window) -> Option<Event> {
        let row = self.rows.get(node);
        let member = window.members().get(node);
        let leave = |reason| {
            member.map(|member| Event::Leave {
                node: node.clone(),
                incarnation: member.incarnation,
                reason,
            })
        };
        if self.is_expired(now, row) {
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

    /// Whether a lease and its margin have passed since the node's last renewal,
    /// or since the start of the grace period if that is later.
    fn is_expired(&self, now: Duration, row: Option<&Row>) -> bool {
        let last_seen = row.map_or(self.grace_start, |row| row.last_seen.max(self.grace_start));
        now.saturating_sub(last_seen) > self.timing.lease + self.timing.margin
    }

    fn may_join(&self, now: Duration, row: &Row) -> bool {
        now.saturating_sub(row.first_seen) >= self.timing.quarantine
    }

    fn remove_expired(&mut self, now: Duration) {
        let expired: Vec<Node> = self
            .rows
            .iter()
            .filter(|(_, row)| self.is_expired(now, Some(row)))
            .map(|(node, _)| node.clone())
            .collect();
        for node in expired {
            self.rows.remove(&node);
        }
        self.proposed
            .retain(|_, (at, _)| now < *at + REPROPOSE_INTERVAL);
    }
}

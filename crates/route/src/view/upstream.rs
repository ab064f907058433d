//! State of one upstream in an entry's load view.

use std::time::Duration;

use gentian_wire::agent;
use gentian_wire::id::{DataCenter, Incarnation, Node};
use strum::Display;

use super::{FreeSlots, Rank};

/// Age of a load report, in decay times, from which an entry that runs nothing at an
/// upstream may send it a request to learn its load.
const STALE_DECAY_TIMES: u32 = 2;

/// Description of an upstream by the membership view and the configuration.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the agent beside the upstream.
    pub node: Node,
    /// Incarnation of the agent, which grows with each restart.
    pub incarnation: Incarnation,
    /// Data centre of the upstream.
    pub data_center: DataCenter,
    /// Number of tasks that the upstream runs at once.
    pub slots: u32,
    /// Number of connections that the upstream accepts from one entry.
    pub connections: u32,
    /// Whether the configuration allows the upstream to take work.
    pub allowed: bool,
    /// Whether the upstream has announced that it is leaving.
    pub leaving: bool,
}

/// Load reported with an answer, measured after the answered task released its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// Incarnation of the agent that reported the load.
    pub incarnation: Incarnation,
    /// Number of tasks that the upstream runs at once.
    pub slots: u32,
    /// Number of running tasks, of all entries.
    pub busy: u32,
    /// Number of tasks that wait at the agent.
    pub waiting: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
}

impl Load {
    /// Converts the load in an answer of the agent's given incarnation.
    pub fn new(incarnation: Incarnation, load: &agent::Load) -> Load {
        Load {
            incarnation,
            slots: load.slots,
            busy: load.busy,
            waiting: load.waiting,
            leaving: load.leaving,
        }
    }
}

/// Whether an upstream is in rotation, as decided by outlier detection.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// In rotation, with all its slots.
    #[default]
    Normal,
    /// Gets one request at a time.
    Trial,
    /// Gets no requests.
    Ejected,
}

/// State of one upstream, as known to one entry.
#[derive(Debug)]
pub struct Upstream {
    member: Member,
    /// Tie-breaker between upstreams, different for each entry.
    hash: u64,
    near: bool,
    /// Removed from the view, but with requests still in flight.
    removed: bool,
    /// Load of other entries, as last reported.
    others_load: Option<OthersLoad>,
    pub(crate) in_flight: u32,
    pub(crate) standing: Standing,
    /// Current rank in the view's order, if the upstream is available.
    pub(crate) rank: Option<Rank>,
    /// Position in the view's list of available upstreams, if it is available.
    pub(crate) available_at: usize,
}

/// Weight of the newest report in the average use by other entries.
const AVERAGE_WEIGHT: f64 = 0.2;

/// How many times more slowly the average use by other entries becomes outdated than the
/// last report.
const AVERAGE_DECAY_TIMES: f64 = 8.0;

/// Load of other entries at an upstream, as last reported.
#[derive(Clone, Copy, Debug)]
struct OthersLoad {
    /// Number of other entries' tasks, running or waiting.
    tasks: u32,
    /// Moving average of the share of the slots that other entries used.
    average_share: f64,
    reported_at: Duration,
}

impl Upstream {
    pub(crate) fn new(member: Member, hash: u64, near: bool) -> Upstream {
        Upstream {
            member,
            hash,
            near,
            removed: false,
            others_load: None,
            in_flight: 0,
            standing: Standing::Normal,
            rank: None,
            available_at: 0,
        }
    }

    /// Name of the agent beside the upstream.
    pub fn node(&self) -> &Node {
        &self.member.node
    }

    /// Incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// Data centre of the upstream.
    pub fn data_center(&self) -> &DataCenter {
        &self.member.data_center
    }

    /// Number of tasks that the upstream runs at once.
    pub fn slots(&self) -> u32 {
        self.member.slots
    }

    /// Number of this entry's requests in flight to the upstream.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether the upstream is in rotation, on trial or ejected.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether the upstream is leaving, according to the membership view or its own
    /// reports.
    pub fn is_leaving(&self) -> bool {
        self.member.leaving
    }

    /// Whether the upstream may take work at all: it is in the view, allowed, not leaving
    /// and not ejected.
    pub fn takes_work(&self) -> bool {
        !self.removed
            && self.member.allowed
            && !self.member.leaving
            && self.standing != Standing::Ejected
    }

    /// Whether the upstream may be sent another request, going only by what this entry
    /// knows for certain: the upstream's state and the entry's own requests there.
    pub fn is_open(&self) -> bool {
        self.takes_work() && self.in_flight < self.limit()
    }

    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn is_near(&self) -> bool {
        self.near
    }

    pub(crate) fn is_removed(&self) -> bool {
        self.removed
    }

    /// Marks the upstream as removed and drops its load reports.
    pub(crate) fn mark_removed(&mut self) {
        self.removed = true;
        self.others_load = None;
    }

    /// Updates the description. An older incarnation is ignored; a newer one drops what
    /// was known of the load and standing.
    pub(crate) fn update_member(&mut self, member: Member, near: bool) {
        if member.incarnation < self.member.incarnation {
            return;
        }
        let restarted = member.incarnation > self.member.incarnation;
        let leaving = member.leaving || (self.member.leaving && !restarted);
        if restarted {
            self.others_load = None;
            self.standing = Standing::Normal;
        }
        self.removed = false;
        self.near = near;
        self.member = Member { leaving, ..member };
    }

    /// Records the load reported with an answer. A report of another incarnation than the
    /// one in the view is ignored.
    pub(crate) fn record_load(&mut self, load: Load, now: Duration) {
        if self.removed || load.incarnation != self.member.incarnation {
            return;
        }
        self.member.slots = load.slots;
        self.member.leaving |= load.leaving;
        let total = load.busy.saturating_add(load.waiting);
        let others = total.saturating_sub(self.in_flight);
        let share = f64::from(others) / f64::from(self.member.slots.max(1));
        let average_share = self.others_load.map_or(share, |previous| {
            previous.average_share + (share - previous.average_share) * AVERAGE_WEIGHT
        });
        self.others_load = Some(OthersLoad {
            tasks: others,
            average_share,
            reported_at: now,
        });
    }

    /// Share of the slots that other entries used at the last report.
    pub(crate) fn reported_share(&self) -> Option<f64> {
        let reported = self.others_load.as_ref()?;
        Some(f64::from(reported.tasks) / f64::from(self.member.slots.max(1)))
    }

    /// Estimates the free slots. With the decay time `decay_time`, the reported use by
    /// other entries moves towards its average at this upstream, and more slowly towards
    /// `mean_share`, the mean over all upstreams.
    pub(crate) fn free_slots(
        &self,
        mean_share: f64,
        decay_time: Duration,
        now: Duration,
    ) -> FreeSlots {
        let slots = f64::from(self.member.slots);
        let validity = self.validity(decay_time, now);
        let average = self.others_load.map_or(mean_share, |reported| {
            mean_share
                + (reported.average_share - mean_share) * validity.powf(1.0 / AVERAGE_DECAY_TIMES)
        });
        let reported = self.reported_share().unwrap_or(average);
        let others = (average + (reported - average) * validity) * slots;
        let expected = slots - f64::from(self.in_flight) - others;
        // Tasks that started since the report are assumed to arrive independently of one
        // another.
        let deviation = (average * slots * (1.0 - validity * validity)).sqrt();
        let cautious = expected - deviation;
        FreeSlots { expected, cautious }
    }

    /// Whether the load is unknown and will stay so: the last report is outdated, and no
    /// request of this entry is in flight that could bring a new one.
    pub(crate) fn is_load_unknown(&self, decay_time: Duration, now: Duration) -> bool {
        let old = |age| age >= decay_time * STALE_DECAY_TIMES;
        self.in_flight == 0 && self.age(now).is_none_or(old)
    }

    /// How much of the last report still holds, decaying from 1 to 0 with its age.
    fn validity(&self, decay_time: Duration, now: Duration) -> f64 {
        let decay_times = |age: Duration| age.as_secs_f64() / decay_time.as_secs_f64();
        self.age(now).map_or(0.0, |age| (-decay_times(age)).exp())
    }

    /// Age of the last load report.
    fn age(&self, now: Duration) -> Option<Duration> {
        let reported = self.others_load.as_ref()?;
        Some(now.saturating_sub(reported.reported_at))
    }

    /// Largest number of this entry's requests that may be in flight.
    fn limit(&self) -> u32 {
        match self.standing {
            Standing::Normal => self.member.slots.min(self.member.connections),
            Standing::Trial => 1,
            Standing::Ejected => 0,
        }
    }
}

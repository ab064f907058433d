//! One upstream's record in the view of an entry.

use std::time::Duration;

use gentian_wire::agent;
use gentian_wire::id::{DataCenter, Incarnation, Node};
use strum::Display;

use super::{Free, Rank};

/// Settle times without news after which an entry that runs nothing at an
/// upstream may send one request to learn its load.
const UNKNOWN_SETTLES: u32 = 2;

/// An upstream as the membership view and the configuration describe it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Name of the agent beside the upstream.
    pub node: Node,
    /// The agent's run.
    pub incarnation: Incarnation,
    /// Where it is.
    pub data_center: DataCenter,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Connections it accepts from one entry.
    pub connections: u32,
    /// Whether the configuration lets it take work.
    pub allowed: bool,
    /// Whether it announced that it is leaving.
    pub leaving: bool,
}

/// Load that an answer told, taken after the answered task gave up its slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Load {
    /// The run of the agent that told it.
    pub incarnation: Incarnation,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Tasks that run now, of all entries.
    pub busy: u32,
    /// Tasks that wait at the agent.
    pub waiting: u32,
    /// Whether it is leaving.
    pub leaving: bool,
}

impl Load {
    /// Load from an answer of the agent's run `incarnation`.
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

/// Whether an upstream takes part, by its record of failures.
#[derive(Clone, Copy, Debug, Default, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// Takes work up to its slots.
    #[default]
    Normal,
    /// Takes one request at a time.
    Trial,
    /// Takes no work.
    Ejected,
}

/// One upstream, as one entry knows it.
#[derive(Debug)]
pub struct Upstream {
    member: Member,
    hash: u64,
    near: bool,
    retired: bool,
    told: Option<Told>,
    pub(crate) in_flight: u32,
    pub(crate) standing: Standing,
    pub(crate) placed: Option<Rank>,
    pub(crate) opened: usize,
}

/// Weight of the newest news in what others usually run.
const USUAL_WEIGHT: f64 = 0.2;

/// Settle times after which what others usually ran has mostly changed too.
const USUAL_SETTLES: f64 = 8.0;

/// What others ran, as last told.
#[derive(Clone, Copy, Debug)]
struct Told {
    others: u32,
    /// Share of the slots that others used on average.
    usual: f64,
    at: Duration,
}

impl Upstream {
    pub(crate) fn new(member: Member, hash: u64, near: bool) -> Upstream {
        Upstream {
            member,
            hash,
            near,
            retired: false,
            told: None,
            in_flight: 0,
            standing: Standing::Normal,
            placed: None,
            opened: 0,
        }
    }

    /// Name of the agent beside it.
    pub fn node(&self) -> &Node {
        &self.member.node
    }

    /// The agent's run.
    pub fn incarnation(&self) -> Incarnation {
        self.member.incarnation
    }

    /// Where it is.
    pub fn data_center(&self) -> &DataCenter {
        &self.member.data_center
    }

    /// Tasks it runs at once.
    pub fn slots(&self) -> u32 {
        self.member.slots
    }

    /// Requests of this entry in flight to it.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether it takes part, is on trial or is ejected.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether it is leaving, by the membership view or by its own word.
    pub fn is_leaving(&self) -> bool {
        self.member.leaving
    }

    /// Whether it may take work at all: in the view, allowed, not leaving and
    /// not ejected.
    pub fn takes_work(&self) -> bool {
        !self.retired
            && self.member.allowed
            && !self.member.leaving
            && self.standing != Standing::Ejected
    }

    /// Whether it may be sent one more request as far as this entry can tell
    /// for certain.
    pub fn is_open(&self) -> bool {
        self.takes_work() && self.in_flight < self.limit()
    }

    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }

    pub(crate) fn is_near(&self) -> bool {
        self.near
    }

    pub(crate) fn is_retired(&self) -> bool {
        self.retired
    }

    /// Takes no more work and tells nothing more.
    pub(crate) fn retire(&mut self) {
        self.retired = true;
        self.told = None;
    }

    /// Takes over what the membership view says now.
    pub(crate) fn renew(&mut self, member: Member, near: bool) {
        if member.incarnation < self.member.incarnation {
            return;
        }
        let restarted = member.incarnation > self.member.incarnation;
        let leaving = member.leaving || (self.member.leaving && !restarted);
        if restarted {
            self.told = None;
            self.standing = Standing::Normal;
        }
        self.retired = false;
        self.near = near;
        self.member = Member { leaving, ..member };
    }

    /// Takes over the load that an answer told. An answer of another run than
    /// the one in the view says nothing of this one.
    pub(crate) fn learn(&mut self, load: Load, now: Duration) {
        if self.retired || load.incarnation != self.member.incarnation {
            return;
        }
        self.member.slots = load.slots;
        self.member.leaving |= load.leaving;
        let all = load.busy.saturating_add(load.waiting);
        let others = all.saturating_sub(self.in_flight);
        let share = f64::from(others) / f64::from(self.member.slots.max(1));
        let usual = self.told.map_or(share, |told| {
            told.usual + (share - told.usual) * USUAL_WEIGHT
        });
        self.told = Some(Told {
            others,
            usual,
            at: now,
        });
    }

    /// Share of the slots that others used when it was last told.
    pub(crate) fn told_share(&self) -> Option<f64> {
        let told = self.told.as_ref()?;
        Some(f64::from(told.others) / f64::from(self.member.slots.max(1)))
    }

    /// Slots believed free, where others' tasks change within `settle`: what
    /// was told moves towards what is usual here, and that in the long run
    /// towards the share `mean` that is usual elsewhere.
    pub(crate) fn free(&self, mean: f64, settle: Duration, now: Duration) -> Free {
        let slots = f64::from(self.member.slots);
        let known = self.known(settle, now);
        let usual = self.told.map_or(mean, |told| {
            mean + (told.usual - mean) * known.powf(1.0 / USUAL_SETTLES)
        });
        let told = self.told_share().unwrap_or(usual);
        let others = (usual + (told - usual) * known) * slots;
        let likely = slots - f64::from(self.in_flight) - others;
        // Tasks that began since the news come independently of one another.
        let deviation = (usual * slots * (1.0 - known * known)).sqrt();
        let cautious = likely - deviation;
        Free { likely, cautious }
    }

    /// Whether nothing of ours runs there that could tell the load, and what
    /// was told is old.
    pub(crate) fn is_unknown(&self, settle: Duration, now: Duration) -> bool {
        let old = |age| age >= settle * UNKNOWN_SETTLES;
        self.in_flight == 0 && self.age(now).is_none_or(old)
    }

    /// How much of what was told still holds, from 0 to 1.
    fn known(&self, settle: Duration, now: Duration) -> f64 {
        let settles = |age: Duration| age.as_secs_f64() / settle.as_secs_f64();
        self.age(now).map_or(0.0, |age| (-settles(age)).exp())
    }

    fn age(&self, now: Duration) -> Option<Duration> {
        let told = self.told.as_ref()?;
        Some(now.saturating_sub(told.at))
    }

    fn limit(&self) -> u32 {
        match self.standing {
            Standing::Normal => self.member.slots.min(self.member.connections),
            Standing::Trial => 1,
            Standing::Ejected => 0,
        }
    }
}

//! Runs of tasks under leases, as the agent beside an upstream keeps them.
//!
//! Nothing that an entry started may outlive the entry's lease, and nothing at
//! the upstream may outlive the agent: the upstream itself kills what runs once
//! its own lease lapses, and that lease never reaches beyond those of the
//! entries. So whoever has lost sight of a run knows when it is gone, and may
//! start its task again elsewhere.
//!
//! A start that got no answer may still be carried out until its lease has
//! passed. Such a run is told to stop, which also keeps it from starting later,
//! and it counts as never begun once the upstream, asked after that, doesn't
//! list it.

mod ledger;
mod live;
mod pace;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node};
use gentian_wire::need::Need;

use ledger::Ended;
use live::{Live, Phase};
use pace::Pace;

/// Longest lease of an upstream, and of an entry at an agent.
pub const MAX_LEASE: Duration = Duration::from_millis(500);

/// By how much slower than ours an upstream's clock may run, as a fraction.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Longest time that an upstream takes to end a run whose lease has lapsed.
pub const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time after which a stop that had no effect yet is sent again.
const STOP_AGAIN: Duration = Duration::from_millis(100);

/// After this time without an order, what an entry had running at an agent is
/// gone, whatever has become of the agent: the entry's lease there, the
/// upstream's lease that was granted last within it, and its end.
pub fn max_orphan_lifetime() -> Duration {
    (MAX_LEASE + MAX_LEASE).mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_GRACE
}

/// One start of a task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Run {
    /// The task's name.
    pub task: Arc<str>,
    /// Number of the start; later ones have higher numbers.
    pub number: u64,
}

impl fmt::Display for Run {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} run {}", self.task, self.number)
    }
}

/// An entry that orders runs.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Owner {
    /// Its name.
    pub entry: Node,
    /// Tells it from its earlier runs.
    pub incarnation: Incarnation,
}

/// What became of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It did its work.
    Done,
    /// It failed.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease lapsed, or its upstream is gone.
    Lost,
    /// It never ran.
    Refused(Refusal),
}

impl Fate {
    /// Whether the upstream has told this end itself.
    fn is_told(self) -> bool {
        matches!(self, Fate::Done | Fate::Failed | Fate::Stopped)
    }
}

/// Why a run was not begun.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// There is no room for it.
    Full,
    /// The upstream leaves, is not there, or has been replaced.
    Closed,
    /// The order came after its lease.
    Expired,
    /// This run or a later one was there before.
    OldRun,
    /// The upstream itself refuses to work.
    Unhealthy,
    /// The upstream did not answer, and has not begun.
    NoAnswer,
    /// The upstream can't make sense of it.
    Invalid,
}

/// A run that has ended, for its owner to hear.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunEnd {
    /// Who ordered it.
    pub owner: Owner,
    /// The run.
    pub run: Run,
    /// What became of it.
    pub fate: Fate,
    /// How long it ran, as seen from here.
    pub ran: Duration,
}

/// How the upstream answered a start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartAnswer {
    /// The run is there.
    Running,
    /// It is not, and will not be.
    Refused(Refusal),
    /// There was no answer: it may be there, or come yet.
    Unknown,
}

/// What an upstream lists as running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: Run,
    /// How far it is.
    pub percent: u32,
}

/// What an upstream lists as ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedEnd {
    /// Number of the end at this incarnation of the upstream, from 1.
    pub number: u64,
    /// The run.
    pub run: Run,
    /// What became of it.
    pub fate: Fate,
}

/// A lease on its way to the upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LeaseGrant(u64);

/// The runs at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    capacity: Need,
    open: bool,
    live: BTreeMap<Run, Live>,
    leases: BTreeMap<Owner, Duration>,
    ended: Ended,
    looks: u64,
    seen: u64,
    strays: Vec<Run>,
    granted_until: Duration,
    /// Leases on their way to the upstream, and when each would be over.
    granting: BTreeMap<LeaseGrant, Duration>,
    grants: u64,
    pace: Pace,
}

impl Runs {
    /// Takes in what the upstream has, and whether it takes new runs.
    pub fn set_upstream(&mut self, capacity: Need, open: bool) {
        self.capacity = capacity;
        self.open = open;
    }

    /// Whether new runs are taken.
    pub fn is_open(&self) -> bool {
        self.open
    }

    /// What the upstream has.
    pub fn capacity(&self) -> Need {
        self.capacity
    }

    /// What the runs of all entries but `owner` take.
    pub fn used_by_others(&self, owner: &Owner) -> Need {
        let others = self.live.values().filter(|live| live.owner != *owner);
        others.fold(Need::default(), |sum, live| sum.plus(live.need))
    }

    /// What all runs take.
    pub fn used(&self) -> Need {
        let needs = self.live.values().map(|live| live.need);
        needs.fold(Need::default(), Need::plus)
    }

    /// Runs that are there or may be.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether nothing runs, and nothing may.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Takes in an owner's lease; an older one changes nothing.
    pub fn renew_lease(&mut self, owner: &Owner, until: Duration, now: Duration) {
        let until = until.min(now + MAX_LEASE);
        let lease = self.leases.entry(owner.clone()).or_default();
        *lease = until.max(*lease);
    }

    /// Admits a run, which is then to be started at the upstream.
    pub fn admit(
        &mut self,
        owner: &Owner,
        run: &Run,
        need: Need,
        now: Duration,
    ) -> Result<(), Refusal> {
        self.check_admission(owner, run, need, now)?;
        let live = Live::new(owner.clone(), need, now);
        self.live.insert(run.clone(), live);
        Ok(())
    }

    fn check_admission(
        &self,
        owner: &Owner,
        run: &Run,
        need: Need,
        now: Duration,
    ) -> Result<(), Refusal> {
        if !self.open {
            return Err(Refusal::Closed);
        }
        if self.leases.get(owner).is_none_or(|until| *until <= now) {
            return Err(Refusal::Expired);
        }
        if self.of_task(run).next().is_some() || self.ended.has_later(run) {
            return Err(Refusal::OldRun);
        }
        if !self.used().plus(need).fits(self.capacity) {
            return Err(Refusal::Full);
        }
        Ok(())
    }

    /// Runs of the same task that are there or may be.
    fn of_task<'a>(&'a self, run: &'a Run) -> impl Iterator<Item = &'a Run> {
        let first = Run {
            task: run.task.clone(),
            number: 0,
        };
        let same = self.live.range(first..).map(|(live, _)| live);
        same.take_while(|live| live.task == run.task)
    }

    /// Until when the upstream's lease may last: no longer than [`MAX_LEASE`], nor
    /// than the longest lease of an owner that has something there.
    pub fn upstream_lease(&self, now: Duration) -> Option<Duration> {
        let owners = self.live.values().filter(|live| !live.stop);
        let until = owners
            .filter_map(|live| self.leases.get(&live.owner))
            .max()?;
        let until = (*until).min(now + MAX_LEASE);
        (until > now).then_some(until)
    }

    /// Notes that the upstream is sent a lease that ends at `until`.
    pub fn begin_grant(&mut self, until: Duration, now: Duration) -> LeaseGrant {
        let length = until.saturating_sub(now).mul_f64(1.0 + MAX_CLOCK_DRIFT);
        self.grants += 1;
        let grant = LeaseGrant(self.grants);
        self.granting.insert(grant, now + length + STOP_GRACE);
        grant
    }

    /// Notes whether a lease may have reached the upstream.
    pub fn end_grant(&mut self, grant: LeaseGrant, reached: bool) {
        let until = self.granting.remove(&grant).unwrap_or_default();
        if reached {
            self.granted_until = self.granted_until.max(until);
        }
    }

    /// When everything at the upstream must be over unless more is granted.
    fn over_at(&self) -> Duration {
        let granting = self.granting.values().copied().max();
        self.granted_until.max(granting.unwrap_or_default())
    }

    /// Takes in the answer to a start.
    pub fn apply_start_answer(
        &mut self,
        run: &Run,
        answer: StartAnswer,
        now: Duration,
    ) -> Option<RunEnd> {
        let looks = self.looks;
        let granted_until = self.over_at();
        let live = self.live.get_mut(run)?;
        if !matches!(live.phase, Phase::Starting) {
            return None;
        }
        match answer {
            StartAnswer::Running => {
                live.phase = Phase::Running { after: looks };
                None
            }
            StartAnswer::Refused(refusal) => self.end(run, Fate::Refused(refusal), now),
            StartAnswer::Unknown => {
                live.phase = Phase::Unsure {
                    until: granted_until,
                    after: None,
                };
                live.stop = true;
                live.unsure = true;
                None
            }
        }
    }

    /// Wants a run stopped.
    pub fn request_stop(&mut self, owner: &Owner, run: &Run) {
        if let Some(live) = self.live.get_mut(run) {
            if live.owner == *owner {
                live.stop = true;
            }
        }
    }

    /// The runs that the upstream is to be told to stop now.
    pub fn take_due_stops(&mut self, now: Duration) -> Vec<Run> {
        for live in self.live.values_mut() {
            let lease = self.leases.get(&live.owner).copied().unwrap_or_default();
            live.stop |= lease <= now;
        }
        let mut due = std::mem::take(&mut self.strays);
        for (run, live) in &mut self.live {
            if live.stop_is_due(now) {
                live.stopped_at = Some(now);
                due.push(run.clone());
            }
        }
        due
    }

    /// Notes that the upstream has answered a stop: what was not there by then
    /// will not come.
    pub fn stop_answered(&mut self, run: &Run) {
        let looks = self.looks;
        if let Some(live) = self.live.get_mut(run) {
            if let Phase::Unsure { after, .. } = &mut live.phase {
                *after = after.or(Some(looks));
            }
        }
    }

    /// Number of a look that is about to be taken.
    pub fn begin_poll(&mut self) -> u64 {
        self.looks += 1;
        self.looks
    }

    /// Highest end that is noted, for the upstream to forget.
    pub fn last_seen_end(&self) -> u64 {
        self.seen
    }

    /// Takes in what the look of the given number found.
    pub fn apply_poll(
        &mut self,
        look: u64,
        running: &[ListedRun],
        listed: &[ListedEnd],
        now: Duration,
    ) -> Vec<RunEnd> {
        let mut ends = Vec::new();
        for end in listed {
            if end.number > self.seen {
                self.seen = end.number;
                ends.extend(self.ended_there(end, now));
            }
        }
        let (mut work, mut time) = (0.0, 0.0);
        for found in running {
            match self.live.get_mut(&found.run) {
                Some(live) => {
                    let step = live.found(found.percent, look, now);
                    let (done, took) = step.unwrap_or_default();
                    work += done;
                    time += took;
                }
                // A look may be overtaken by a later one that told the end.
                None if self.ended.fate(&found.run).is_some_and(Fate::is_told) => {}
                None if self.strays.contains(&found.run) => {}
                None => self.strays.push(found.run.clone()),
            }
        }
        self.pace.observe(work, time, now);
        let missing = self.missing(running, look, now);
        ends.extend(
            missing
                .into_iter()
                .filter_map(|(run, fate)| self.end(&run, fate, now)),
        );
        ends
    }

    fn ended_there(&mut self, end: &ListedEnd, now: Duration) -> Option<RunEnd> {
        let unsure = self.live.get(&end.run)?.unsure;
        let fate = match end.fate {
            Fate::Stopped if unsure => Fate::Lost,
            fate => fate,
        };
        self.end(&end.run, fate, now)
    }

    /// Runs whose progress their owners should hear of: those that have run
    /// longer than expected.
    pub fn slow_runs(&self, now: Duration) -> impl Iterator<Item = (&Owner, &Run, u32)> {
        let live = self.live.iter();
        let slow = live.filter(move |(_, live)| live.is_slow(now));
        slow.map(|(run, live)| (&live.owner, run, live.percent))
    }

    /// Says how long a run is expected to take.
    pub fn set_estimate(&mut self, run: &Run, estimate: Duration) {
        if let Some(live) = self.live.get_mut(run) {
            live.estimate = estimate;
        }
    }

    /// The time that runs take here over what was expected of them, where known.
    pub fn pace(&self) -> Option<f64> {
        self.pace.get()
    }

    /// Ends whatever must be gone by now since the upstream's lease has lapsed.
    pub fn end_lapsed(&mut self, now: Duration) -> Vec<RunEnd> {
        if now < self.over_at() {
            return Vec::new();
        }
        let starting = |live: &Live| matches!(live.phase, Phase::Starting);
        let gone = self.live.iter().filter(|(_, live)| !starting(live));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        self.end_all(&gone, now)
    }

    /// Ends what was there, since the upstream is another one now.
    ///
    /// Starts that got no answer yet may be carried out by the new one, where it
    /// has the id of the last: they are told to stop there like all others of
    /// which nothing is known.
    pub fn upstream_replaced(&mut self, now: Duration) -> Vec<RunEnd> {
        self.seen = 0;
        self.strays.clear();
        self.granted_until = Duration::ZERO;
        self.granting.clear();
        self.pace = Pace::default();
        let mut gone = Vec::new();
        for (run, live) in &mut self.live {
            match &mut live.phase {
                Phase::Running { .. } => gone.push(run.clone()),
                Phase::Starting => self.granted_until = now + max_orphan_lifetime(),
                Phase::Unsure { until, after } => {
                    self.granted_until = now + max_orphan_lifetime();
                    (*until, *after) = (self.granted_until, None);
                    live.stopped_at = None;
                }
            }
        }
        self.end_all(&gone, now)
    }

    fn end_all(&mut self, runs: &[Run], now: Duration) -> Vec<RunEnd> {
        let ends = runs.iter().filter_map(|run| self.end(run, Fate::Lost, now));
        ends.collect()
    }

    /// Compares what an owner believes with what there is: what it doesn't know
    /// is stopped, and what it need not hope for is told.
    pub fn reconcile(&mut self, owner: &Owner, known: &[Run], now: Duration) -> Vec<RunEnd> {
        for (run, live) in &mut self.live {
            live.stop |= live.owner == *owner && !known.contains(run);
        }
        let gone = known.iter().filter(|run| !self.live.contains_key(*run));
        let told = gone.map(|run| RunEnd {
            owner: owner.clone(),
            run: run.clone(),
            fate: self.ended.fate(run).unwrap_or(Fate::Lost),
            ran: Duration::ZERO,
        });
        let told = told.collect();
        self.ended.prune(now);
        told
    }

    fn end(&mut self, run: &Run, fate: Fate, now: Duration) -> Option<RunEnd> {
        let live = self.live.remove(run)?;
        self.ended.push(run.clone(), fate, now);
        if !self.live.values().any(|other| other.owner == live.owner) {
            let over = |until: &Duration| *until <= now;
            self.leases
                .retain(|owner, until| *owner != live.owner || !over(until));
        }
        Some(RunEnd {
            owner: live.owner,
            run: run.clone(),
            fate,
            ran: now.saturating_sub(live.since),
        })
    }

    /// The runs that should be listed as running and are not, with what that means.
    fn missing(&self, running: &[ListedRun], look: u64, now: Duration) -> Vec<(Run, Fate)> {
        let listed: BTreeSet<&Run> = running.iter().map(|found| &found.run).collect();
        let missing = self.live.iter().filter(|(run, _)| !listed.contains(run));
        let judged = missing.map(|(run, live)| Some((run.clone(), live.missing(look, now)?)));
        judged.flatten().collect()
    }
}

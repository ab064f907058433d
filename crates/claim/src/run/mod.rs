//! Runs of tasks under leases, as tracked by the agent beside an upstream.
//!
//! A run must not outlive the lease of the entry that ordered it, nor run on for
//! long after its agent has died. The upstream therefore kills its runs once its
//! own lease lapses, and the agent never grants it a lease that ends after the
//! last of the entries' leases. An entry that loses contact with a run thus
//! knows when the run must be gone, and may then start the task again elsewhere.
//!
//! The upstream has one lease for all its runs. While a run may be there whose entry has
//! given it up, or whose entry's lease has lapsed, no lease is granted beyond [`MAX_LEASE`]
//! after that time, whatever the other entries hold: if the stop of that run doesn't take
//! effect, all runs lapse.
//!
//! A poll that lists a run is as good as the answer to its start. Without either, the
//! start may still be carried out until its lease has lapsed. The agent sends a stop
//! for such a run, which also prevents the run from starting later. If a poll that
//! begins after the stop was answered doesn't list the run, the run has never begun.
//!
//! A new process of the upstream knows neither the fencing tokens nor the deadlines that the
//! former one has seen. Each gets a higher token than the one before, so that an order with it
//! fences off all that were sent before. See [`Replacement`].

mod admission;
mod crash;
mod grant;
mod live;
mod pace;
mod recent_ends;
mod replacement;
mod requirement;
mod types;
mod upstream_clock;
mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gentian_wire::need::Need;

use crate::crash::CrashedRun;
use live::{LiveRun, Phase};
use pace::Pace;
use recent_ends::RecentEnds;

pub use grant::LeaseGrant;
pub use replacement::{Replacement, MAX_ORDER_DELAY};
pub use requirement::{Kind, Requirement};
pub use types::{
    Fate, Isolation, ListedEnd, ListedRun, Owner, Refusal, Run, RunEnd, Start, StartAnswer,
};
pub use upstream_clock::UpstreamClock;

/// Longest lease of an upstream, and longest lease of an entry at an agent.
pub const MAX_LEASE: Duration = Duration::from_millis(500);

/// Largest fraction by which an upstream's clock may run slower than the agent's.
pub const MAX_CLOCK_DRIFT: f64 = 0.02;

/// Longest time that an upstream takes to end a run whose lease has lapsed.
pub const STOP_GRACE: Duration = Duration::from_millis(100);

/// Time after which a stop is sent again to a run that has not ended.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Time after an entry's last order to an agent until all of the entry's runs
/// there are gone, even if the agent has died.
///
/// It is the sum of the entry's lease, the upstream's lease that the agent may
/// have granted at the end of it, and the time that the upstream takes to end
/// its runs. The leases count for longer by the largest clock drift.
pub fn max_orphan_lifetime() -> Duration {
    (MAX_LEASE + MAX_LEASE).mul_f64(1.0 + MAX_CLOCK_DRIFT) + STOP_GRACE
}

/// The runs at one upstream.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    capacity: Need,
    /// What the upstream is; `None` before it is known.
    kind: Option<Kind>,
    /// Whether the upstream takes new runs.
    open: bool,
    /// Whether the configuration gives the upstream no work, or is not known yet.
    denied: bool,
    /// Whether all runs at the upstream are known here. An agent that has restarted doesn't
    /// know what it had started before, nor what capacity that uses.
    complete: bool,
    live: BTreeMap<Run, LiveRun>,
    /// Ends of the owners' leases.
    leases: BTreeMap<Owner, Duration>,
    recent_ends: RecentEnds,
    /// Number of the last poll.
    polls: u64,
    /// Highest sequence number of an end that was handled.
    last_seen_end: u64,
    /// Runs to be stopped that the upstream lists as running, though no entry has ordered
    /// them or they already count as lost.
    unknown_runs: Vec<Run>,
    /// When polls began to list runs that are to be stopped and are not in `live`, if the
    /// last one did.
    unknown_since: Option<Duration>,
    /// When the runs under all leases that may have reached the upstream must be
    /// gone.
    gone_at: Duration,
    /// Leases that are being sent to the upstream, each with the time at which all runs
    /// would be gone if it is the last lease to arrive.
    pending_grants: BTreeMap<LeaseGrant, Duration>,
    /// Number of grants so far, which numbers the next.
    grants: u64,
    /// Runs that ended because the upstream's lease lapsed, and which it has not been
    /// heard of since. If it turns out to have crashed, they were there.
    lost_in_silence: Vec<CrashedRun>,
    /// Number of jobs that were completed here by the present process of the upstream.
    completed_jobs: u32,
    pace: Pace,
}

impl Runs {
    /// Sets the upstream's capacity and whether it takes new runs.
    pub fn set_upstream(&mut self, capacity: Need, open: bool) {
        self.capacity = capacity;
        self.open = open;
    }

    /// Sets what the upstream is.
    pub fn set_kind(&mut self, kind: Kind) {
        self.kind = Some(kind);
    }

    /// What the upstream is, if that is known.
    pub fn kind(&self) -> Option<&Kind> {
        self.kind.as_ref()
    }

    /// Sets whether the configuration gives the upstream no work, or is not known yet.
    /// Runs that were admitted before go on.
    pub fn set_denied(&mut self, denied: bool) {
        self.denied = denied;
    }

    /// Whether the configuration gives the upstream no work, or is not known yet.
    pub fn is_denied(&self) -> bool {
        self.denied
    }

    /// Whether new runs are admitted. None are until a poll has listed no run that is
    /// unknown here.
    pub fn is_open(&self) -> bool {
        self.open && self.complete && !self.denied
    }

    /// Whether all runs at the upstream are known here.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Capacity of the upstream.
    pub fn capacity(&self) -> Need {
        self.capacity
    }

    /// Number of runs that are, or may be, at the upstream.
    pub fn len(&self) -> usize {
        self.live.len()
    }

    /// Whether no run is, or may be, at the upstream.
    pub fn is_empty(&self) -> bool {
        self.live.is_empty()
    }

    /// Handles the answer to a start. Returns the end of the run if it was refused.
    pub fn apply_start_answer(
        &mut self,
        run: &Run,
        answer: StartAnswer,
        now: Duration,
    ) -> Option<RunEnd> {
        let polls = self.polls;
        let gone_at = self.all_gone_at();
        let live = self.live.get_mut(run)?;
        if !matches!(live.phase, Phase::Starting) {
            return None;
        }
        match answer {
            StartAnswer::Running => {
                live.phase = Phase::Running { after: polls };
                None
            }
            StartAnswer::Refused(refusal) => self.end(run, Fate::Refused(refusal), now),
            StartAnswer::Unknown => {
                live.set_unanswered(gone_at);
                None
            }
        }
    }

    /// Requests the stop of a run, if `owner` ordered it.
    pub fn request_stop(&mut self, owner: &Owner, run: &Run, now: Duration) {
        if let Some(live) = self.live.get_mut(run) {
            if live.owner == *owner {
                live.give_up(now);
            }
        }
    }

    /// The runs for which a stop is to be sent to the upstream now, including those
    /// whose owner's lease has ended. Counts the stops as sent.
    pub fn take_due_stops(&mut self, now: Duration) -> Vec<Run> {
        for live in self.live.values_mut() {
            let lease = self.leases.get(&live.owner).copied().unwrap_or_default();
            live.stop_requested |= lease <= now;
        }
        let mut due = std::mem::take(&mut self.unknown_runs);
        for (run, live) in &mut self.live {
            if live.stop_is_due(now) {
                live.stop_sent_at = Some(now);
                due.push(run.clone());
            }
        }
        due
    }

    /// Records that the upstream has answered a stop: if the run had not begun by
    /// then, it never will.
    pub fn stop_answered(&mut self, run: &Run) {
        let polls = self.polls;
        if let Some(live) = self.live.get_mut(run) {
            if let Phase::Unanswered { after, .. } = &mut live.phase {
                *after = after.or(Some(polls));
            }
        }
    }

    /// Begins a poll of the upstream's list of runs and returns its number.
    pub fn begin_poll(&mut self) -> u64 {
        self.polls += 1;
        self.polls
    }

    /// Highest sequence number of an end that was handled. The upstream may forget
    /// the ends up to this one.
    pub fn last_seen_end(&self) -> u64 {
        self.last_seen_end
    }

    /// Handles the answer to the poll of the given number. Returns the runs that
    /// have ended.
    pub fn apply_poll(
        &mut self,
        poll: u64,
        running: &[ListedRun],
        listed: &[ListedEnd],
        now: Duration,
    ) -> Vec<RunEnd> {
        self.lost_in_silence.clear();
        let mut ends = Vec::new();
        for end in listed {
            if end.number > self.last_seen_end {
                self.last_seen_end = end.number;
                ends.extend(self.apply_listed_end(end, now));
            }
        }
        let (mut expected, mut actual) = (0.0, 0.0);
        let mut any_unknown = false;
        for found in running {
            match self.live.get_mut(&found.run) {
                Some(live) => {
                    let times = live.found(found.percent, poll, now);
                    let (run_expected, run_actual) = times.unwrap_or_default();
                    expected += run_expected;
                    actual += run_actual;
                }
                // A later poll may have overtaken this one and reported the end.
                None if self
                    .recent_ends
                    .fate(&found.run)
                    .is_some_and(Fate::is_reported) => {}
                None => {
                    any_unknown = true;
                    if !self.unknown_runs.contains(&found.run) {
                        self.unknown_runs.push(found.run.clone());
                    }
                }
            }
        }
        self.unknown_since = any_unknown.then(|| self.unknown_since.unwrap_or(now));
        self.pace.observe(expected, actual, now);
        self.complete |= running
            .iter()
            .all(|found| self.live.contains_key(&found.run));
        let listed: BTreeSet<&Run> = running.iter().map(|found| &found.run).collect();
        for (run, live) in &mut self.live {
            if !listed.contains(run) {
                live.not_found(poll);
            }
        }
        let missing = self.missing(&listed, poll, now);
        ends.extend(
            missing
                .into_iter()
                .filter_map(|(run, fate)| self.end(&run, fate, now)),
        );
        ends
    }

    /// Handles one listed end. A run whose start got no answer is stopped for that reason,
    /// even if its owner has ordered no stop, so its stop is reported as a loss.
    fn apply_listed_end(&mut self, end: &ListedEnd, now: Duration) -> Option<RunEnd> {
        let start_unanswered = self.live.get(&end.run)?.start_unanswered;
        let fate = match end.fate {
            Fate::Stopped if start_unanswered => Fate::Lost,
            fate => fate,
        };
        self.end(&end.run, fate, now)
    }

    /// Runs that have taken much longer than estimated, with their progress, which
    /// is reported to their owners.
    pub fn slow_runs(&self, now: Duration) -> impl Iterator<Item = (&Owner, &Run, u32)> {
        let live = self.live.iter();
        let slow = live.filter(move |(_, live)| live.is_slow(now));
        slow.map(|(run, live)| (&live.owner, run, live.percent))
    }

    /// Sets how long a run is expected to take.
    pub fn set_estimate(&mut self, run: &Run, estimate: Duration) {
        if let Some(live) = self.live.get_mut(run) {
            live.estimate = estimate;
        }
    }

    /// Ratio of the actual to the expected run time at this upstream, if known.
    pub fn pace(&self) -> Option<f64> {
        self.pace.get()
    }

    /// Ends all runs that must be gone because their lease has lapsed at the upstream.
    pub fn end_lapsed(&mut self, now: Duration) -> Vec<RunEnd> {
        let all_gone_at = self.all_gone_at();
        let gone = |live: &LiveRun| live.gone_at(all_gone_at).is_some_and(|at| at <= now);
        let gone = self.live.iter().filter(|(_, live)| gone(live));
        let gone: Vec<Run> = gone.map(|(run, _)| run.clone()).collect();
        let lost = gone
            .iter()
            .filter_map(|run| self.live[run].crashed(run, now));
        let lost: Vec<CrashedRun> = lost.collect();
        self.lost_in_silence.extend(lost);
        self.end_all(&gone, now)
    }

    pub(super) fn end_all(&mut self, runs: &[Run], now: Duration) -> Vec<RunEnd> {
        let ends = runs.iter().filter_map(|run| self.end(run, Fate::Lost, now));
        ends.collect()
    }

    /// Compares the runs that an owner knows with those that are here. Requests the
    /// stop of runs that the owner doesn't know, and returns the ends of runs that
    /// are no longer here.
    pub fn reconcile(&mut self, owner: &Owner, known: &[Run], now: Duration) -> Vec<RunEnd> {
        for (run, live) in &mut self.live {
            if live.owner == *owner && !known.contains(run) {
                live.give_up(now);
            }
        }
        let ended = known.iter().filter(|run| !self.live.contains_key(*run));
        let ends = ended.map(|run| RunEnd {
            owner: owner.clone(),
            run: run.clone(),
            fate: self.recent_ends.fate(run).unwrap_or(Fate::Lost),
            ran: Duration::ZERO,
        });
        let ends = ends.collect();
        self.recent_ends.prune(now);
        ends
    }

    /// Removes a run that has ended, and its owner's lease if that has lapsed and no other
    /// run depends on it.
    fn end(&mut self, run: &Run, fate: Fate, now: Duration) -> Option<RunEnd> {
        let live = self.live.remove(run)?;
        self.recent_ends.push(run.clone(), fate, now);
        let is_last = !self.live.values().any(|other| other.job == live.job);
        self.completed_jobs += u32::from(is_last && fate == Fate::Done);
        if !self.live.values().any(|other| other.owner == live.owner) {
            let expired = |until: &Duration| *until <= now;
            self.leases
                .retain(|owner, until| *owner != live.owner || !expired(until));
        }
        Some(RunEnd {
            owner: live.owner,
            run: run.clone(),
            fate,
            ran: now.saturating_sub(live.admitted_at),
        })
    }

    /// The runs that the poll should have listed as running but did not, with their
    /// fates.
    fn missing(&self, listed: &BTreeSet<&Run>, poll: u64, now: Duration) -> Vec<(Run, Fate)> {
        let missing = self.live.iter().filter(|(run, _)| !listed.contains(run));
        let with_fates = missing.map(|(run, live)| Some((run.clone(), live.missing(poll, now)?)));
        with_fates.flatten().collect()
    }
}

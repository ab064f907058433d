//! State that the calls to the upstream and the entries' streams share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, SystemTime};

use gentian::claim::crash::{Crash, History, StartRates};
use gentian::claim::run::{Kind, Owner, Replacement, Run, RunEnd, Runs};
use gentian::limit::waiting_list::WaitingList;
use gentian::wire::{control, id};
use gentian_platform::heartbeat::{Incarnation, Report};
use tokio::sync::{Notify, Semaphore};

use super::calls;
use super::connection::Connection;
use super::reports::Stream;
use super::upstream::{Update, UpstreamState};
use crate::clock;
use crate::metrics;
use crate::panics::Mutex;
use crate::renew::Announce;

/// Most starts in flight at once; each takes a connection.
const MAX_CONCURRENT_STARTS: usize = 4;
/// First increment of a fencing token that proved too low; each further
/// increment is twice the last.
const INITIAL_TOKEN_STEP: u64 = 1_000;

/// Supervises the runs at the agent's upstream on behalf of the entries.
#[derive(Debug)]
pub(super) struct Supervisor {
    /// Name of this agent.
    pub(super) node: id::Node,
    pub(super) incarnation: u64,
    /// Zero of the agent's own clock.
    origin: Duration,
    state: Mutex<State>,
    pub(super) start_permits: Arc<Semaphore>,
    /// Wakes the poll loop, since runs or their leases may have changed.
    pub(super) poll_wakeup: Notify,
    /// Wakes the task that reports free capacity to the entries.
    pub(super) room_changed: Notify,
    /// Wakes the task that offers free capacity again after an offer.
    pub(super) room_offered: Notify,
    pub(super) metrics: Arc<metrics::Runs>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) runs: Runs,
    /// Crashes of the upstreams that this agent has had.
    pub(super) crashes: History,
    /// How often jobs are started at the upstream.
    pub(super) start_rates: StartRates,
    pub(super) upstream: Option<UpstreamState>,
    /// Services of the configuration; none until one is known.
    services: Option<BTreeSet<id::Service>>,
    /// For how long the system had been suspended when the runs were last told of it.
    suspended: Duration,
    /// Number of processes that have taken the upstream's place so far.
    pub(super) replacements: u64,
    /// Connections to the upstream's present process that carry no order now.
    pub(super) idle: Vec<Connection>,
    pub(super) streams: BTreeMap<Owner, Stream>,
    /// Entries whose starts were refused for lack of capacity.
    pub(super) waiting: WaitingList<Owner>,
    /// Whether the upstream took new runs when the entries were last told of it.
    pub(super) told_open: bool,
    pub(super) last_stream_number: u64,
    /// Fencing token of this agent's orders.
    pub(super) token: u64,
    pub(super) token_step: u64,
    /// Highest sequence number of an end that was acknowledged to the upstream,
    /// which then drops the ends up to it.
    pub(super) acknowledged: u64,
    /// Whether the last poll was answered by the present process, and none has failed or was
    /// left out since: no other process can have taken its place meanwhile.
    pub(super) polls_unbroken: bool,
    /// The crash of a former process that a heartbeat has told of, until an answer proves it.
    pub(super) unproven_crash: Option<Crash>,
    /// Whether the agent is shutting down.
    leaving: bool,
    pub(super) progress_sent_at: Duration,
}

impl Supervisor {
    pub(super) fn new(node: &control::Node, metrics: Arc<metrics::Runs>) -> Supervisor {
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // Higher than the token of every earlier agent process, unless the machine's
        // clock was set back.
        let token = since_epoch.unwrap_or_default().as_millis() as u64;
        let mut runs = Runs::default();
        runs.set_denied(true);
        Supervisor {
            node: node
                .name
                .parse()
                .expect("the settings hold a valid node name"),
            incarnation: node.incarnation,
            origin: clock::now(),
            state: Mutex::new(State {
                runs,
                crashes: History::default(),
                start_rates: StartRates::default(),
                upstream: None,
                services: None,
                suspended: clock::suspended(),
                replacements: 0,
                idle: Vec::new(),
                streams: BTreeMap::new(),
                waiting: WaitingList::default(),
                told_open: false,
                last_stream_number: 0,
                token,
                token_step: INITIAL_TOKEN_STEP,
                acknowledged: 0,
                polls_unbroken: false,
                unproven_crash: None,
                leaving: false,
                progress_sent_at: Duration::ZERO,
            }),
            start_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_STARTS)),
            poll_wakeup: Notify::new(),
            room_changed: Notify::new(),
            room_offered: Notify::new(),
            metrics,
        }
    }

    /// Time since the start of this supervisor, which is the agent's own clock. It goes on
    /// while the system is suspended, like the leases that it measures.
    pub(super) fn now(&self) -> Duration {
        clock::now().saturating_sub(self.origin)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock()
    }

    /// Handles a heartbeat of the upstream; returns how it changes what is known of it.
    pub(super) fn handle_report(&self, report: Report) -> Update {
        let now = self.now();
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let mut guard = self.state();
        let state = &mut *guard;
        let incarnation = report.incarnation.clone();
        let ready = report.ready;
        let previous = state.upstream.clone();
        let was_ready = previous.as_ref().map(|upstream| upstream.report.ready);
        let update = UpstreamState::apply_report(
            &mut state.upstream,
            report,
            state.services.as_ref(),
            // Before 1970 no start time is plausible.
            wall.unwrap_or_default(),
            now,
        );
        let ends = match update {
            Update::Stale | Update::Foreign => return update,
            Update::Same => {
                if was_ready != Some(ready) {
                    log::info!("upstream {}: ready changed to {ready}", incarnation.id);
                }
                Vec::new()
            }
            Update::First => {
                log_first_heartbeat(&incarnation, ready);
                Vec::new()
            }
            Update::Replaced(replacement) => {
                log_first_heartbeat(&incarnation, ready);
                if let Some(previous) = &previous {
                    self.record_reported_crash(state, previous, replacement);
                }
                state.replace_upstream(replacement, now)
            }
        };
        state.update_admission(now);
        self.report_ends(state, ends);
        drop(guard);
        self.room_changed.notify_one();
        self.poll_wakeup.notify_one();
        update
    }

    /// Handles the upstream's notice that it is shutting down.
    pub(super) fn handle_leave(&self, id: &str) {
        let mut state = self.state();
        if let Some(upstream) = &mut state.upstream {
            if upstream.incarnation().id == id {
                upstream.mark_gone();
                log::info!("upstream {id}: shutting down; it gets no new runs");
            }
        }
        state.update_admission(self.now());
        drop(state);
        self.room_changed.notify_one();
    }

    /// Refuses new runs from now on.
    pub(super) fn refuse_new_runs(&self) {
        let mut state = self.state();
        state.leaving = true;
        state.update_admission(self.now());
        drop(state);
        self.room_changed.notify_one();
    }

    /// Sets whether the configuration gives the upstream no work; returns whether that
    /// has changed. It counts as denied until this is called.
    pub(super) fn set_denied(&self, denied: bool) -> bool {
        let mut state = self.state();
        let changed = state.runs.is_denied() != denied;
        state.runs.set_denied(denied);
        drop(state);
        if changed {
            self.room_changed.notify_one();
            self.poll_wakeup.notify_one();
        }
        changed
    }

    /// Sets the services of the configuration. Only upstreams of these are followed.
    pub(super) fn set_services(&self, services: BTreeSet<id::Service>) {
        self.state().services = Some(services);
    }

    /// Closes the streams of all entries.
    pub(super) fn close_streams(&self) {
        self.state().streams.clear();
    }

    /// Whether no run is left and every end was acknowledged to the upstream.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.state();
        state.runs.is_empty() && state.acknowledged >= state.runs.last_seen_end()
    }

    /// Number of runs that are, or may be, at the upstream.
    pub(super) fn running(&self) -> usize {
        self.state().runs.len()
    }

    pub(super) fn send_stops(self: &Arc<Self>, stops: Vec<Run>) {
        for run in stops {
            tokio::spawn(calls::stop_run(self.clone(), run));
        }
    }

    /// Milliseconds on this agent's own clock, by which entries measure their leases.
    pub(super) fn clock_ms(&self) -> u64 {
        u64::try_from(self.now().as_millis()).unwrap_or(u64::MAX)
    }
}

impl State {
    /// Whether the upstream has to be asked which runs it has, so that it can take others.
    /// That also shows it the present fencing token.
    pub(super) fn is_unlisted(&self, now: Duration) -> bool {
        let upstream = self.upstream.as_ref();
        let reachable = upstream.is_some_and(|upstream| upstream.is_reachable(now));
        reachable && !self.runs.is_complete()
    }

    /// Handles the replacement of the upstream's process. The fencing token is raised, since
    /// the new process has not seen the present one: what was sent to the former process may
    /// still arrive, and is refused once the new one has seen a higher token.
    pub(super) fn replace_upstream(
        &mut self,
        replacement: Replacement,
        now: Duration,
    ) -> Vec<RunEnd> {
        self.replacements += 1;
        self.idle.clear();
        self.polls_unbroken = false;
        self.token += 1;
        self.acknowledged = 0;
        self.runs.upstream_replaced(replacement, now)
    }

    /// Sequence number up to which the upstream may forget ends. A process that may be another
    /// than the one that listed them must not: its own ends have the same numbers.
    pub(super) fn ends_to_acknowledge(&self) -> u64 {
        match self.polls_unbroken {
            true => self.runs.last_seen_end(),
            false => 0,
        }
    }

    /// Tells the runs of suspensions since the last call. It is called before time alone, or a
    /// list, ends any of them.
    pub(super) fn record_suspension(&mut self) {
        let total = clock::suspended();
        let length = total.saturating_sub(self.suspended);
        self.suspended = self.suspended.max(total);
        self.runs.record_suspension(length);
    }

    /// Recomputes whether the upstream takes new runs.
    pub(super) fn update_admission(&mut self, now: Duration) {
        let Some(upstream) = &self.upstream else {
            return;
        };
        let open = upstream.is_open(now) && !self.leaving;
        self.runs.set_upstream(upstream.report.capacity, open);
        let Report {
            service, labels, ..
        } = &upstream.report;
        let is_known = |kind: &Kind| kind.service == *service && kind.labels == *labels;
        if !self.runs.kind().is_some_and(is_known) {
            self.runs.set_kind(Kind {
                service: service.clone(),
                labels: labels.clone(),
            });
        }
    }
}

fn log_first_heartbeat(incarnation: &Incarnation, ready: bool) {
    let Incarnation { id, born_ms } = incarnation;
    log::info!("upstream {id} incarnation {born_ms}: first heartbeat, ready {ready}");
}

impl Announce for Supervisor {
    fn upstreams(&self) -> Vec<control::Upstream> {
        let state = self.state();
        let upstream = state.upstream.iter();
        let upstreams = upstream.map(|upstream| control::Upstream {
            service: upstream.report.service.to_string(),
            slots: 1,
            connections: MAX_CONCURRENT_STARTS as u32,
            leaving: false,
        });
        upstreams.collect()
    }

    fn leaving(&self) -> bool {
        self.state().leaving
    }
}

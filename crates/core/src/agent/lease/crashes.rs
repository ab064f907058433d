//! Crashes of the upstream: how they are noticed, and how the entries learn of them.
//!
//! An upstream that refuses connections, or that another process has replaced, has ended.
//! If it didn't announce that, it has crashed. The refusal is not taken as proof that its
//! runs are gone: they end with its lease, or when the next process reports.

use std::time::Duration;

use gentian::claim::crash::{Crash, Process};
use gentian::claim::run::{Owner, Replacement};
use gentian::wire::agent::{self, Reports};
use gentian_platform::order::List;

use super::order::Recipient;
use super::supervisor::{State, Supervisor};
use super::upstream::UpstreamState;
use crate::client;

impl Supervisor {
    /// Handles an order that failed without an answer. Returns true if it is the first
    /// sign that the upstream may have ended: asking again then shows whether it has.
    pub(super) fn handle_failed_order(
        &self,
        state: &mut State,
        recipient: &Recipient,
        error: &client::Error,
    ) -> bool {
        let now = self.now();
        let outdated = recipient.is_outdated(state);
        let Some(upstream) = state.upstream.as_mut().filter(|_| !outdated) else {
            return false;
        };
        if matches!(error, client::Error::Broken(_)) {
            // If the process has ended, so have the other connections to it.
            state.idle.clear();
            return upstream.record_break(now);
        }
        if error.is_refused() {
            upstream.mark_down(now);
            let ended = upstream.clone();
            state.update_admission(now);
            self.record_crash(state, &ended);
            self.room_changed.notify_one();
        }
        false
    }

    /// Records the unplanned end of an upstream's process and tells all entries. Does
    /// nothing if the end was announced or is known.
    pub(super) fn record_crash(&self, state: &mut State, ended: &UpstreamState) {
        if let Some(crash) = self.crash(state, ended) {
            self.record(state, crash);
        }
    }

    /// Records the unplanned end of `former`, of which a heartbeat of another process tells.
    /// If that one has the same id, its next answer proves it; it is recorded then.
    pub(super) fn record_reported_crash(
        &self,
        state: &mut State,
        former: &UpstreamState,
        replacement: Replacement,
    ) {
        let crash = self.crash(state, former);
        match replacement.same_id {
            true => state.unproven_crash = crash,
            false => crash
                .into_iter()
                .for_each(|crash| self.record(state, crash)),
        }
    }

    /// Records the crash that a heartbeat has told of, since the process that sent it has
    /// answered with `list`.
    pub(super) fn record_proven_crash(&self, state: &mut State, list: &List) {
        if let Some(crash) = state.unproven_crash.take() {
            self.record_before(state, crash, list);
        }
    }

    /// Records the crash of `former`, since another process has answered with `list`.
    pub(super) fn record_crash_before(
        &self,
        state: &mut State,
        former: &UpstreamState,
        list: &List,
    ) {
        self.record_proven_crash(state, list);
        if let Some(crash) = self.crash(state, former) {
            self.record_before(state, crash, list);
        }
    }

    /// Records a crash of the process before the one that answered with `list`. What that lists
    /// was not at the former one.
    fn record_before(&self, state: &mut State, mut crash: Crash, list: &List) {
        crash.runs.retain(|crashed| !list.contains(&crashed.run));
        self.record(state, crash);
    }

    /// The unplanned end of an upstream's process, if it was not announced. A process that has
    /// never answered is not known to have been there.
    fn crash(&self, state: &mut State, ended: &UpstreamState) -> Option<Crash> {
        if ended.is_ending() || !ended.is_confirmed() {
            return None;
        }
        let now = self.now();
        // Without a sign of its end it may have ended right after it was last heard of. What
        // was sent later may never have reached it.
        let last_heard = now.saturating_sub(ended.silent_for(now));
        let at = ended.ended_at().unwrap_or(last_heard);
        let incarnation = ended.incarnation();
        Some(Crash {
            agent: self.node.clone(),
            process: Process {
                upstream: incarnation.id.clone(),
                born_ms: incarnation.born_ms,
            },
            at,
            runs: state.runs.crashed(at),
            rates: state.start_rates.rates(now),
        })
    }

    fn record(&self, state: &mut State, crash: Crash) {
        let now = self.now();
        if !state.crashes.record(crash.clone(), now) {
            return;
        }
        self.metrics.crashed(crash.runs.len());
        log_crash(&crash);
        self.tell_crash(state, &crash, now);
    }

    /// Takes over the crashes that an entry remembers, since this agent may have restarted
    /// after them, and tells the entry those that it may have missed.
    pub(super) fn exchange_crashes(
        &self,
        state: &mut State,
        owner: &Owner,
        known: &[agent::Crash],
    ) {
        let now = self.now();
        for message in known {
            let crash = Crash::from_wire(message, &self.node, now);
            if state.crashes.record(crash.clone(), now) {
                self.tell_crash(state, &crash, now);
            }
        }
        state.crashes.prune(now);
        let crashes = state.crashes.iter().map(|crash| crash.to_wire(now));
        let crashes: Vec<agent::Crash> = crashes.collect();
        if !crashes.is_empty() {
            self.queue_reports(state, owner, self.crash_reports(crashes));
        }
    }

    fn tell_crash(&self, state: &mut State, crash: &Crash, now: Duration) {
        let owners: Vec<_> = state.streams.keys().cloned().collect();
        for owner in owners {
            let reports = self.crash_reports(vec![crash.to_wire(now)]);
            self.queue_reports(state, &owner, reports);
        }
    }

    fn crash_reports(&self, crashes: Vec<agent::Crash>) -> Reports {
        Reports {
            clock_ms: self.clock_ms(),
            incarnation: self.incarnation,
            crashes,
            ..Reports::default()
        }
    }
}

/// Logs the crash, and each run that was there.
fn log_crash(crash: &Crash) {
    let runs = crash.runs.len();
    log::warn!(
        "upstream {}: ended without notice while {runs} runs were there",
        crash.process
    );
    for crashed in &crash.runs {
        tracing::info!(
            event = "crashed_under",
            request = %crashed.job,
            run = %crashed.run,
            queue = %crashed.queue,
            upstream = crash.process.upstream,
            born_ms = crash.process.born_ms,
            age_ms = crashed.age.as_millis() as u64,
            beside = runs - 1,
            alone = crash.was_alone(&crashed.job),
        );
    }
}

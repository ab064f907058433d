//! Polls of the upstream, which find the ends of its runs and renew its lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use gentian::claim::run::Owner;
use gentian::wire::agent::{self, Reports};
use gentian_platform::order::{self, List};

use super::connection::{self, Connection};
use super::order::Recipient;
use super::supervisor::{State, Supervisor};
use crate::panics::AbortOnPanic;

/// How long the upstream may hold back its answer to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(60);
/// Timeout of a poll beyond [`POLL_WAIT`]. It is short because no end of a run is
/// seen while a lost poll is waited for.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
/// Delay before the next poll after one that failed.
const POLL_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Time between two checks for lapsed leases while there is nothing to poll for,
/// unless woken earlier.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum time between two progress reports of slow runs.
const MIN_PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Polls the upstream while it has runs or unacknowledged ends. The polls also
/// renew its lease.
pub(super) async fn poll_upstream(supervisor: Arc<Supervisor>) {
    let _essential = AbortOnPanic("the polls of the upstream");
    loop {
        if !supervisor.is_poll_due() {
            supervisor.state().polls_unbroken = false;
            // Wakes up for the next order, or to end runs whose lease has lapsed.
            let _ =
                tokio::time::timeout(IDLE_CHECK_INTERVAL, supervisor.poll_wakeup.notified()).await;
            supervisor.end_lapsed_runs();
            continue;
        }
        let again = match supervisor.connect().await {
            Ok(connection) => supervisor.poll(connection).await,
            Err(error) => {
                supervisor.handle_failed_connect(&error);
                false
            }
        };
        supervisor.end_lapsed_runs();
        if !again || supervisor.state().is_unlisted(supervisor.now()) {
            tokio::time::sleep(POLL_RETRY_DELAY).await;
        }
    }
}

impl Supervisor {
    /// Whether the upstream has runs, or ends that were not acknowledged, or has to be asked for
    /// its runs.
    fn is_poll_due(&self) -> bool {
        let state = self.state();
        let has_unacknowledged_ends = state.runs.last_seen_end() > state.acknowledged;
        let is_unlisted = state.is_unlisted(self.now());
        !state.runs.is_empty() || has_unacknowledged_ends || is_unlisted
    }

    /// Polls the upstream on this connection. Returns whether it is to be polled again at once.
    async fn poll(self: &Arc<Self>, mut connection: Connection) -> bool {
        let prepared = {
            let mut state = self.state();
            let wait = match state.runs.is_empty() {
                true => Duration::ZERO,
                false => POLL_WAIT,
            };
            let order = self.next_order(&mut state, &connection);
            order.map(|order| {
                let number = state.runs.begin_poll();
                (order, number, state.ends_to_acknowledge(), wait)
            })
        };
        let Some((order, number, acknowledged, wait)) = prepared else {
            return false;
        };
        let recipient = &order.recipient;
        let request = order::poll(&recipient.id, acknowledged, wait, order.authority);
        let timeout = wait + POLL_ANSWER_TIMEOUT;
        let answer = self
            .send_order(&order, &mut connection, request, timeout)
            .await;
        self.record_poll_answer(&mut self.state(), recipient, answer.as_ref().err());
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                let mut state = self.state();
                state.polls_unbroken = false;
                return self.handle_failed_order(&mut state, recipient, &error);
            }
        };
        let Some(list) = self.read_list(recipient, order.authority.token, &answer) else {
            return false;
        };
        connection.set_clock(list.clock);
        self.release(connection);
        self.apply_list(recipient, number, acknowledged, &list)
    }

    /// Counts a poll that could not be sent as one without an answer, unless the upstream has
    /// answered in another way.
    fn handle_failed_connect(&self, error: &connection::Error) {
        let mut state = self.state();
        state.polls_unbroken = false;
        if let (connection::Error::Client(error), Some(recipient)) = (error, state.recipient()) {
            self.record_poll_answer(&mut state, &recipient, Some(error));
        }
    }

    /// Applies a list of runs. Returns false if another incarnation sent it.
    fn apply_list(
        self: &Arc<Self>,
        recipient: &Recipient,
        poll_number: u64,
        acknowledged: u64,
        list: &List,
    ) -> bool {
        let now = self.now();
        let mut state = self.state();
        state.record_suspension();
        if list.unreadable > 0 {
            log::warn!(
                "upstream {}: skipped {} unreadable items in its list of runs",
                recipient.id,
                list.unreadable
            );
        }
        if !self.verify_sender(&mut state, recipient, list) {
            return false;
        }
        state.polls_unbroken = true;
        state.acknowledged = state.acknowledged.max(acknowledged);
        let mut ends = state
            .runs
            .apply_poll(poll_number, &list.running, &list.ended, now);
        if let Some(upstream) = &mut state.upstream {
            upstream.mark_confirmed();
        }
        // The list names its process, so the former one has ended.
        if list.clock.born_ms != 0 {
            self.record_proven_crash(&mut state, list);
            ends.extend(state.runs.former_ended(now));
        }
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        let any_ended = !ends.is_empty();
        self.report_ends(&mut state, ends);
        self.report_progress(&mut state, now);
        let opened = state.open_has_changed();
        drop(state);
        if any_ended || opened {
            self.room_changed.notify_one();
        }
        true
    }

    /// Ends the runs that must be gone because the upstream's lease has lapsed, and stops
    /// those whose entry's lease has lapsed.
    fn end_lapsed_runs(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        state.record_suspension();
        let ends = state.runs.end_lapsed(now);
        if !ends.is_empty() {
            log::warn!(
                "{} runs counted as lost, since the upstream's lease has lapsed",
                ends.len()
            );
        }
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        self.report_ends(&mut state, ends);
        let was_open = state.runs.is_open();
        state.update_admission(now);
        if was_open != state.runs.is_open() {
            log::warn!("upstream: accepting new runs changed to {}", !was_open);
            self.room_changed.notify_one();
        }
    }

    /// Reports the progress of slow runs to the entries that ordered them.
    fn report_progress(&self, state: &mut State, now: Duration) {
        if now < state.progress_sent_at + MIN_PROGRESS_INTERVAL {
            return;
        }
        state.progress_sent_at = now;
        let mut by_owner: BTreeMap<Owner, Vec<agent::Progress>> = BTreeMap::new();
        for (owner, run, percent) in state.runs.slow_runs(now) {
            let progress = agent::Progress {
                run: Some(run.into()),
                percent,
            };
            by_owner.entry(owner.clone()).or_default().push(progress);
        }
        for (owner, progress) in by_owner {
            let reports = Reports {
                clock_ms: self.clock_ms(),
                progress,
                incarnation: self.incarnation,
                ..Reports::default()
            };
            self.queue_reports(state, &owner, reports);
        }
    }
}

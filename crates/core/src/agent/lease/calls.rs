//! Calls to the upstream: starts and stops of runs, and the polls that find their
//! ends and renew the upstream's lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::{Owner, Refusal, Run, StartAnswer};
use gentian::wire::agent::{self, Reports};
use gentian_platform::order::{self, List, StartResponse};

use super::order::{Order, Origin};
use super::supervisor::{State, Supervisor};
use crate::client;
use crate::logging::is_sampled;
use crate::panics::AbortOnPanic;

/// How long the upstream may hold back its answer to a poll until a run ends.
const POLL_WAIT: Duration = Duration::from_millis(60);
/// Timeout of a start or a stop. The upstream is on the same machine and answers
/// at once or not at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);
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

/// Starts a run at the upstream.
pub(super) async fn start_run(supervisor: Arc<Supervisor>, run: Run, spec: Bytes) {
    let _essential = AbortOnPanic("a start at the upstream");
    let _permit = supervisor.start_permits.acquire().await;
    let Ok(spec) = std::str::from_utf8(&spec) else {
        return handle_start_answer(&supervisor, &run, StartAnswer::Refused(Refusal::Invalid));
    };
    let ordered_at = Instant::now();
    // Retries with a raised token if the upstream rejects the token as too low.
    for _ in 0..8 {
        let order = match supervisor.start_order(&run) {
            Ok(order) => order,
            Err(refusal) => {
                return handle_start_answer(&supervisor, &run, StartAnswer::Refused(refusal))
            }
        };
        let request = order::start(&order.id, &run, spec, order.authority);
        let answer = supervisor.send_order(&order, request, ANSWER_TIMEOUT).await;
        let read = answer.map(|answer| order::parse_start(answer.status, &answer.body));
        supervisor.metrics.start_took(ordered_at.elapsed());
        match read {
            Ok(Ok((clock, begun))) => {
                let mut state = supervisor.state();
                let origin = clock.map(|clock| supervisor.update_clock(&mut state, &order, clock));
                if let (Some(Origin::Other), Some(clock)) = (origin, clock) {
                    // The answer to a start lists no runs.
                    let list = List {
                        clock,
                        ..List::default()
                    };
                    supervisor.handle_successor(&mut state, &order, &list);
                }
                if origin.is_some_and(|origin| origin != Origin::Present) {
                    drop(state);
                    // The run may have begun at a process that is not known yet.
                    return handle_start_answer(&supervisor, &run, StartAnswer::Unknown);
                }
                match begun {
                    StartResponse::Known(started) => {
                        drop(state);
                        let request = order::job(&run.task);
                        if is_sampled(request) {
                            tracing::info!(
                                event = "started",
                                request,
                                run = %run,
                                upstream = order.id,
                                token = order.authority.token,
                                answer = ?started,
                                took_ms = ordered_at.elapsed().as_millis() as u64,
                            );
                        }
                        return handle_start_answer(&supervisor, &run, started);
                    }
                    StartResponse::Fenced => {
                        supervisor.raise_token(&mut state, order.authority.token)
                    }
                }
            }
            Ok(Err(order::Error::Replaced)) => {
                supervisor.handle_upstream_gone(&mut supervisor.state(), &order);
                return handle_start_answer(
                    &supervisor,
                    &run,
                    StartAnswer::Refused(Refusal::Closed),
                );
            }
            Ok(Err(error)) => {
                log::warn!(
                    "{run}: start has an unusable answer, so the run may have begun: {error}"
                );
                return handle_start_answer(&supervisor, &run, StartAnswer::Unknown);
            }
            Err(error @ client::Error::Connect(_)) => {
                log::info!("{run}: start refused, since the upstream can't be reached: {error}");
                let refusal = StartAnswer::Refused(Refusal::NoAnswer);
                handle_start_answer(&supervisor, &run, refusal);
                supervisor.handle_failed_order(&mut supervisor.state(), &order, &error);
                return;
            }
            Err(error) => {
                log::warn!("{run}: start not answered, so the run may have begun: {error}");
                supervisor.handle_failed_order(&mut supervisor.state(), &order, &error);
                return handle_start_answer(&supervisor, &run, StartAnswer::Unknown);
            }
        }
    }
    handle_start_answer(&supervisor, &run, StartAnswer::Refused(Refusal::Closed));
}

/// Records the answer to a start, and reports the run's end if it was refused.
fn handle_start_answer(supervisor: &Arc<Supervisor>, run: &Run, started: StartAnswer) {
    if let StartAnswer::Refused(refusal) = started {
        supervisor.metrics.refused(refusal);
    }
    let now = supervisor.now();
    let mut state = supervisor.state();
    let end = state.runs.apply_start_answer(run, started, now);
    let stops = state.runs.take_due_stops(now);
    supervisor.send_stops(stops);
    supervisor.report_ends(&mut state, end.into_iter().collect());
    drop(state);
    supervisor.poll_wakeup.notify_one();
}

/// Tells the upstream to stop a run.
pub(super) async fn stop_run(supervisor: Arc<Supervisor>, run: Run) {
    let Some(order) = supervisor.next_order(&mut supervisor.state()) else {
        return;
    };
    let request = order::stop(&order.id, &run, order.authority);
    let answer = supervisor.send_order(&order, request, ANSWER_TIMEOUT).await;
    match answer.map(|answer| order::parse_stop(answer.status)) {
        Ok(Ok(true)) => supervisor.handle_stop_answer(&order, &run),
        Ok(Ok(false)) => supervisor.raise_token(&mut supervisor.state(), order.authority.token),
        Ok(Err(order::Error::Replaced)) => {
            supervisor.handle_upstream_gone(&mut supervisor.state(), &order)
        }
        // The stop is sent again as long as the upstream may have the run.
        Ok(Err(error)) => {
            log::warn!("{run}: stop has an unusable answer and will be retried: {error}")
        }
        Err(error) => log::debug!("{run}: stop not answered and will be retried: {error}"),
    }
    supervisor.poll_wakeup.notify_one();
}

/// Polls the upstream while it has runs or unacknowledged ends. The polls also
/// renew its lease.
pub(super) async fn poll_upstream(supervisor: Arc<Supervisor>) {
    let _essential = AbortOnPanic("the polls of the upstream");
    loop {
        let due = {
            let mut state = supervisor.state();
            let has_runs = !state.runs.is_empty();
            let has_unacknowledged_ends = state.runs.last_seen_end() > state.acknowledged;
            let is_unlisted = state.is_unlisted(supervisor.now());
            match has_runs || has_unacknowledged_ends || is_unlisted {
                true => supervisor.next_order(&mut state).map(|order| {
                    let wait = if has_runs { POLL_WAIT } else { Duration::ZERO };
                    (
                        order,
                        state.runs.begin_poll(),
                        state.ends_to_acknowledge(),
                        wait,
                    )
                }),
                false => None,
            }
        };
        let Some((order, poll_number, acknowledged, wait)) = due else {
            supervisor.state().polls_unbroken = false;
            // Wakes up for the next order, or to end runs whose lease has lapsed.
            let _ =
                tokio::time::timeout(IDLE_CHECK_INTERVAL, supervisor.poll_wakeup.notified()).await;
            supervisor.end_lapsed_runs();
            continue;
        };
        let request = order::poll(&order.id, acknowledged, wait, order.authority);
        let answer = supervisor
            .send_order(&order, request, wait + POLL_ANSWER_TIMEOUT)
            .await;
        supervisor.record_poll_answer(&mut supervisor.state(), &order, answer.as_ref().err());
        let again = match answer {
            Ok(answer) => supervisor.handle_poll_answer(&order, poll_number, acknowledged, &answer),
            Err(error) => {
                let mut state = supervisor.state();
                state.polls_unbroken = false;
                supervisor.handle_failed_order(&mut state, &order, &error)
            }
        };
        supervisor.end_lapsed_runs();
        if !again || supervisor.state().is_unlisted(supervisor.now()) {
            tokio::time::sleep(POLL_RETRY_DELAY).await;
        }
    }
}

impl Supervisor {
    /// Handles the answer to a stop, which tells nothing of a process that has taken the
    /// upstream's place since.
    fn handle_stop_answer(&self, order: &Order, run: &Run) {
        let mut state = self.state();
        if !order.is_outdated(&state) {
            state.runs.stop_answered(run);
        }
    }

    /// Handles the answer to a poll. Returns whether it was usable.
    fn handle_poll_answer(
        self: &Arc<Self>,
        order: &Order,
        poll_number: u64,
        acknowledged: u64,
        answer: &client::Answer,
    ) -> bool {
        match order::parse_poll(answer.status, &answer.body) {
            Ok(Some(list)) => self.apply_list(order, poll_number, acknowledged, &list),
            Ok(None) => {
                self.raise_token(&mut self.state(), order.authority.token);
                false
            }
            Err(order::Error::Replaced) => {
                self.handle_upstream_gone(&mut self.state(), order);
                false
            }
            Err(error) => {
                log::warn!(
                    "upstream {}: ignored the answer to a poll: {error}",
                    order.id
                );
                false
            }
        }
    }

    /// Applies a list of runs. Returns false if another incarnation sent it.
    fn apply_list(
        self: &Arc<Self>,
        order: &Order,
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
                order.id,
                list.unreadable
            );
        }
        match self.update_clock(&mut state, order, list.clock) {
            Origin::Present => {}
            Origin::Other => {
                self.handle_successor(&mut state, order, list);
                return false;
            }
            Origin::Unknown => return false,
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

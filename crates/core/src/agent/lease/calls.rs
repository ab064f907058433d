//! The calls to the upstream beside the agent, and what their answers change.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::{Owner, Refusal, Run, StartAnswer};
use gentian::wire::agent::{self, Reports};
use gentian_platform::order::{self, Begun, List};

use super::beside::{Beside, Order, State};
use crate::client;
use crate::logging::is_sampled;

/// How long a look waits for something to end.
const LOOK_WAIT: Duration = Duration::from_millis(60);
/// Longest time for an answer to a start or a stop. The upstream is on the same
/// machine and answers at once, or not at all.
const ANSWER: Duration = Duration::from_millis(80);
/// Longest time for an answer to a look beyond its wait: for as long as one is
/// lost, no end is seen.
const LOOK_ANSWER: Duration = Duration::from_millis(40);
/// Pause after a look that failed.
const LOOK_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two looks while nothing runs, unless something is to be done.
const IDLE: Duration = Duration::from_millis(500);
/// Shortest time between two reports of slow runs.
const PROGRESS_PERIOD: Duration = Duration::from_millis(100);

/// Starts a run at the upstream.
pub(super) async fn start(beside: Arc<Beside>, run: Run, spec: Bytes) {
    let _permit = beside.starts.acquire().await;
    let Ok(spec) = std::str::from_utf8(&spec) else {
        return begun(&beside, &run, StartAnswer::Refused(Refusal::Invalid));
    };
    let asked = Instant::now();
    // A token that is too low is raised until it is taken.
    for _ in 0..8 {
        let order = beside.order(&mut beside.state());
        let Some(order) = order.filter(|order| order.authority.until.is_some()) else {
            return begun(&beside, &run, StartAnswer::Refused(Refusal::Expired));
        };
        let request = order::start(&order.id, &run, spec, order.authority);
        let answer = beside.send_order(&order, request, ANSWER).await;
        let read = answer.map(|answer| order::started(answer.status, &answer.body));
        beside.metrics.start_took(asked.elapsed());
        match read {
            Ok(Ok((clock, begun))) => {
                let mut state = beside.state();
                if clock.is_some_and(|clock| beside.tick(&mut state, &order, clock)) {
                    beside.replace(&mut state, &order);
                    drop(state);
                    // It may run at a life of the upstream that none has reported yet.
                    return self::begun(&beside, &run, StartAnswer::Unknown);
                }
                match begun {
                    Begun::Known(started) => {
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
                                took_ms = asked.elapsed().as_millis() as u64,
                            );
                        }
                        return self::begun(&beside, &run, started);
                    }
                    Begun::Fenced => beside.fence(&mut state, order.authority.token),
                }
            }
            Ok(Err(order::Error::Replaced)) => {
                beside.replace(&mut beside.state(), &order);
                return self::begun(&beside, &run, StartAnswer::Refused(Refusal::Closed));
            }
            Ok(Err(error)) => {
                log::warn!("{run}: {error}");
                return self::begun(&beside, &run, StartAnswer::Unknown);
            }
            Err(client::Error::Connect(error)) => {
                log::info!("{run}: no connection to the upstream: {error}");
                let refusal = StartAnswer::Refused(Refusal::NoAnswer);
                return self::begun(&beside, &run, refusal);
            }
            Err(error) => {
                log::warn!("{run}: start not answered: {error}");
                return self::begun(&beside, &run, StartAnswer::Unknown);
            }
        }
    }
    self::begun(&beside, &run, StartAnswer::Refused(Refusal::Closed));
}

/// Takes in the answer to a start.
fn begun(beside: &Arc<Beside>, run: &Run, started: StartAnswer) {
    if let StartAnswer::Refused(refusal) = started {
        beside.metrics.refused(refusal);
    }
    let now = beside.now();
    let mut state = beside.state();
    let end = state.runs.apply_start_answer(run, started, now);
    let stops = state.runs.take_due_stops(now);
    beside.send_stops(stops);
    beside.deliver(&mut state, end.into_iter().collect());
    drop(state);
    beside.look.notify_one();
}

/// Tells the upstream to stop a run.
pub(super) async fn stop(beside: Arc<Beside>, run: Run) {
    let Some(order) = beside.order(&mut beside.state()) else {
        return;
    };
    let request = order::stop(&order.id, &run, order.authority);
    let answer = beside.send_order(&order, request, ANSWER).await;
    match answer.map(|answer| order::stopped(answer.status)) {
        Ok(Ok(true)) => beside.state().runs.stop_answered(&run),
        Ok(Ok(false)) => beside.fence(&mut beside.state(), order.authority.token),
        Ok(Err(order::Error::Replaced)) => beside.replace(&mut beside.state(), &order),
        // It is sent again for as long as the run is there.
        Ok(Err(error)) => log::warn!("{run}: stop: {error}"),
        Err(error) => log::debug!("{run}: stop not answered: {error}"),
    }
    beside.look.notify_one();
}

/// Looks at the upstream for as long as something runs there or is not
/// acknowledged, and keeps its lease that way.
pub(super) async fn look(beside: Arc<Beside>) {
    loop {
        let due = {
            let mut state = beside.state();
            let live = !state.runs.is_empty();
            let unread = state.runs.last_seen_end() > state.acknowledged;
            match live || unread {
                true => beside.order(&mut state).map(|order| {
                    let wait = if live { LOOK_WAIT } else { Duration::ZERO };
                    (
                        order,
                        state.runs.begin_poll(),
                        state.runs.last_seen_end(),
                        wait,
                    )
                }),
                false => None,
            }
        };
        let Some((order, number, seen, wait)) = due else {
            // Woken by the next order, or to see what has lapsed meanwhile.
            let _ = tokio::time::timeout(IDLE, beside.look.notified()).await;
            beside.lapse();
            continue;
        };
        let request = order::look(&order.id, seen, wait, order.authority);
        let answer = beside.send_order(&order, request, wait + LOOK_ANSWER).await;
        beside.heeded(&mut beside.state(), &order, answer.as_ref().err());
        let found = match answer {
            Ok(answer) => beside.looked(&order, number, seen, &answer),
            Err(_) => false,
        };
        beside.lapse();
        if !found {
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
}

impl Beside {
    /// Takes in a look's answer; whether it was a good one.
    fn looked(
        self: &Arc<Self>,
        order: &Order,
        number: u64,
        seen: u64,
        answer: &client::Answer,
    ) -> bool {
        match order::listed(answer.status, &answer.body) {
            Ok(Some(list)) => self.take(order, number, seen, &list),
            Ok(None) => {
                self.fence(&mut self.state(), order.authority.token);
                false
            }
            Err(order::Error::Replaced) => {
                self.replace(&mut self.state(), order);
                false
            }
            Err(error) => {
                log::warn!("upstream {}: {error}", order.id);
                false
            }
        }
    }

    fn take(self: &Arc<Self>, order: &Order, number: u64, seen: u64, list: &List) -> bool {
        let now = self.now();
        let mut state = self.state();
        if list.unreadable > 0 {
            log::warn!(
                "upstream {}: {} entries unreadable",
                order.id,
                list.unreadable
            );
        }
        if self.tick(&mut state, order, list.clock) {
            self.replace(&mut state, order);
            return false;
        }
        state.acknowledged = state.acknowledged.max(seen);
        let ends = state
            .runs
            .apply_poll(number, &list.running, &list.ended, now);
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        let any = !ends.is_empty();
        self.deliver(&mut state, ends);
        self.tell_progress(&mut state, now);
        drop(state);
        if any {
            self.room.notify_one();
        }
        true
    }

    /// Ends what must be gone, and stops what has outlived its lease.
    fn lapse(self: &Arc<Self>) {
        let now = self.now();
        let mut state = self.state();
        let ends = state.runs.end_lapsed(now);
        if !ends.is_empty() {
            log::warn!("{} runs lapsed with the upstream's lease", ends.len());
        }
        let stops = state.runs.take_due_stops(now);
        self.send_stops(stops);
        self.deliver(&mut state, ends);
        let open = state.runs.is_open();
        state.admit(Instant::now());
        if open != state.runs.is_open() {
            log::warn!("upstream: takes new runs {}", !open);
            self.room.notify_one();
        }
    }

    fn tell_progress(&self, state: &mut State, now: Duration) {
        if now < state.progress_at + PROGRESS_PERIOD {
            return;
        }
        state.progress_at = now;
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
                clock_ms: self.clock(),
                progress,
                incarnation: self.incarnation,
                ..Reports::default()
            };
            self.send(state, &owner, reports);
        }
    }
}

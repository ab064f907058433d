//! Calls to the upstream that start and stop runs.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use gentian::claim::run::{Refusal, Run, StartAnswer};
use gentian_platform::order::{self, List, StartResponse};

use super::connection;
use super::order::Recipient;
use super::supervisor::Supervisor;
use crate::client;
use crate::logging::is_sampled;
use crate::panics::AbortOnPanic;

/// Timeout of a start or a stop. The upstream is on the same machine and answers
/// at once or not at all.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(80);

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
        let mut connection = match supervisor.connect().await {
            Ok(connection) => connection,
            Err(error) => {
                log::info!("{run}: start refused, since the upstream can't be reached: {error}");
                let refusal = start_refusal(&error);
                return handle_start_answer(&supervisor, &run, StartAnswer::Refused(refusal));
            }
        };
        let order = match supervisor.start_order(&run, &connection) {
            Ok(order) => order,
            Err(refusal) => {
                supervisor.release(connection);
                return handle_start_answer(&supervisor, &run, StartAnswer::Refused(refusal));
            }
        };
        let recipient = &order.recipient;
        let request = order::start(&recipient.id, &run, spec, order.authority);
        let answer = supervisor
            .send_order(&order, &mut connection, request, ANSWER_TIMEOUT)
            .await;
        let read = answer.map(|answer| order::parse_start(answer.status, &answer.body));
        supervisor.metrics.start_took(ordered_at.elapsed());
        match read {
            Ok(Ok((clock, begun))) => {
                if let Some(clock) = clock {
                    connection.set_clock(clock);
                }
                supervisor.release(connection);
                let mut state = supervisor.state();
                let is_present = clock.is_none_or(|clock| {
                    // The answer to a start lists no runs.
                    let list = List {
                        clock,
                        ..List::default()
                    };
                    supervisor.verify_sender(&mut state, recipient, &list)
                });
                if !is_present {
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
                                upstream = recipient.id,
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
                supervisor.handle_upstream_gone(&mut supervisor.state(), recipient);
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
                supervisor.handle_failed_order(&mut supervisor.state(), recipient, &error);
                return;
            }
            Err(error) => {
                log::warn!("{run}: start not answered, so the run may have begun: {error}");
                supervisor.handle_failed_order(&mut supervisor.state(), recipient, &error);
                return handle_start_answer(&supervisor, &run, StartAnswer::Unknown);
            }
        }
    }
    handle_start_answer(&supervisor, &run, StartAnswer::Refused(Refusal::Closed));
}

/// Why a start is refused that was not sent for want of a connection.
fn start_refusal(error: &connection::Error) -> Refusal {
    match error {
        connection::Error::Replaced => Refusal::Closed,
        connection::Error::Client(_) | connection::Error::Unusable => Refusal::NoAnswer,
    }
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
    let mut connection = match supervisor.connect().await {
        Ok(connection) => connection,
        Err(error) => {
            log::debug!("{run}: stop not sent and will be retried: {error}");
            return;
        }
    };
    let Some(order) = supervisor.next_order(&mut supervisor.state(), &connection) else {
        return;
    };
    let recipient = &order.recipient;
    let request = order::stop(&recipient.id, &run, order.authority);
    let answer = supervisor
        .send_order(&order, &mut connection, request, ANSWER_TIMEOUT)
        .await;
    if answer.is_ok() {
        supervisor.release(connection);
    }
    match answer.map(|answer| order::parse_stop(answer.status)) {
        Ok(Ok(true)) => supervisor.handle_stop_answer(recipient, &run),
        Ok(Ok(false)) => supervisor.raise_token(&mut supervisor.state(), order.authority.token),
        Ok(Err(order::Error::Replaced)) => {
            supervisor.handle_upstream_gone(&mut supervisor.state(), recipient)
        }
        // The stop is sent again as long as the upstream may have the run.
        Ok(Err(error)) => {
            log::warn!("{run}: stop has an unusable answer and will be retried: {error}")
        }
        Err(error) => log::debug!("{run}: stop not answered and will be retried: {error}"),
    }
    supervisor.poll_wakeup.notify_one();
}

impl Supervisor {
    /// Handles the answer to a stop, which tells nothing of a process that has taken the
    /// upstream's place since.
    fn handle_stop_answer(&self, recipient: &Recipient, run: &Run) {
        let mut state = self.state();
        if !recipient.is_outdated(&state) {
            state.runs.stop_answered(run);
        }
    }
}

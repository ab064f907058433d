//! Orders to the upstream: their addressee, their authority and the lease in them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gentian::claim::run::{LeaseGrant, Refusal, Replacement, Run};
use gentian_platform::order::{Authority, Clock, List};
use http_body_util::Full;

use super::supervisor::{State, Supervisor};
use super::upstream::UpstreamState;
use crate::client;

/// Addressee and authority of an order to the upstream.
pub(super) struct Order {
    pub(super) id: String,
    address: SocketAddr,
    pub(super) authority: Authority,
    /// Lease that the order grants to the upstream, if any.
    grant: Option<LeaseGrant>,
    /// Number of processes that had taken the upstream's place by then.
    replacements: u64,
}

/// The process that has sent an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// The one that is known, or one that names no start time.
    Present,
    /// Another one with its id.
    Other,
    /// Not known: another one has been noticed since the order was sent.
    Unknown,
}

impl Order {
    /// Whether another process has taken the upstream's place since the order was prepared.
    pub(super) fn is_outdated(&self, state: &State) -> bool {
        state.replacements != self.replacements
    }
}

impl Supervisor {
    /// Prepares an order to the upstream, with the lease that it may be granted now.
    /// Returns `None` if no upstream has reported yet.
    pub(super) fn next_order(&self, state: &mut State) -> Option<Order> {
        let now = self.now();
        let upstream = state.upstream.as_ref()?;
        let lease = state
            .runs
            .upstream_lease(now)
            .filter(|_| upstream.may_hold_lease());
        let until = lease.map(|until| upstream.clock() + until.saturating_sub(now));
        let order = Order {
            id: upstream.incarnation().id.clone(),
            address: upstream.report.address,
            authority: Authority {
                token: state.token,
                until,
            },
            grant: lease.map(|until| state.runs.begin_grant(until, now)),
            replacements: state.replacements,
        };
        Some(order)
    }

    /// Prepares the order to start an admitted run, which may have waited for long.
    pub(super) fn start_order(&self, run: &Run) -> Result<Order, Refusal> {
        let now = self.now();
        let mut state = self.state();
        state.runs.check_start(run, now)?;
        let order = self.next_order(&mut state).ok_or(Refusal::Closed)?;
        if order.authority.until.is_none() {
            return Err(Refusal::Expired);
        }
        state.runs.start_sent(run, now);
        Ok(order)
    }

    /// Sends an order, and records whether the lease in it may have arrived.
    pub(super) async fn send_order(
        &self,
        order: &Order,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> client::Result<client::Answer> {
        let (mut head, body) = request.into_parts();
        let uri = format!("http://{}{}", order.address, head.uri);
        head.uri = uri.parse().expect("an address and a path make a URI");
        let request = http::Request::from_parts(head, Full::new(body));
        let answer = self.client.send(request, timeout).await;
        let reached = !matches!(answer, Err(client::Error::Connect(_)));
        let mut state = self.state();
        if let Some(grant) = order.grant {
            state.runs.end_grant(grant, reached);
        }
        drop(state);
        answer
    }

    /// Records whether a poll was answered, which decides whether the upstream is
    /// given new runs.
    pub(super) fn record_poll_answer(
        &self,
        state: &mut State,
        order: &Order,
        error: Option<&client::Error>,
    ) {
        let outdated = order.is_outdated(state);
        let Some(upstream) = state.upstream.as_mut().filter(|_| !outdated) else {
            return;
        };
        let now = self.now();
        let was_open = upstream.is_open(now);
        upstream.record_poll(error.is_none());
        match (was_open, upstream.is_open(now), error) {
            (true, false, Some(error)) => {
                log::warn!(
                    "upstream {}: polls are not answered, so it gets no new runs: {error}",
                    order.id
                );
            }
            (false, true, _) => log::info!(
                "upstream {}: answers polls again and may get new runs",
                order.id
            ),
            _ => return,
        }
        state.update_admission(now);
        self.room_changed.notify_one();
    }

    /// Records the clock in an answer to `order`, and tells which process it is of.
    pub(super) fn update_clock(&self, state: &mut State, order: &Order, clock: Clock) -> Origin {
        if order.is_outdated(state) {
            return Origin::Unknown;
        }
        let Some(upstream) = &mut state.upstream else {
            return Origin::Unknown;
        };
        if upstream.is_other_incarnation(clock) {
            return Origin::Other;
        }
        upstream.set_clock(clock.now, self.now());
        Origin::Present
    }

    /// Handles an answer to `order` that shows that no process with the upstream's id is left
    /// at its address.
    pub(super) fn handle_upstream_gone(&self, state: &mut State, order: &Order) {
        let outdated = order.is_outdated(state);
        let upstream = state.upstream.as_mut();
        let Some(upstream) = upstream.filter(|upstream| !outdated && !upstream.is_replaced())
        else {
            return;
        };
        let ended = upstream.clone();
        upstream.mark_replaced();
        self.record_crash(state, &ended);
        let replacement = Replacement {
            same_id: false,
            former_ended: true,
        };
        self.replace(state, order, replacement);
    }

    /// Handles an answer to `order` from another process with the upstream's id; `list` holds
    /// the runs in it, if any. That one is the upstream from now on, whatever was reported: it
    /// gets no new runs before its heartbeat, and its next list shows which of the runs it has.
    pub(super) fn handle_successor(&self, state: &mut State, order: &Order, list: &List) {
        let clock = list.clock;
        let outdated = order.is_outdated(state);
        let Some(former) = state.upstream.clone().filter(|_| !outdated) else {
            return;
        };
        let is_later = clock.born_ms > former.incarnation().born_ms;
        match is_later {
            true => self.record_crash_before(state, &former, list),
            // No such process answers: another writer has reported it.
            false => state.unproven_crash = None,
        }
        state.upstream = Some(UpstreamState::answered(&former, clock, self.now()));
        let replacement = Replacement {
            same_id: true,
            former_ended: is_later,
        };
        self.replace(state, order, replacement);
    }

    fn replace(&self, state: &mut State, order: &Order, replacement: Replacement) {
        log::warn!(
            "upstream {}: another incarnation answered an order: {replacement:?}",
            order.id
        );
        let now = self.now();
        state.update_admission(now);
        let ends = state.replace_upstream(replacement, now);
        self.report_ends(state, ends);
        self.room_changed.notify_one();
        self.poll_wakeup.notify_one();
    }

    /// Raises the fencing token after an order with the token `used` was rejected,
    /// unless another order has raised it already.
    pub(super) fn raise_token(&self, state: &mut State, used: u64) {
        if state.token == used {
            state.token += state.token_step;
            state.token_step *= 2;
            log::warn!(
                "upstream rejected fencing token {used} as too low; raised to {}",
                state.token
            );
        }
    }
}

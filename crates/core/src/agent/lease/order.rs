//! Orders to the upstream: their recipient, their authority and the lease in them.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gentian::claim::run::{LeaseGrant, Refusal, Replacement, Run};
use gentian_platform::order::{self, Authority, Clock, List};

use super::connection::Connection;
use super::supervisor::{State, Supervisor};
use super::upstream::UpstreamState;
use crate::client;

/// The process of the upstream that orders are meant for.
#[derive(Clone, Debug)]
pub(super) struct Recipient {
    pub(super) id: String,
    pub(super) address: SocketAddr,
    /// Number of processes that had taken the upstream's place when this one was looked up.
    pub(super) replacements: u64,
}

/// Recipient and authority of an order to the upstream.
pub(super) struct Order {
    pub(super) recipient: Recipient,
    pub(super) authority: Authority,
    /// Lease that the order grants to the upstream, if any.
    grant: Option<LeaseGrant>,
}

/// The process that has sent an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// The one that is known, or one that names no start time.
    Present,
    /// Another one with its id.
    Other,
    /// Not known: another one has been noticed since the order was sent.
    Unknown,
}

impl Recipient {
    /// Whether another process has taken its place.
    pub(super) fn is_outdated(&self, state: &State) -> bool {
        state.replacements != self.replacements
    }
}

impl Supervisor {
    /// Prepares an order on this connection, with the lease that its process may be granted now.
    /// Returns `None` if another process has taken its place.
    pub(super) fn next_order(&self, state: &mut State, connection: &Connection) -> Option<Order> {
        let now = self.now();
        if connection.recipient.is_outdated(state) {
            return None;
        }
        let upstream = state.upstream.as_ref()?;
        let lease = state
            .runs
            .upstream_lease(now)
            .filter(|_| upstream.may_hold_lease());
        let until = lease.map(|until| connection.clock() + until.saturating_sub(now));
        let order = Order {
            recipient: connection.recipient.clone(),
            authority: Authority {
                token: state.token,
                until,
            },
            grant: lease.map(|until| state.runs.begin_grant(until, now)),
        };
        Some(order)
    }

    /// Prepares the order to start an admitted run, which may have waited for long.
    pub(super) fn start_order(&self, run: &Run, connection: &Connection) -> Result<Order, Refusal> {
        let now = self.now();
        let mut state = self.state();
        state.runs.check_start(run, now)?;
        let order = self.next_order(&mut state, connection);
        let order = order.ok_or(Refusal::Closed)?;
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
        connection: &mut Connection,
        request: http::Request<Bytes>,
        timeout: Duration,
    ) -> client::Result<client::Answer> {
        let answer = connection.send(request, timeout).await;
        let reached = !matches!(answer, Err(client::Error::Connect(_)));
        if let Some(grant) = order.grant {
            self.state().runs.end_grant(grant, reached);
        }
        answer
    }

    /// Records whether a poll was answered, which decides whether the upstream is
    /// given new runs.
    pub(super) fn record_poll_answer(
        &self,
        state: &mut State,
        recipient: &Recipient,
        error: Option<&client::Error>,
    ) {
        let outdated = recipient.is_outdated(state);
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
                    recipient.id
                );
            }
            (false, true, _) => log::info!(
                "upstream {}: answers polls again and may get new runs",
                recipient.id
            ),
            _ => return,
        }
        state.update_admission(now);
        self.room_changed.notify_one();
    }

    /// Decodes the answer of `recipient` to a poll with this fencing token. `None` if it lists
    /// nothing; what it shows instead has been taken note of.
    pub(super) fn read_list(
        &self,
        recipient: &Recipient,
        token: u64,
        answer: &client::Answer,
    ) -> Option<List> {
        match order::parse_poll(answer.status, &answer.body) {
            Ok(Some(list)) => return Some(list),
            Ok(None) => self.raise_token(&mut self.state(), token),
            Err(order::Error::Replaced) => {
                self.handle_upstream_gone(&mut self.state(), recipient);
            }
            Err(error) => log::warn!(
                "upstream {}: ignored the answer to a poll: {error}",
                recipient.id
            ),
        }
        None
    }

    /// Whether an answer that lists these runs is of `recipient`. If another process with its id
    /// has sent it, that one is the upstream from now on.
    pub(super) fn verify_sender(
        &self,
        state: &mut State,
        recipient: &Recipient,
        list: &List,
    ) -> bool {
        match self.origin(state, recipient, list.clock) {
            Origin::Present => true,
            Origin::Other => {
                self.handle_successor(state, recipient, list);
                false
            }
            Origin::Unknown => false,
        }
    }

    /// Tells which process an answer with this clock is of, which `recipient` was asked for.
    fn origin(&self, state: &mut State, recipient: &Recipient, clock: Clock) -> Origin {
        if recipient.is_outdated(state) {
            return Origin::Unknown;
        }
        let Some(upstream) = &mut state.upstream else {
            return Origin::Unknown;
        };
        if upstream.is_other_incarnation(clock) {
            return Origin::Other;
        }
        upstream.mark_heard(self.now());
        Origin::Present
    }

    /// Handles an answer that shows that no process with the recipient's id is left at its
    /// address.
    pub(super) fn handle_upstream_gone(&self, state: &mut State, recipient: &Recipient) {
        let outdated = recipient.is_outdated(state);
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
        self.replace(state, recipient, replacement);
    }

    /// Handles an answer from another process with the recipient's id; `list` holds the runs in
    /// it, if any. That one is the upstream from now on, whatever was reported: it
    /// gets no new runs before its heartbeat, and its next list shows which of the runs it has.
    fn handle_successor(&self, state: &mut State, recipient: &Recipient, list: &List) {
        let clock = list.clock;
        let outdated = recipient.is_outdated(state);
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
        self.replace(state, recipient, replacement);
    }

    fn replace(&self, state: &mut State, recipient: &Recipient, replacement: Replacement) {
        log::warn!(
            "upstream {}: another incarnation answered an order: {replacement:?}",
            recipient.id
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

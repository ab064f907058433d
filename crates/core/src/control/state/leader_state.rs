//! The leader's state that is not replicated: lease renewals and quota loans.

use std::time::Duration;

use gentian::member::lease_table::{LeaseTable, Timing};
use gentian::member::quota_share::Lender;

/// Duration of a node's lease, which the node counts from the sending of the renewal.
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(4_000);
/// Duration of a quota loan, which the entry counts from the sending of the request.
pub(crate) const LOAN_DURATION: Duration = Duration::from_millis(4_000);

/// See [`Timing::margin`].
const MARGIN: Duration = Duration::from_millis(1_000);
/// See [`Timing::quarantine`].
const QUARANTINE: Duration = Duration::from_millis(5_000);

/// The leader's state in one term. It starts empty in each term.
#[derive(Debug)]
pub(crate) struct LeaderState {
    term: u64,
    pub(crate) leases: LeaseTable,
    pub(crate) lender: Lender,
}

impl LeaderState {
    /// Creates the state of a leader whose term starts at `now`.
    pub(crate) fn new(term: u64, now: Duration) -> LeaderState {
        let timing = Timing {
            lease: LEASE_DURATION,
            margin: MARGIN,
            quarantine: QUARANTINE,
        };
        LeaderState {
            term,
            leases: LeaseTable::new(now, timing),
            lender: Lender::new(now, LOAN_DURATION),
        }
    }

    /// Returns the state for `term`, which is reset first if it belongs to another
    /// term.
    pub(crate) fn for_term(&mut self, term: u64, now: Duration) -> &mut LeaderState {
        if self.term != term {
            *self = LeaderState::new(term, now);
        }
        self
    }
}

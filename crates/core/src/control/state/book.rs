//! The leader's books: who renews, and which shares are lent.

use std::time::Duration;

use gentian::member::lease_table::{LeaseTable, Timing};
use gentian::member::quota_share::Lender;

/// How long a node's lease lasts, from the sending of the renewal.
pub(crate) const LEASE: Duration = Duration::from_millis(4_000);
/// How long a loan of a quota's share lasts, from the sending of the request.
pub(crate) const LOAN: Duration = Duration::from_millis(4_000);

const MARGIN: Duration = Duration::from_millis(1_000);
const QUARANTINE: Duration = Duration::from_millis(5_000);

/// The books of one term. A new term starts with empty ones.
#[derive(Debug)]
pub(crate) struct Book {
    term: u64,
    pub(crate) table: LeaseTable,
    pub(crate) bank: Lender,
}

impl Book {
    /// The books of a leader whose term starts now.
    pub(crate) fn new(term: u64, now: Duration) -> Book {
        let timing = Timing {
            lease: LEASE,
            margin: MARGIN,
            quarantine: QUARANTINE,
        };
        Book {
            term,
            table: LeaseTable::new(now, timing),
            bank: Lender::new(now, LOAN),
        }
    }

    /// The books for `term`: these, or empty ones if they are of another term.
    pub(crate) fn turn(&mut self, term: u64, now: Duration) -> &mut Book {
        if self.term != term {
            *self = Book::new(term, now);
        }
        self
    }
}

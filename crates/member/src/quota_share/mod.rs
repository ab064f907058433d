//! Shares of teams' quotas, lent to entries.
//!
//! An entry may use its share until the loan lapses, counted from the sending of
//! the request; the leader counts from its receipt, which is later. A promise
//! that was lost on the way may have arrived, so the leader takes the largest
//! one that has not lapsed for the entry's share. The shares of dead entries
//! come back the same way.
//!
//! Requests may outlast the loan that they began under. An entry tells what it
//! holds or still has in progress, and that is not lent to others either.
//!
//! Loans of one team never sum to more than the largest quota in force within
//! the last loan period. Requests in progress may do so only by those of an
//! entry that has told nothing for a loan period. Loans are not replicated: a new leader lends nothing
//! until those of the one before it have lapsed, which holds only where every
//! loan is confirmed by a majority as renewals are.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node, Team};

/// An entry that borrows: a restarted one is another borrower.
pub type Borrower = (Node, Incarnation);

/// What an entry asks for a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareRequest {
    /// What it was lent or still has in progress.
    pub held: u32,
    /// What its demand would need.
    pub wanted: u32,
}

/// The leader's book of loans; times since a monotonic origin.
#[derive(Clone, Debug)]
pub struct Lender {
    period: Duration,
    lends_from: Duration,
    loans: BTreeMap<Team, BTreeMap<Borrower, Loan>>,
}

#[derive(Clone, Debug, Default)]
struct Loan {
    wanted: u32,
    /// End and amount; later ends have smaller amounts.
    promises: Vec<(Duration, u32)>,
}

impl Lender {
    /// The book of a leader that starts now. Loans last for `period`, and so
    /// did those of the leader before.
    pub fn new(now: Duration, period: Duration) -> Lender {
        Lender {
            period,
            lends_from: now + period,
            loans: BTreeMap::new(),
        }
    }

    /// How long a loan lasts, from the sending of the request.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Lends an entry a share of a team's quota, in proportion to what all
    /// entries want; what nobody wants is split evenly.
    pub fn lend(
        &mut self,
        now: Duration,
        borrower: &Borrower,
        team: &Team,
        ask: ShareRequest,
        quota: u32,
    ) -> u32 {
        let loans = self.loans.entry(team.clone()).or_default();
        loans.retain(|_, loan| loan.holds(now));
        loans.entry(borrower.clone()).or_default().wanted = ask.wanted;
        let target = target(loans, borrower, quota);
        let others = loans.iter().filter(|(other, _)| *other != borrower);
        let lent = others.fold(0, |sum: u32, (_, loan)| sum.saturating_add(loan.amount()));
        let amount = match now < self.lends_from {
            true => 0,
            false => target.min(quota.saturating_sub(lent)),
        };
        if let Some(loan) = loans.get_mut(borrower) {
            loan.promise(now + self.period, amount.max(ask.held));
        }
        amount
    }
}

impl Loan {
    fn holds(&mut self, now: Duration) -> bool {
        self.promises.retain(|(end, _)| now < *end);
        !self.promises.is_empty()
    }

    fn amount(&self) -> u32 {
        self.promises.first().map_or(0, |(_, amount)| *amount)
    }

    fn promise(&mut self, end: Duration, amount: u32) {
        self.promises.retain(|(_, before)| *before > amount);
        self.promises.push((end, amount));
    }
}

/// The share of one entry if all loans were made anew.
fn target(loans: &BTreeMap<Borrower, Loan>, borrower: &Borrower, quota: u32) -> u32 {
    let total: u128 = loans.values().map(|loan| u128::from(loan.wanted)).sum();
    let quota = u128::from(quota);
    let before: u128 = loans
        .range(..borrower)
        .map(|(_, loan)| u128::from(loan.wanted))
        .sum();
    let wanted = loans.get(borrower).map_or(0, |loan| loan.wanted.into());
    let share = if total > quota {
        quota * (before + wanted) / total - quota * before / total
    } else {
        wanted + (quota - total) / loans.len() as u128
    };
    u32::try_from(share).unwrap_or(u32::MAX)
}

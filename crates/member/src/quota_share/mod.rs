//! The leader's allocation of teams' quotas to entries.
//!
//! Each entry borrows a share of a team's quota for a limited period. The entry
//! counts the period from the time it sent the request, the leader from the
//! later time it received the request, so a loan always expires at the entry
//! first. The leader can't know which of its replies were delivered, so it counts
//! the largest unexpired grant as the entry's share. The shares of dead entries
//! are reclaimed in the same way, when their grants expire.
//!
//! Requests may outlast the loan under which they started. Each entry therefore
//! reports how much it holds or still has in progress, and the leader doesn't
//! lend that much to others.
//!
//! The loans of one team never sum to more than the largest quota in force
//! within the last loan period. The requests in progress may exceed that quota only
//! if an entry has not reported for a loan period, by the number that it still runs.
//!
//! Loans are not replicated. A new leader lends nothing until all loans of its
//! predecessor have expired. This is safe only if, before it sends a loan, the
//! leader has a majority confirm that it still leads, as for lease renewals.

use std::collections::BTreeMap;
use std::time::Duration;

use gentian_wire::id::{Incarnation, Node, Team};

/// An entry that borrows. A restarted entry is a different borrower.
pub type Borrower = (Node, Incarnation);

/// An entry's request for a share of one team's quota.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareRequest {
    /// Units that the entry has on loan or that its requests in progress still use.
    pub held: u32,
    /// Units that the entry's current demand needs.
    pub wanted: u32,
}

/// Lends shares of quotas and tracks the outstanding loans. Times are durations
/// since a monotonic origin.
#[derive(Clone, Debug)]
pub struct Lender {
    period: Duration,
    /// When all loans of the previous leader have expired.
    lending_start: Duration,
    loans: BTreeMap<Team, BTreeMap<Borrower, Loan>>,
}

#[derive(Clone, Debug, Default)]
struct Loan {
    wanted: u32,
    /// Expiry and amount of each grant that may be in use; an amount includes
    /// what the borrower reported as held. Sorted by expiry, with amounts that
    /// decrease: a new grant replaces earlier ones that are not larger.
    grants: Vec<(Duration, u32)>,
}

impl Lender {
    /// Creates the lender of a leader whose term starts at `now`. Its loans, and
    /// those of its predecessor, last for `period`.
    pub fn new(now: Duration, period: Duration) -> Lender {
        Lender {
            period,
            lending_start: now + period,
            loans: BTreeMap::new(),
        }
    }

    /// Duration of a loan, counted from the sending of the request.
    pub fn period(&self) -> Duration {
        self.period
    }

    /// Lends an entry a share of a team's quota and returns its size.
    ///
    /// If entries want more than the quota, it is divided in proportion to what
    /// each wants; otherwise the surplus is split evenly. The loan is limited to
    /// what is not lent to others, and is 0 while loans of the previous leader
    /// may be in use.
    pub fn lend(
        &mut self,
        now: Duration,
        borrower: &Borrower,
        team: &Team,
        request: ShareRequest,
        quota: u32,
    ) -> u32 {
        let loans = self.loans.entry(team.clone()).or_default();
        loans.retain(|_, loan| loan.retain_unexpired(now));
        loans.entry(borrower.clone()).or_default().wanted = request.wanted;
        let target = target(loans, borrower, quota);
        let others = loans.iter().filter(|(other, _)| *other != borrower);
        let lent_to_others = others.fold(0, |sum: u32, (_, loan)| {
            sum.saturating_add(loan.largest_grant())
        });
        let amount = match now < self.lending_start {
            true => 0,
            false => target.min(quota.saturating_sub(lent_to_others)),
        };
        if let Some(loan) = loans.get_mut(borrower) {
            loan.add_grant(now + self.period, amount.max(request.held));
        }
        amount
    }
}

impl Loan {
    /// Drops expired grants and returns whether any are left.
    fn retain_unexpired(&mut self, now: Duration) -> bool {
        self.grants.retain(|(expiry, _)| now < *expiry);
        !self.grants.is_empty()
    }

    fn largest_grant(&self) -> u32 {
        self.grants.first().map_or(0, |(_, amount)| *amount)
    }

    fn add_grant(&mut self, expiry: Duration, amount: u32) {
        self.grants.retain(|(_, earlier)| *earlier > amount);
        self.grants.push((expiry, amount));
    }
}

/// The borrower's share if the whole quota were divided anew.
///
/// Proportional shares are rounded on their running sum, so that they add up to
/// exactly the quota.
fn target(loans: &BTreeMap<Borrower, Loan>, borrower: &Borrower, quota: u32) -> u32 {
    let total_wanted: u128 = loans.values().map(|loan| u128::from(loan.wanted)).sum();
    let quota = u128::from(quota);
    let wanted_before: u128 = loans
        .range(..borrower)
        .map(|(_, loan)| u128::from(loan.wanted))
        .sum();
    let wanted = loans.get(borrower).map_or(0, |loan| loan.wanted.into());
    let share = if total_wanted > quota {
        quota * (wanted_before + wanted) / total_wanted - quota * wanted_before / total_wanted
    } else {
        wanted + (quota - total_wanted) / loans.len() as u128
    };
    u32::try_from(share).unwrap_or(u32::MAX)
}

//! Team quotas, as far as one entry instance may use them.
//!
//! A quota limits the requests that a team may have in progress in total. The
//! control instances lend each entry a part of it for a limited time. The entry
//! asks for as much as its recent demand needs, so that the quota moves to the
//! entries where the team's requests arrive.

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id::Team;
use strum::Display;

/// Factor by which the requested amount exceeds the demand.
const HEADROOM: f64 = 1.25;

/// Share by which the remembered demand shrinks with each loan request.
const DEMAND_DECAY: f64 = 0.3;

/// Why a request may not start.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The amount lent to this entry is fully in use.
    Used,
    /// Nothing has been lent to this entry, or the loan has expired.
    Expired,
}

/// A result whose error tells why a request may not start.
pub type Result<T> = std::result::Result<T, Cause>;

/// Part of a team's quota that this entry may use for a limited time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Loan {
    /// Number of requests that may be in progress at once.
    pub amount: u32,
    /// Expiry. The entry counts the duration of the loan from the time it sent its
    /// request, so that its loan never outlasts the lender's.
    pub until: Duration,
}

/// Request of an entry to the control instances for a part of a team's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// Amount lent to the entry or still in use there, whichever is larger. It can't be
    /// lent to others yet.
    pub held: u32,
    /// Amount that would satisfy the demand.
    pub wanted: u32,
}

/// Loans and use of the quotas of all teams, at one entry.
///
/// Teams without a quota are not limited, but their requests are counted, so that a
/// quota introduced later also covers requests already in progress.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    teams: HashMap<Team, Account>,
}

impl TeamQuotas {
    /// Sets the teams that have a quota. A team that had none before starts without a
    /// loan.
    pub fn set_teams(&mut self, teams: &[Team]) {
        let limited = |team: &Team| teams.contains(team);
        for (team, account) in &mut self.teams {
            account.limited = limited(team);
        }
        for team in teams {
            self.teams.entry(team.clone()).or_default().limited = true;
        }
        self.teams.retain(|_, account| !account.is_idle());
    }

    /// Records a loan. If it is smaller than the number of requests in progress, no
    /// new ones may start until enough have ended.
    pub fn lend(&mut self, team: &Team, loan: Loan) {
        if let Some(account) = self.teams.get_mut(team) {
            account.loan = loan;
        }
    }

    /// Counts the start of a request of the team, if it may start.
    pub fn acquire(&mut self, team: &Team, now: Duration) -> Result<()> {
        let account = self.teams.entry(team.clone()).or_default();
        account.raise_demand(1);
        if account.limited {
            account.check(now)?;
        }
        account.in_use += 1;
        Ok(())
    }

    /// Checks whether a request of the team could start.
    pub fn check(&self, team: &Team, now: Duration) -> Result<()> {
        match self.teams.get(team) {
            Some(account) if account.limited => account.check(now),
            _ => Ok(()),
        }
    }

    /// Counts the end of a request of the team.
    pub fn release(&mut self, team: &Team) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        account.in_use = account.in_use.saturating_sub(1);
        if account.is_idle() {
            self.teams.remove(team);
        }
    }

    /// Number of requests of the team in progress.
    pub fn in_use(&self, team: &Team) -> u32 {
        self.teams.get(team).map_or(0, |account| account.in_use)
    }

    /// What to ask the control instances for, given that `waiting` requests of the
    /// team wait; `None` if the team is unknown. Each call decays the remembered
    /// demand, so call this once per request to the control instances.
    pub fn loan_request(
        &mut self,
        team: &Team,
        waiting: u32,
        now: Duration,
    ) -> Option<LoanRequest> {
        let account = self.teams.get_mut(team)?;
        account.raise_demand(waiting);
        let wanted = (account.demand * HEADROOM).ceil() as u32;
        account.demand = (account.demand * (1.0 - DEMAND_DECAY)).max(f64::from(account.in_use));
        let held = account.in_use.max(account.lent(now));
        Some(LoanRequest { held, wanted })
    }

    /// Iterates over the teams that have a quota.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams
            .iter()
            .filter(|(_, account)| account.limited)
            .map(|(team, _)| team)
    }
}

/// Loan and use of one team's quota.
#[derive(Debug, Default)]
struct Account {
    limited: bool,
    loan: Loan,
    in_use: u32,
    /// Highest recent number of requests in progress or waiting, decayed over time.
    demand: f64,
}

impl Account {
    fn is_idle(&self) -> bool {
        !self.limited && self.in_use == 0
    }

    fn lent(&self, now: Duration) -> u32 {
        if now < self.loan.until {
            self.loan.amount
        } else {
            0
        }
    }

    fn check(&self, now: Duration) -> Result<()> {
        if now >= self.loan.until {
            return Err(Cause::Expired);
        }
        if self.in_use >= self.loan.amount {
            return Err(Cause::Used);
        }
        Ok(())
    }

    /// Raises the demand to the requests in progress plus `more`.
    fn raise_demand(&mut self, more: u32) {
        let demand = f64::from(self.in_use) + f64::from(more);
        self.demand = self.demand.max(demand);
    }
}

//! Shares of teams' quotas that are lent to one entry.
//!
//! The control instances lend each entry a number of requests that a team may
//! have in progress there. A loan ends by itself; the entry asks for what the
//! demand of the last moments would need, so that shares move to where a team's
//! requests arrive.

use std::collections::HashMap;
use std::time::Duration;

use gentian_wire::id::Team;
use strum::Display;

/// How much more than the highest demand is asked for.
const HEADROOM: f64 = 1.25;

/// Part of a demand that is gone by the next request for a loan.
const FADING: f64 = 0.3;

/// Why a request may not begin.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// All that is lent to this entry is in use.
    Used,
    /// Nothing is lent to this entry, or the loan has ended.
    Expired,
}

/// A result whose error tells why a request may not begin.
pub type Result<T> = std::result::Result<T, Cause>;

/// Requests of a team that this entry may have in progress until a time.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Loan {
    /// Requests at once.
    pub amount: u32,
    /// End of the loan, counted from the sending of the request for it.
    pub until: Duration,
}

/// What one entry asks the control instances for a team.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoanRequest {
    /// What is lent or still in use, and can't be lent to others yet.
    pub held: u32,
    /// What the demand would need.
    pub wanted: u32,
}

/// Loans of all teams that have a quota. Teams without one are not limited, but
/// counted, so that a quota which begins later holds for what runs already.
#[derive(Debug, Default)]
pub struct TeamQuotas {
    teams: HashMap<Team, Account>,
}

impl TeamQuotas {
    /// Limits exactly these teams from now on. A team that was not limited
    /// before begins with nothing lent.
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

    /// Takes over what was lent. Less than is in use stops new requests until
    /// enough have ended.
    pub fn lend(&mut self, team: &Team, loan: Loan) {
        if let Some(account) = self.teams.get_mut(team) {
            account.loan = loan;
        }
    }

    /// Begins a request of the team.
    pub fn acquire(&mut self, team: &Team, now: Duration) -> Result<()> {
        let account = self.teams.entry(team.clone()).or_default();
        account.want(1);
        if account.limited {
            account.check(now)?;
        }
        account.in_use += 1;
        Ok(())
    }

    /// Whether a request of the team could begin.
    pub fn check(&self, team: &Team, now: Duration) -> Result<()> {
        match self.teams.get(team) {
            Some(account) if account.limited => account.check(now),
            _ => Ok(()),
        }
    }

    /// Ends a request of the team.
    pub fn release(&mut self, team: &Team) {
        let Some(account) = self.teams.get_mut(team) else {
            return;
        };
        account.in_use = account.in_use.saturating_sub(1);
        if account.is_idle() {
            self.teams.remove(team);
        }
    }

    /// Requests of the team in progress.
    pub fn in_use(&self, team: &Team) -> u32 {
        self.teams.get(team).map_or(0, |account| account.in_use)
    }

    /// What to ask for the team of which `waiting` requests wait now. To be
    /// called once for each request to the control instances.
    pub fn loan_request(
        &mut self,
        team: &Team,
        waiting: u32,
        now: Duration,
    ) -> Option<LoanRequest> {
        let account = self.teams.get_mut(team)?;
        account.want(waiting);
        let wanted = (account.demand * HEADROOM).ceil() as u32;
        account.demand = (account.demand * (1.0 - FADING)).max(f64::from(account.in_use));
        let held = account.in_use.max(account.lent(now));
        Some(LoanRequest { held, wanted })
    }

    /// Every team that has a quota.
    pub fn teams(&self) -> impl Iterator<Item = &Team> {
        self.teams
            .iter()
            .filter(|(_, account)| account.limited)
            .map(|(team, _)| team)
    }
}

/// One team's loan and use.
#[derive(Debug, Default)]
struct Account {
    limited: bool,
    loan: Loan,
    in_use: u32,
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

    /// Raises the demand to what is in use and `more`.
    fn want(&mut self, more: u32) {
        let demand = f64::from(self.in_use) + f64::from(more);
        self.demand = self.demand.max(demand);
    }
}

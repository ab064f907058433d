//! Changes of the members, one at a time.

use rand::Rng;

use super::{Error, Position, Replica, Result, State};
use crate::{
    entry::Body,
    id,
    members::{Change, Members, Peer},
};

impl<R: Rng> Replica<R> {
    /// Writes the first member set of a new cluster.
    ///
    /// Only a member that belongs to none takes it, so an empty data folder
    /// waits for an operator instead of founding a cluster of its own.
    pub fn init(&mut self, now: std::time::Duration, peers: Vec<Peer>) -> Result<()> {
        self.advance(now);
        if matches!(self.state, State::Halted) {
            return Err(Error::Halted(self.id));
        }
        if self.hard_state.cluster().is_some() {
            return Err(Error::AlreadyInitialized(self.id));
        }
        let members = Members::initial(peers)?;
        if !members.is_voter(self.id) {
            return Err(Error::NotInInitialMembers(self.id));
        }
        self.hard_state.cluster = id::Cluster::random(&mut self.rng).get();
        self.set_term(1);
        self.hard_state.vote = self.id.get();
        let alone = members.majority() == 1;
        self.append_own(Some(Body::Members(members)));
        if alone {
            // No leader before it could still hold a lease.
            self.deadline = self.now;
        }
        self.flush();
        Ok(())
    }

    /// Starts an operator's change of the members.
    ///
    /// A resent command returns [`Error::AlreadyDone`], whether or not this leader took
    /// it first; the change is in force once an entry at or after the position
    /// of the first answer is committed.
    pub fn change_members(
        &mut self,
        now: std::time::Duration,
        command: id::Command,
        change: &Change,
    ) -> Result<Position> {
        self.advance(now);
        self.check_leader()?;
        if self.is_changing() {
            return Err(Error::ChangeInProgress);
        }
        if self.members().is_done(command) {
            return Err(Error::AlreadyDone(command));
        }
        let next = self.members().with_change(command, change)?;
        let position = self.append_members(next);
        self.flush();
        Ok(position)
    }

    /// Takes the next step of a change in progress: promotes a learner that
    /// holds all that is committed, or lets a replaced member go.
    pub(super) fn drive_change(&mut self) {
        if self.is_changing() {
            return;
        }
        if self.commit >= self.log.members_index() && !self.members().is_voter(self.id) {
            self.follow(self.hard_state.term, None);
            return;
        }
        if let Some(old) = self.members().replaced_member() {
            self.append_members(self.members().without(old));
            return;
        }
        if let Some(id) = self.caught_up() {
            self.append_members(self.members().with_voter(id));
        }
    }

    fn append_members(&mut self, members: Members) -> Position {
        let position = self.append_own(Some(Body::Members(members)));
        if let State::Leader(leader) = &mut self.state {
            let ids: Vec<_> = self.log.members().ids().collect();
            leader.progress.retain(|id, _| ids.contains(id));
        }
        self.broadcast();
        position
    }

    /// Two changes may overlap only if their majorities do, so the next waits
    /// for the last, and the first of a term for the term's own first entry.
    fn is_changing(&self) -> bool {
        match &self.state {
            State::Leader(leader) => self.commit < self.log.members_index().max(leader.first),
            _ => true,
        }
    }

    fn caught_up(&self) -> Option<id::Member> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let learners = self.members().peers().iter().filter(|p| !p.voter);
        learners.filter_map(Peer::id).find(|id| {
            leader
                .progress
                .get(id)
                .is_some_and(|p| p.matched >= self.commit)
        })
    }
}

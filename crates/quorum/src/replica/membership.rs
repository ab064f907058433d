//! Membership changes, one at a time.

use rand::Rng;

use super::{Error, Position, Replica, Result, State};
use crate::{
    entry::Body,
    id,
    members::{Change, Members, Peer},
};

impl<R: Rng> Replica<R> {
    /// Starts a new cluster with `peers` as its initial members.
    ///
    /// Fails if this member already belongs to a cluster. A replica never does this
    /// by itself when its data folder is empty: an instance that lost its disk would
    /// start a second cluster.
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
        let single_voter = members.majority() == 1;
        self.append_local(Some(Body::Members(members)));
        if single_voter {
            // There was no earlier leader whose lease could still be valid, so
            // this member needn't wait for an election timeout.
            self.election_deadline = self.now;
        }
        self.finish_event();
        Ok(())
    }

    /// Starts a change of the members.
    ///
    /// The new members are in force at once, but the change may still be lost until
    /// the entry at the returned position is committed. A command that is sent again
    /// returns [`Error::AlreadyDone`], even if another leader accepted it the first
    /// time.
    pub fn change_members(
        &mut self,
        now: std::time::Duration,
        command: id::Command,
        change: &Change,
    ) -> Result<Position> {
        self.advance(now);
        self.check_leader()?;
        if self.is_change_in_progress() {
            return Err(Error::ChangeInProgress);
        }
        if self.members().is_done(command) {
            return Err(Error::AlreadyDone(command));
        }
        let next = self.members().with_change(command, change)?;
        let position = self.append_members(next);
        self.finish_event();
        Ok(position)
    }

    /// Takes the next step of a membership change once the previous step is committed:
    /// steps down if this leader has lost its vote, removes a replaced member, or
    /// promotes a learner that holds all committed entries.
    pub(super) fn advance_change(&mut self) {
        if self.is_change_in_progress() {
            return;
        }
        if self.commit_index >= self.log.members_index() && !self.members().is_voter(self.id) {
            self.become_follower(self.hard_state.term, None);
            return;
        }
        if let Some(old) = self.members().replaced_member() {
            self.append_members(self.members().without(old));
            return;
        }
        if let Some(id) = self.caught_up_learner() {
            self.append_members(self.members().with_voter(id));
        }
    }

    fn append_members(&mut self, members: Members) -> Position {
        let position = self.append_local(Some(Body::Members(members)));
        if let State::Leader(leader) = &mut self.state {
            let ids: Vec<_> = self.log.members().ids().collect();
            leader.progress.retain(|id, _| ids.contains(id));
        }
        self.broadcast();
        position
    }

    /// Whether a new change has to wait.
    ///
    /// Majorities of sets that differ by more than one voter need not overlap, so
    /// the previous change must be committed first. A new leader must also commit
    /// the first entry of its own term, since an earlier leader may have appended
    /// a change that this one doesn't hold.
    fn is_change_in_progress(&self) -> bool {
        match &self.state {
            State::Leader(leader) => {
                self.commit_index < self.log.members_index().max(leader.first_index)
            }
            _ => true,
        }
    }

    /// A learner that holds all committed entries and can be given a vote.
    fn caught_up_learner(&self) -> Option<id::Member> {
        let State::Leader(leader) = &self.state else {
            return None;
        };
        let learners = self.members().peers().iter().filter(|p| !p.voter);
        learners.filter_map(Peer::id).find(|id| {
            leader
                .progress
                .get(id)
                .is_some_and(|p| p.match_index >= self.commit_index)
        })
    }
}

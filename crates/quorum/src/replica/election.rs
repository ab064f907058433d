//! Elections: pre-vote, vote, and when a member stays with its leader.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Replica, State};
use crate::{
    id,
    message::{Body, VoteRequest, VoteResponse},
};

/// A campaign in progress.
#[derive(Debug)]
pub(super) struct Candidate {
    pre: bool,
    votes: BTreeSet<id::Member>,
}

impl<R: Rng> Replica<R> {
    /// Asks first whether a campaign would succeed, so that a member that was
    /// cut off doesn't unseat the leader by its grown term.
    pub(super) fn campaign(&mut self) {
        self.reset_deadline();
        if self.may_campaign() {
            self.solicit(true);
        }
    }

    /// A member that a change removes may be the only one that holds the
    /// change, so it campaigns, without a vote of its own, until that is committed.
    fn may_campaign(&self) -> bool {
        let change = self.log.members_index();
        let leaving = change > self.commit && self.log.members_at(change - 1).is_voter(self.id);
        leaving || self.members().is_voter(self.id)
    }

    fn solicit(&mut self, pre: bool) {
        if !pre {
            self.set_term(self.hard_state.term + 1);
            self.hard_state.vote = self.id.get();
        }
        let votes = BTreeSet::from([self.id]);
        self.set_state(State::Candidate(Candidate { pre, votes }));
        let vote = VoteRequest {
            pre,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = self.hard_state.term + u64::from(pre);
        let others: Vec<_> = self.members().voters().filter(|v| *v != self.id).collect();
        for to in others {
            self.send_synced_as(to, term, Body::VoteRequest(vote));
        }
        self.count_votes();
    }

    fn count_votes(&mut self) {
        let State::Candidate(candidate) = &self.state else {
            return;
        };
        let votes = self
            .members()
            .voters()
            .filter(|v| candidate.votes.contains(v))
            .count();
        if votes < self.members().majority() {
            return;
        }
        if candidate.pre {
            self.solicit(false);
        } else {
            self.lead();
        }
    }

    pub(super) fn on_vote(&mut self, from: id::Member, term: u64, vote: VoteRequest) {
        if self.is_loyal() {
            return;
        }
        if term > self.hard_state.term && !vote.pre {
            self.follow(term, None);
        }
        let granted =
            term >= self.hard_state.term && self.may_vote(from, vote) && self.is_current(vote);
        if granted && !vote.pre {
            self.hard_state.vote = from.get();
            self.hard_changed = true;
            self.reset_deadline();
        }
        let answer = Body::VoteResponse(VoteResponse {
            pre: vote.pre,
            granted,
        });
        let answer_term = if granted { term } else { self.hard_state.term };
        self.send_synced_as(from, answer_term, answer);
    }

    pub(super) fn on_voted(&mut self, from: id::Member, term: u64, voted: VoteResponse) {
        if !voted.granted && term > self.hard_state.term {
            self.follow(term, None);
            return;
        }
        let State::Candidate(candidate) = &mut self.state else {
            return;
        };
        let wanted = self.hard_state.term + u64::from(candidate.pre);
        if voted.granted && voted.pre == candidate.pre && term == wanted {
            candidate.votes.insert(from);
            self.count_votes();
        }
    }

    /// A leader, and whoever heard from one within the election timeout, elects
    /// no other: on this rest the leader's lease and its freedom from disruption.
    fn is_loyal(&self) -> bool {
        matches!(self.state, State::Leader(_)) || self.now < self.contact + self.settings.election
    }

    fn may_vote(&self, from: id::Member, vote: VoteRequest) -> bool {
        vote.pre || self.hard_state.vote().is_none_or(|voted| voted == from)
    }

    fn is_current(&self, vote: VoteRequest) -> bool {
        let ours = (self.log.last_term(), self.log.last_index());
        (vote.last_term, vote.last_index) >= ours
    }
}

//! Leader election with pre-votes.

use std::collections::BTreeSet;

use rand::Rng;

use super::{Replica, State};
use crate::{
    id,
    message::{Body, VoteRequest, VoteResponse},
};

/// State of a member that is asking for votes.
#[derive(Debug)]
pub(super) struct Candidate {
    /// Whether this is the pre-vote round, before the term is raised.
    pre_vote: bool,
    votes: BTreeSet<id::Member>,
}

impl<R: Rng> Replica<R> {
    /// Starts an election with a pre-vote round, which doesn't raise the term.
    ///
    /// Without pre-votes, a member that was partitioned would return with a higher term
    /// and force a working leader to step down.
    pub(super) fn campaign(&mut self) {
        self.reset_election_deadline();
        if self.may_campaign() {
            self.request_votes(true);
        }
    }

    /// Whether this member may become a candidate.
    ///
    /// A voter may. So may a member whose removal is not committed yet, since it
    /// may be the only one whose log holds that change; its own vote doesn't count.
    fn may_campaign(&self) -> bool {
        let change = self.log.members_index();
        let being_removed =
            change > self.commit_index && self.log.members_at(change - 1).is_voter(self.id);
        being_removed || self.members().is_voter(self.id)
    }

    fn request_votes(&mut self, pre_vote: bool) {
        if !pre_vote {
            self.set_term(self.hard_state.term + 1);
            self.hard_state.vote = self.id.get();
            self.reset_election_deadline();
        }
        let votes = BTreeSet::from([self.id]);
        self.set_state(State::Candidate(Candidate { pre_vote, votes }));
        let vote = VoteRequest {
            pre_vote,
            last_index: self.log.last_index(),
            last_term: self.log.last_term(),
        };
        let term = self.hard_state.term + u64::from(pre_vote);
        let others: Vec<_> = self.members().voters().filter(|v| *v != self.id).collect();
        for to in others {
            self.send_after_sync_in_term(to, term, Body::VoteRequest(vote));
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
        if candidate.pre_vote {
            self.request_votes(false);
        } else {
            self.become_leader();
        }
    }

    pub(super) fn on_vote_request(&mut self, from: id::Member, term: u64, request: VoteRequest) {
        if self.has_live_leader() && !self.has_stepped_down(from, term) {
            return;
        }
        if term > self.hard_state.term && !request.pre_vote {
            self.become_follower(term, None);
        }
        let granted = term >= self.hard_state.term
            && self.may_vote_for(from, request)
            && self.is_log_up_to_date(request);
        if granted && !request.pre_vote {
            self.hard_state.vote = from.get();
            self.hard_state_changed = true;
            self.reset_election_deadline();
        }
        let response = Body::VoteResponse(VoteResponse {
            pre_vote: request.pre_vote,
            granted,
        });
        let response_term = if granted { term } else { self.hard_state.term };
        self.send_after_sync_in_term(from, response_term, response);
    }

    pub(super) fn on_vote_response(&mut self, from: id::Member, term: u64, response: VoteResponse) {
        if !response.granted && term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let State::Candidate(candidate) = &mut self.state else {
            return;
        };
        let expected_term = self.hard_state.term + u64::from(candidate.pre_vote);
        if response.granted && response.pre_vote == candidate.pre_vote && term == expected_term {
            candidate.votes.insert(from);
            self.count_votes();
        }
    }

    /// Whether this member leads, or heard from a leader within the election timeout.
    ///
    /// If so, this member ignores requests for its vote. The leader's lease depends
    /// on this, and it keeps other members from disrupting a working leader.
    fn has_live_leader(&self) -> bool {
        matches!(self.state, State::Leader(_))
            || self.now < self.last_leader_contact + self.settings.election_timeout
    }

    /// Whether a request for votes in `term` shows that its sender is the leader of this
    /// member's term, and leads no longer: a leader asks for no votes.
    ///
    /// Nobody else holds a lease that this member has confirmed. The leader of an earlier
    /// term lost its lease before that one was elected, and this member knows no later term.
    /// It knows the leader of its term even after a restart, since it syncs that before it
    /// confirms anything.
    fn has_stepped_down(&self, from: id::Member, term: u64) -> bool {
        term > self.hard_state.term && self.hard_state.leader() == Some(from)
    }

    /// Whether no other member got this member's vote in the current term.
    fn may_vote_for(&self, from: id::Member, request: VoteRequest) -> bool {
        request.pre_vote || self.hard_state.vote().is_none_or(|voted| voted == from)
    }

    /// Whether the candidate's log is at least as up to date as this member's.
    fn is_log_up_to_date(&self, request: VoteRequest) -> bool {
        let ours = (self.log.last_term(), self.log.last_index());
        (request.last_term, request.last_index) >= ours
    }
}

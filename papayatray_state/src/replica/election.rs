//! Elections: pre-vote, vote, and the quorum that a leader must keep hearing from.

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;

use super::Message;
use super::Payload;
use super::Position;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::core::ELECTION_LEAST;
use super::core::Progress;

impl Replica {
    pub(super) fn tick_follower(&mut self) {
        if self.now.since(self.timer) < self.wait || !self.log.members().is_voter(&self.id) {
            return;
        }
        self.timer = self.now;
        self.draw_wait();
        self.leader = None;
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.id.clone());
        let term = self.hard_state.term.next();
        let last = self.log.last();
        for id in self.others() {
            self.send(&id, Message::PreVote { term, last });
        }
        self.count_pre_votes();
    }

    /// Steps down in favour of a replica that has caught up, as part of a planned stop.
    ///
    /// From here on the replica gives no answers as a leader.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last().index;
        let members = self.log.members();
        let fit = self
            .progress
            .iter()
            .find(|(id, p)| p.matched == last && members.is_voter(id));
        if let Some(heir) = fit.map(|(id, _)| id.clone()) {
            self.yielding = Some(self.now);
            self.send(
                &heir,
                Message::Stand {
                    term: self.hard_state.term,
                },
            );
        }
    }

    pub(super) fn on_stand(&mut self, from: &ReplicaId, term: Term) {
        let is_leader = self.leader.as_ref() == Some(from);
        if term == self.hard_state.term && is_leader && self.log.members().is_voter(&self.id) {
            self.stand(true);
        }
    }

    fn stand(&mut self, transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.timer = self.now;
        self.draw_wait();
        self.set_hard(self.hard_state.term.next(), Some(self.id.clone()));
        self.votes.clear();
        self.votes.insert(self.id.clone());
        let term = self.hard_state.term;
        let last = self.log.last();
        for id in self.others() {
            self.send(
                &id,
                Message::Vote {
                    term,
                    last,
                    transfer,
                },
            );
        }
        self.count_votes();
    }

    /// Tells whether a leader may still count on this replica, so that nobody else may be helped.
    ///
    /// A replica that has just started may have promised so and forgotten it.
    fn is_led(&self) -> bool {
        self.role == Role::Leader || self.now.since(self.heard) < ELECTION_LEAST
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, from: &ReplicaId, term: Term, last: Position) {
        let granted = term > self.hard_state.term && !self.is_led() && self.is_up_to_date(last);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: &ReplicaId, term: Term, granted: bool) {
        if !granted {
            self.note_term(term);
            return;
        }
        if self.role == Role::PreCandidate && term == self.hard_state.term.next() {
            self.votes.insert(from.clone());
            self.count_pre_votes();
        }
    }

    /// Decides on a vote.
    ///
    /// A replica that is no voter by its own log may be one by the candidate's, which alone counts.
    pub(super) fn on_vote(&mut self, from: &ReplicaId, term: Term, last: Position, transfer: bool) {
        if !transfer && self.is_led() {
            // A leader may still be counting on this replica: the lease must run out first, also
            // where the replica has heard of the candidate's term by another way.
            return;
        }
        self.note_term(term);
        let is_free = self.hard_state.vote.is_none() || self.hard_state.vote.as_ref() == Some(from);
        let granted = term == self.hard_state.term
            && self.role != Role::Leader
            && is_free
            && self.is_up_to_date(last);
        if granted {
            self.timer = self.now;
            if self.hard_state.vote.is_none() {
                self.set_hard(term, Some(from.clone()));
            }
        }
        self.send(
            from,
            Message::VoteReply {
                term: self.hard_state.term,
                granted,
            },
        );
    }

    pub(super) fn on_vote_reply(&mut self, from: &ReplicaId, term: Term, granted: bool) {
        self.note_term(term);
        if !granted || self.role != Role::Candidate || term != self.hard_state.term {
            return;
        }
        self.mark(from, term, 0);
        self.votes.insert(from.clone());
        self.count_votes();
    }

    fn has_quorum_of_votes(&self) -> bool {
        let members = self.log.members();
        let votes = self.votes.iter().filter(|id| members.is_voter(id)).count();
        votes >= members.quorum()
    }

    fn count_pre_votes(&mut self) {
        if self.has_quorum_of_votes() {
            self.stand(false);
        }
    }

    fn count_votes(&mut self) {
        if self.has_quorum_of_votes() {
            self.lead();
        }
    }

    fn lead(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.led_since = self.now;
        self.yielding = None;
        self.progress.clear();
        let next = self.log.last().index + 1;
        for id in self.others() {
            let progress = Progress {
                next,
                since: self.now,
                ..Progress::default()
            };
            self.progress.insert(id, progress);
        }
        self.append_own(Payload::Blank);
        self.broadcast();
    }

    /// Follows a higher term, if `term` is one.
    pub(super) fn note_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.set_hard(term, None);
            self.follow(None);
        }
    }

    pub(super) fn follow(&mut self, leader: Option<ReplicaId>) {
        if self.role == Role::Leader {
            self.timer = self.now;
        }
        self.role = Role::Follower;
        self.yielding = None;
        self.leader = leader;
    }

    /// Steps down when no quorum has answered, or no heir stood, for as long as an election takes.
    pub(super) fn check_quorum(&mut self) {
        let since = self
            .quorum_ack()
            .unwrap_or(Millis::ZERO)
            .max(self.led_since);
        // An heir that never stood is given up in another term: in this one, a late message could
        // still make it stand, and nobody could count on the lease.
        let is_stuck = self
            .yielding
            .is_some_and(|at| self.now.since(at) > ELECTION_LEAST);
        if is_stuck || self.now.since(since) > ELECTION_LEAST {
            self.follow(None);
        }
    }
}

//! Elections: pre-vote, vote, leadership transfer and the leader's check for a quorum.

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;

use super::Message;
use super::Payload;
use super::Position;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::core::MIN_ELECTION_TIMEOUT;
use super::core::Progress;
use super::message::SendMarks;

impl Replica {
    pub(super) fn tick_follower(&mut self) {
        if self.now.since(self.timer_start) < self.election_timeout
            || !self.log.members().is_voter(&self.id)
        {
            return;
        }
        self.timer_start = self.now;
        self.draw_election_timeout();
        self.leader = None;
        self.role = Role::PreCandidate;
        self.votes.clear();
        self.votes.insert(self.id.clone());
        let term = self.hard_state.term.next();
        let last = self.log.last();
        for id in self.other_members() {
            self.send(&id, Message::PreVoteRequest { term, last });
        }
        self.count_pre_votes();
    }

    /// Starts to transfer leadership to a voter that has the whole log, for a graceful shutdown.
    ///
    /// From this call on the replica is not current and accepts no commands. If it does not lead,
    /// or no voter has caught up, nothing happens.
    pub fn transfer_leadership(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.role != Role::Leader {
            return;
        }
        let last = self.log.last().index;
        let members = self.log.members();
        let caught_up = self
            .progress
            .iter()
            .find(|(id, p)| p.matched == last && members.is_voter(id));
        if let Some(successor) = caught_up.map(|(id, _)| id.clone()) {
            self.transfer_start = Some(self.now);
            self.send(
                &successor,
                Message::TimeoutNow {
                    term: self.hard_state.term,
                },
            );
        }
    }

    pub(super) fn on_timeout_now(&mut self, from: &ReplicaId, term: Term) {
        let is_leader = self.leader.as_ref() == Some(from);
        if term == self.hard_state.term && is_leader && self.log.members().is_voter(&self.id) {
            self.start_election(true);
        }
    }

    /// Starts an election; `is_transfer` tells the voters that the leader has given up its lease.
    fn start_election(&mut self, is_transfer: bool) {
        self.role = Role::Candidate;
        self.leader = None;
        self.timer_start = self.now;
        self.draw_election_timeout();
        self.set_hard_state(self.hard_state.term.next(), Some(self.id.clone()));
        self.votes.clear();
        self.votes.insert(self.id.clone());
        let term = self.hard_state.term;
        let last = self.log.last();
        for id in self.other_members() {
            self.send(
                &id,
                Message::VoteRequest {
                    term,
                    last,
                    is_transfer,
                },
            );
        }
        self.count_votes();
    }

    /// Tells whether this replica must not vote for another candidate, because a leader's lease may
    /// still rely on this replica's answer to a heartbeat.
    ///
    /// The start of this replica counts as hearing from a leader, because it may have answered a
    /// heartbeat just before it restarted, unless that promise was released.
    fn is_bound_to_leader(&self) -> bool {
        let is_bound = |since| self.now.since(since) < MIN_ELECTION_TIMEOUT;
        self.role == Role::Leader || self.bound_since.is_some_and(is_bound)
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        last >= self.log.last()
    }

    pub(super) fn on_pre_vote(&mut self, from: &ReplicaId, term: Term, last: Position) {
        let granted =
            term > self.hard_state.term && !self.is_bound_to_leader() && self.is_up_to_date(last);
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(super) fn on_pre_vote_reply(&mut self, from: &ReplicaId, term: Term, granted: bool) {
        if !granted {
            self.observe_term(term);
            return;
        }
        if self.role == Role::PreCandidate && term == self.hard_state.term.next() {
            self.votes.insert(from.clone());
            self.count_pre_votes();
        }
    }

    /// Decides on a vote.
    ///
    /// The replica votes even if its own log lists it as a learner: the candidate counts voters by
    /// its own log, which may already list this replica as one.
    pub(super) fn on_vote(
        &mut self,
        from: &ReplicaId,
        term: Term,
        last: Position,
        is_transfer: bool,
    ) {
        if !is_transfer && self.is_bound_to_leader() {
            // The current leader's lease must expire first, even if this replica has learned of
            // the candidate's term from another message.
            return;
        }
        self.observe_term(term);
        let is_vote_free =
            self.hard_state.vote.is_none() || self.hard_state.vote.as_ref() == Some(from);
        let granted = term == self.hard_state.term
            && self.role != Role::Leader
            && is_vote_free
            && self.is_up_to_date(last);
        if granted {
            self.timer_start = self.now;
            if self.hard_state.vote.is_none() {
                self.set_hard_state(term, Some(from.clone()));
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
        self.observe_term(term);
        if !granted || self.role != Role::Candidate || term != self.hard_state.term {
            return;
        }
        // A vote acknowledges the term, but no entry.
        self.record_acknowledged(from, term, 0);
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
            self.start_election(false);
        }
    }

    fn count_votes(&mut self) {
        if self.has_quorum_of_votes() {
            self.become_leader();
        }
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id.clone());
        self.led_since = self.now;
        self.send_marks = SendMarks::new(self.draw(), self.now);
        self.transfer_start = None;
        self.progress.clear();
        let next = self.log.last().index + 1;
        for id in self.other_members() {
            let progress = Progress {
                next,
                started_at: self.now,
                ..Progress::default()
            };
            self.progress.insert(id, progress);
        }
        self.append(Payload::Noop);
        self.broadcast();
    }

    /// Adopts `term` and steps down, if it is higher than the replica's own.
    pub(super) fn observe_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.set_hard_state(term, None);
            self.become_follower(None);
        }
    }

    pub(super) fn become_follower(&mut self, leader: Option<ReplicaId>) {
        if self.role == Role::Leader {
            self.timer_start = self.now;
        }
        self.role = Role::Follower;
        self.transfer_start = None;
        self.leader = leader;
    }

    /// Steps down if, for longer than [`MIN_ELECTION_TIMEOUT`], no quorum has answered or a
    /// leadership transfer has not led to an election.
    pub(super) fn check_quorum(&mut self) {
        let last_quorum = self
            .quorum_ack(0)
            .unwrap_or(Millis::ZERO)
            .max(self.led_since);
        // A failed transfer ends the leadership instead of being cancelled: a delayed `TimeoutNow`
        // could still make the successor start an election that ignores this leader's lease.
        let is_transfer_stuck = self
            .transfer_start
            .is_some_and(|at| self.now.since(at) > MIN_ELECTION_TIMEOUT);
        if is_transfer_stuck || self.now.since(last_quorum) > MIN_ELECTION_TIMEOUT {
            self.become_follower(None);
        }
    }
}

//! Log replication, and the membership changes that the leader performs.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;

use super::Entry;
use super::Index;
use super::Members;
use super::Message;
use super::Payload;
use super::Position;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::SendMark;
use super::Snapshot;
use super::core::HEARTBEAT_INTERVAL;
use super::core::Progress;

/// Bytes of commands after which a message takes no further entries.
const BATCH_BYTES: usize = 1 << 20;
/// Time after which unanswered entries or an unanswered snapshot are sent again.
const RESEND_TIMEOUT: Millis = Millis::new(300);

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        self.check_quorum();
        if self.role != Role::Leader {
            return;
        }
        if self.now.since(self.last_heartbeat) >= HEARTBEAT_INTERVAL {
            self.send_heartbeats();
        }
        self.change_members();
        self.repair_members();
    }

    /// Sends heartbeats to all members.
    ///
    /// Also sent when the first entry of a term is committed: only then do the followers know what is
    /// committed after a restart of all replicas, and they serve the plan to the entries near them.
    fn send_heartbeats(&mut self) {
        self.last_heartbeat = self.now;
        for id in self.other_members() {
            self.send_append(&id, true);
        }
    }

    pub(super) fn broadcast(&mut self) {
        for id in self.other_members() {
            self.send_append(&id, false);
        }
    }

    /// Sends `to` the entries or the snapshot that it lacks, unless earlier ones are unanswered.
    ///
    /// A heartbeat goes out even without entries, except to a replica that needs a snapshot.
    fn send_append(&mut self, to: &ReplicaId, is_heartbeat: bool) {
        let last = self.log.last().index;
        let initial = Progress {
            next: last + 1,
            started_at: self.now,
            ..Progress::default()
        };
        let progress = *self.progress.entry(to.clone()).or_insert(initial);
        let has_unanswered = progress
            .unanswered_sent
            .is_some_and(|at| self.now.since(at) < RESEND_TIMEOUT);
        if has_unanswered && !is_heartbeat {
            return;
        }
        let previous = progress.next - 1;
        let Some(term) = self.log.term(previous) else {
            self.send_snapshot(to, has_unanswered);
            return;
        };
        let entries = if has_unanswered {
            Vec::new()
        } else {
            self.batch(progress.next)
        };
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        if !entries.is_empty() {
            self.set_unanswered(to, Some(self.now));
        }
        let message = Message::AppendRequest {
            term: self.hard_state.term,
            previous: Position {
                term,
                index: previous,
            },
            entries,
            commit: self.commit,
            mark: self.send_marks.mark(self.now),
            acknowledged_by: if is_heartbeat {
                self.match_indexes()
            } else {
                BTreeMap::new()
            },
        };
        self.send(to, message);
    }

    fn batch(&self, first: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let within = |entry: &&Entry| {
            let fits = bytes < BATCH_BYTES;
            bytes += match &entry.payload {
                Payload::Command(command) => command.len(),
                _ => 0,
            };
            fits
        };
        let entries = self.log.range(first, self.log.last().index);
        entries.iter().take_while(within).cloned().collect()
    }

    fn send_snapshot(&mut self, to: &ReplicaId, has_unanswered: bool) {
        if has_unanswered {
            return;
        }
        self.set_unanswered(to, Some(self.now));
        let message = Message::InstallSnapshot {
            term: self.hard_state.term,
            snapshot: self.snapshot.clone(),
            mark: self.send_marks.mark(self.now),
        };
        self.send(to, message);
    }

    fn set_unanswered(&mut self, id: &ReplicaId, at: Option<Millis>) {
        if let Some(progress) = self.progress.get_mut(id) {
            progress.unanswered_sent = at;
        }
    }

    fn match_indexes(&self) -> BTreeMap<ReplicaId, Index> {
        let matched = self.progress.iter().filter(|(_, p)| p.matched > 0);
        matched.map(|(id, p)| (id.clone(), p.matched)).collect()
    }

    /// Records that `id` has acknowledged the log up to `index` in `term`.
    pub(super) fn record_acknowledged(&mut self, id: &ReplicaId, term: Term, index: Index) {
        let acknowledged = self.acknowledged_by.entry(id.clone()).or_default();
        *acknowledged = (*acknowledged).max((term, index));
    }

    pub(super) fn on_append(&mut self, from: &ReplicaId, message: Message) {
        let Message::AppendRequest {
            term,
            previous,
            entries,
            commit,
            mark,
            acknowledged_by,
        } = message
        else {
            return;
        };
        if !self.accept_leader(from, term) {
            return;
        }
        for (id, index) in acknowledged_by {
            self.record_acknowledged(&id, term, index);
        }
        let matched = self.add_entries(previous, entries);
        if let Some(matched) = matched {
            self.commit = self.commit.max(commit.min(matched));
        }
        self.reply_append(from, matched, mark);
    }

    /// Accepts `from` as the leader of `term`; rejects and answers the leader of an older term.
    ///
    /// The answer to an older term informs of the term and acknowledges nothing: the sender may lead the
    /// present term by now, in a later process, and this replica has promised it nothing here.
    fn accept_leader(&mut self, from: &ReplicaId, term: Term) -> bool {
        if term < self.hard_state.term {
            self.reply_append(from, None, SendMark::NONE);
            return false;
        }
        self.observe_term(term);
        if self.role != Role::Follower || self.leader.as_ref() != Some(from) {
            self.become_follower(Some(from.clone()));
        }
        self.last_heard = self.now;
        self.bound_since = Some(self.now);
        self.earlier_promise = None;
        self.timer_start = self.now;
        true
    }

    fn reply_append(&mut self, to: &ReplicaId, matched: Option<Index>, mark: SendMark) {
        let message = Message::AppendReply {
            term: self.hard_state.term,
            matched,
            last: self.log.last().index,
            mark,
        };
        self.send(to, message);
    }

    /// Adds the entries that follow `previous`, and returns the index up to which this log then
    /// agrees with the leader's.
    ///
    /// Returns `None` if the logs differ at `previous`.
    fn add_entries(&mut self, previous: Position, entries: Vec<Entry>) -> Option<Index> {
        let is_compacted = previous.index < self.log.base().index;
        if !is_compacted && self.log.term(previous.index) != Some(previous.term) {
            return None;
        }
        let mut matched = previous.index;
        for entry in entries {
            matched = entry.position.index;
            let is_stored = matched <= self.log.base().index
                || self.log.term(matched) == Some(entry.position.term);
            if !is_stored {
                self.put(entry);
            }
        }
        Some(matched)
    }

    pub(super) fn on_install_snapshot(
        &mut self,
        from: &ReplicaId,
        term: Term,
        snapshot: Snapshot,
        mark: SendMark,
    ) {
        if !self.accept_leader(from, term) {
            return;
        }
        let index = snapshot.position.index;
        let has_position = self.log.term(index) == Some(snapshot.position.term);
        if index > self.commit && !has_position {
            self.load(snapshot);
        }
        self.commit = self.commit.max(index);
        self.reply_append(from, Some(index), mark);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        term: Term,
        matched: Option<Index>,
        last: Index,
        mark: SendMark,
    ) {
        self.observe_term(term);
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let Some(sent) = self.send_marks.sent_at(mark, self.now) else {
            self.foreign_replies += 1;
            return;
        };
        let last_index = self.log.last().index;
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.last_acked_sent = progress.last_acked_sent.max(Some(sent));
        if progress.unanswered_sent <= Some(sent) {
            progress.unanswered_sent = None;
        }
        if let Some(index) = matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched + 1;
            self.record_acknowledged(from, term, index);
            self.advance_commit();
        } else {
            let back = progress.next.saturating_sub(1).min(last + 1);
            progress.next = back.max(progress.matched + 1).max(1);
        }
        let next = self.progress.get(from).map_or(0, |p| p.next);
        if next <= last_index {
            self.send_append(&from.clone(), false);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matched: Vec<Index> = members
            .voters()
            .map(|id| {
                if *id == self.id {
                    return self.persisted;
                }
                self.progress.get(id).map_or(0, |progress| progress.matched)
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(members.quorum() - 1).copied() else {
            return;
        };
        // An entry of an earlier term may still be replaced, even if a quorum has stored it.
        let has_current_term = self.log.term(index) == Some(self.hard_state.term);
        if index > self.commit && has_current_term {
            let is_first_in_term = self.log.term(self.commit) != Some(self.hard_state.term);
            self.commit = index;
            if is_first_in_term {
                self.send_heartbeats();
            }
        }
    }
}

/// # Membership changes
impl Replica {
    /// Tells whether a membership change may begin.
    ///
    /// This replica must lead, and both an entry of its term and the previous membership change
    /// must be committed.
    fn may_change_members(&self) -> bool {
        let has_committed_in_term = self.log.term(self.commit) == Some(self.hard_state.term);
        self.role == Role::Leader
            && has_committed_in_term
            && self.log.last_members_change() <= self.commit
    }

    /// Adds a blank replica, which must have announced itself, as a learner.
    ///
    /// The learner first catches up, then `replaced` is removed if given, and then the learner is
    /// promoted to voter. Returns false if the change cannot begin now.
    pub fn admit(&mut self, joining: &ReplicaId, replaced: Option<&ReplicaId>) -> bool {
        let Some(address) = self.boot.blank_address(joining).map(str::to_owned) else {
            return false;
        };
        let members = self.log.members();
        let is_known = members.get(joining).is_some();
        if !self.may_change_members() || is_known || !self.is_admissible(joining) {
            return false;
        }
        let next = members.with_learner(joining, &address, replaced);
        self.set_members(next);
        true
    }

    /// Removes another member; returns false if the change cannot begin now.
    pub fn remove_member(&mut self, id: &ReplicaId) -> bool {
        if !self.may_change_members() || self.log.members().get(id).is_none() || *id == self.id {
            return false;
        }
        self.set_members(self.log.members().without(id));
        true
    }

    fn set_members(&mut self, members: Members) {
        self.append(Payload::Members(members));
        self.broadcast();
    }

    /// Takes the next step of a replacement: once the learner has caught up, removes the
    /// replaced member, then promotes the learner to voter.
    ///
    /// In this order no step needs more live replicas than the deployment needed before. If the
    /// learner were promoted first and then failed too, only two of four voters would be alive.
    fn change_members(&mut self) {
        if !self.may_change_members() {
            return;
        }
        let members = self.log.members();
        let has_caught_up = |id: &ReplicaId| {
            let matched = self.progress.get(id).map_or(0, |p| p.matched);
            matched >= self.commit
        };
        let Some((id, member)) = members
            .iter()
            .find(|(id, m)| !m.is_voter && has_caught_up(id))
        else {
            return;
        };
        match &member.replaces {
            None => self.set_members(members.with_voter(id)),
            Some(replaced) if *replaced != self.id => self.set_members(members.without(replaced)),
            Some(_) => {}
        }
    }
}

//! Replication of the log, and the changes of members that the leader carries through.

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
use super::Snapshot;
use super::core::HEARTBEAT;
use super::core::Progress;

/// Most bytes of commands in one message.
const BATCH_BYTES: usize = 1 << 20;
/// Time after which an unanswered message is sent again.
const RESEND: Millis = Millis::new(300);

impl Replica {
    pub(super) fn tick_leader(&mut self) {
        self.check_quorum();
        if self.role != Role::Leader {
            return;
        }
        if self.now.since(self.beat) >= HEARTBEAT {
            self.beat = self.now;
            for id in self.others() {
                self.send_append(&id, true);
            }
        }
        self.change_members();
        self.repair_members();
    }

    pub(super) fn broadcast(&mut self) {
        for id in self.others() {
            self.send_append(&id, false);
        }
    }

    /// Sends what `to` lacks; a beat goes out even where nothing lacks.
    fn send_append(&mut self, to: &ReplicaId, beat: bool) {
        let last = self.log.last().index;
        let first = Progress {
            next: last + 1,
            since: self.now,
            ..Progress::default()
        };
        let progress = *self.progress.entry(to.clone()).or_insert(first);
        let is_waiting = progress
            .awaiting
            .is_some_and(|at| self.now.since(at) < RESEND);
        if is_waiting && !beat {
            return;
        }
        let before = progress.next - 1;
        let Some(term) = self.log.term(before) else {
            self.send_snapshot(to, is_waiting);
            return;
        };
        let entries = if is_waiting {
            Vec::new()
        } else {
            self.batch(progress.next)
        };
        if entries.is_empty() && !beat {
            return;
        }
        if !entries.is_empty() {
            self.set_awaiting(to, Some(self.now));
        }
        let message = Message::Append {
            term: self.hard_state.term,
            before: Position {
                term,
                index: before,
            },
            entries,
            commit: self.commit,
            sent: self.now,
            marks: if beat {
                self.own_marks()
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

    fn send_snapshot(&mut self, to: &ReplicaId, is_waiting: bool) {
        if is_waiting {
            return;
        }
        self.set_awaiting(to, Some(self.now));
        let message = Message::Install {
            term: self.hard_state.term,
            snapshot: self.snapshot.clone(),
            sent: self.now,
        };
        self.send(to, message);
    }

    fn set_awaiting(&mut self, id: &ReplicaId, at: Option<Millis>) {
        if let Some(progress) = self.progress.get_mut(id) {
            progress.awaiting = at;
        }
    }

    fn own_marks(&self) -> BTreeMap<ReplicaId, Index> {
        let matched = self.progress.iter().filter(|(_, p)| p.matched > 0);
        matched.map(|(id, p)| (id.clone(), p.matched)).collect()
    }

    /// Remembers what `id` has certainly stored.
    pub(super) fn mark(&mut self, id: &ReplicaId, term: Term, index: Index) {
        let mark = self.marks.entry(id.clone()).or_default();
        *mark = (*mark).max((term, index));
    }

    pub(super) fn on_append(&mut self, from: &ReplicaId, message: Message) {
        let Message::Append {
            term,
            before,
            entries,
            commit,
            sent,
            marks,
        } = message
        else {
            return;
        };
        if !self.accept_leader(from, term, sent) {
            return;
        }
        for (id, index) in marks {
            self.mark(&id, term, index);
        }
        let matched = self.add_entries(before, entries);
        if let Some(matched) = matched {
            self.commit = self.commit.max(commit.min(matched));
        }
        self.reply_append(from, matched, sent);
    }

    /// Tells whether `from` leads the present term; answers an older leader.
    fn accept_leader(&mut self, from: &ReplicaId, term: Term, sent: Millis) -> bool {
        if term < self.hard_state.term {
            self.reply_append(from, None, sent);
            return false;
        }
        self.note_term(term);
        if self.role != Role::Follower || self.leader.as_ref() != Some(from) {
            self.follow(Some(from.clone()));
        }
        self.heard = self.now;
        self.timer = self.now;
        true
    }

    fn reply_append(&mut self, to: &ReplicaId, matched: Option<Index>, sent: Millis) {
        let message = Message::AppendReply {
            term: self.hard_state.term,
            matched,
            last: self.log.last().index,
            sent,
        };
        self.send(to, message);
    }

    fn add_entries(&mut self, before: Position, entries: Vec<Entry>) -> Option<Index> {
        let is_compacted = before.index < self.log.base().index;
        if !is_compacted && self.log.term(before.index) != Some(before.term) {
            return None;
        }
        let mut matched = before.index;
        for entry in entries {
            matched = entry.position.index;
            let is_known = matched <= self.log.base().index
                || self.log.term(matched) == Some(entry.position.term);
            if !is_known {
                self.put(entry);
            }
        }
        Some(matched)
    }

    pub(super) fn on_install(
        &mut self,
        from: &ReplicaId,
        term: Term,
        snapshot: Snapshot,
        sent: Millis,
    ) {
        if !self.accept_leader(from, term, sent) {
            return;
        }
        let index = snapshot.position.index;
        let is_known = self.log.term(index) == Some(snapshot.position.term);
        if index > self.commit && !is_known {
            self.load(snapshot);
        }
        self.commit = self.commit.max(index);
        self.reply_append(from, Some(index), sent);
    }

    pub(super) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        term: Term,
        matched: Option<Index>,
        last: Index,
        sent: Millis,
    ) {
        self.note_term(term);
        if self.role != Role::Leader || term != self.hard_state.term {
            return;
        }
        let own_last = self.log.last().index;
        let Some(progress) = self.progress.get_mut(from) else {
            return;
        };
        progress.acked = progress.acked.max(Some(sent));
        if progress.awaiting <= Some(sent) {
            progress.awaiting = None;
        }
        if let Some(index) = matched {
            progress.matched = progress.matched.max(index);
            progress.next = progress.matched + 1;
            self.mark(from, term, index);
            self.advance_commit();
        } else {
            let back = progress.next.saturating_sub(1).min(last + 1);
            progress.next = back.max(progress.matched + 1).max(1);
        }
        let next = self.progress.get(from).map_or(0, |p| p.next);
        if next <= own_last {
            self.send_append(&from.clone(), false);
        }
    }

    pub(super) fn advance_commit(&mut self) {
        let members = self.log.members();
        let mut matched: Vec<Index> = members
            .voters()
            .map(|id| {
                if *id == self.id {
                    return self.stored;
                }
                self.progress.get(id).map_or(0, |progress| progress.matched)
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let Some(index) = matched.get(members.quorum() - 1).copied() else {
            return;
        };
        let is_own = self.log.term(index) == Some(self.hard_state.term);
        if index > self.commit && is_own {
            self.commit = index;
        }
    }
}

/// # Changing members
impl Replica {
    /// Tells whether a change of members may begin: one at a time, by a leader that is current.
    fn may_change(&self) -> bool {
        let has_own = self.log.term(self.commit) == Some(self.hard_state.term);
        self.role == Role::Leader && has_own && self.log.last_change() <= self.commit
    }

    /// Takes in a replica that has sent [`Message::Blank`], in place of `lost` if that is given.
    ///
    /// The newcomer first catches up, then `lost` goes, and then the newcomer counts. Tells
    /// whether the change could begin.
    pub fn admit(&mut self, newcomer: &ReplicaId, lost: Option<&ReplicaId>) -> bool {
        let Some(address) = self.boot.blank_address(newcomer).map(str::to_owned) else {
            return false;
        };
        let members = self.log.members();
        if !self.may_change() || members.get(newcomer).is_some() {
            return false;
        }
        let next = members.with_learner(newcomer, &address, lost);
        self.set_members(next);
        true
    }

    /// Removes a replica for good; tells whether the change could begin.
    pub fn dismiss(&mut self, lost: &ReplicaId) -> bool {
        if !self.may_change() || self.log.members().get(lost).is_none() || *lost == self.id {
            return false;
        }
        self.set_members(self.log.members().without(lost));
        true
    }

    fn set_members(&mut self, members: Members) {
        self.append_own(Payload::Members(members));
        self.broadcast();
    }

    /// Carries on with replacements: once the newcomer has caught up, the lost replica goes, and
    /// then the newcomer counts.
    ///
    /// In this order no step needs more replicas alive than the deployment did before the repair:
    /// with the newcomer counted first, losing it too would leave half of four.
    fn change_members(&mut self) {
        if !self.may_change() {
            return;
        }
        let members = self.log.members();
        let is_ready = |id: &ReplicaId| {
            let matched = self.progress.get(id).map_or(0, |p| p.matched);
            matched >= self.commit
        };
        let Some((id, member)) = members.iter().find(|(id, m)| !m.voter && is_ready(id)) else {
            return;
        };
        match &member.replaces {
            None => self.set_members(members.with_voter(id)),
            Some(lost) if *lost != self.id => self.set_members(members.without(lost)),
            Some(_) => {}
        }
    }
}

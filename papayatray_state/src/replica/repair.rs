//! Automatic repair of the member list: admits blank replicas and removes lost ones.

use std::collections::BTreeSet;

use papayatray_core::clock::Millis;

use super::Replica;
use super::ReplicaId;
use super::Role;

/// Time without an answer after which a member counts as lost.
///
/// A lost voter stays a member until a blank replica can replace it.
pub(super) const LOST_TIMEOUT: Millis = Millis::new(1_500);
/// Maximum age of a blank replica's last announcement for the leader to admit the replica.
const BLANK_TTL: Millis = Millis::new(1_000);

impl Replica {
    /// Enables automatic repair: the leader admits blank replicas and removes lost ones, so that
    /// the deployment has `voters` voters.
    pub const fn set_self_repair(&mut self, voters: usize) {
        self.target_voters = Some(voters);
    }

    /// Sets the blank replicas that may join; with `None`, any may.
    ///
    /// From format level 1 on, these are the ones that have stated that they read the level.
    pub fn set_admissible(&mut self, admissible: Option<BTreeSet<ReplicaId>>) {
        self.admissible = admissible;
    }

    /// Returns whether a blank replica may join.
    ///
    /// A new leader first applies an entry of its own term, and so every entry of earlier leaders that may
    /// have raised the format level.
    pub(super) fn is_admissible(&self, id: &ReplicaId) -> bool {
        let is_up_to_date = self.log.term(self.applied) == Some(self.hard_state.term);
        let admissible = self.admissible.as_ref();
        is_up_to_date && admissible.is_none_or(|admissible| admissible.contains(id))
    }

    /// Begins the next step of a repair; only one membership change is under way at a time.
    pub(super) fn repair_members(&mut self) {
        let Some(target_voters) = self.target_voters else {
            return;
        };
        if self.role != Role::Leader || !self.is_current(self.now) {
            return;
        }
        let has_learner = self
            .log
            .members()
            .iter()
            .any(|(_, member)| !member.is_voter);
        if has_learner {
            self.remove_lost_learner();
            return;
        }
        let voters = self.log.members().voters().count();
        let lost = self.longest_silent_voter();
        if let Some(joining) = self.next_blank() {
            let predecessor = self.predecessor_of(&joining);
            let replaced = predecessor.or_else(|| lost.filter(|_| voters >= target_voters));
            // For a planned replacement, voters may exceed the target by one: the new replica joins
            // first, and the old one is removed once it is lost.
            if replaced.is_some() || voters <= target_voters {
                self.admit(&joining, replaced.as_ref());
            }
            return;
        }
        if voters > target_voters
            && let Some(lost) = lost
        {
            self.remove_member(&lost);
        }
    }

    /// Returns another member on the joining replica's VM.
    ///
    /// A VM has only one data folder, so that member's folder is gone.
    fn predecessor_of(&self, joining: &ReplicaId) -> Option<ReplicaId> {
        let members = self.log.members();
        let on_vm = members.iter().find(|(id, _)| id.vm == joining.vm);
        on_vm.map(|(id, _)| id.clone()).filter(|id| *id != self.id)
    }

    fn next_blank(&self) -> Option<ReplicaId> {
        let members = self.log.members();
        let is_candidate = |id: &&ReplicaId| members.get(id).is_none() && self.is_admissible(id);
        let mut recent = self.boot.recent_blanks(self.now, BLANK_TTL);
        recent.find(is_candidate).cloned()
    }

    /// Returns the voter that has not answered for the longest time, if that is at least
    /// [`LOST_TIMEOUT`].
    fn longest_silent_voter(&self) -> Option<ReplicaId> {
        let others = self.log.members().voters().filter(|id| **id != self.id);
        let silent = others.map(|id| (self.silence(id), id));
        let lost = silent.filter(|(silence, _)| *silence >= LOST_TIMEOUT);
        lost.max().map(|(_, id)| id.clone())
    }

    fn silence(&self, id: &ReplicaId) -> Millis {
        let progress = self.progress.get(id);
        let last_heard = progress.map_or(self.now, |p| {
            p.last_acked_sent.unwrap_or_default().max(p.started_at)
        });
        self.now.since(last_heard)
    }

    /// Removes a learner that was lost before its promotion, so that another can be admitted.
    fn remove_lost_learner(&mut self) {
        let learners = self.log.members().iter().filter(|(_, m)| !m.is_voter);
        let ids: Vec<ReplicaId> = learners.map(|(id, _)| id.clone()).collect();
        let lost = ids.into_iter().find(|id| self.silence(id) >= LOST_TIMEOUT);
        if let Some(lost) = lost {
            self.remove_member(&lost);
        }
    }
}

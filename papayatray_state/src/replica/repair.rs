//! Repair without an operator: which blank replica is taken in, and which lost one goes.

use papayatray_core::clock::Millis;

use super::Replica;
use super::ReplicaId;
use super::Role;

/// Time without an answer after which a voter counts as lost once a blank replica could stand in.
pub(super) const LOST_TIMEOUT: Millis = Millis::new(1_500);
/// Time after which a blank replica that is no longer heard of is left aside.
const BLANK_TTL: Millis = Millis::new(1_000);

impl Replica {
    /// Lets the leader take in blank replicas and remove lost ones by itself, so that `voters`
    /// replicas count.
    pub const fn set_self_repair(&mut self, voters: usize) {
        self.target_voters = Some(voters);
    }

    /// Begins the next step of a repair, one change of members at a time.
    pub(super) fn repair_members(&mut self) {
        let Some(target_voters) = self.target_voters else {
            return;
        };
        if self.role != Role::Leader || !self.is_current(self.now) {
            return;
        }
        let has_learner = self.log.members().iter().any(|(_, member)| !member.voter);
        if has_learner {
            self.remove_lost_learner();
            return;
        }
        let voters = self.log.members().voters().count();
        let lost = self.longest_silent_voter();
        if let Some(joining) = self.next_blank() {
            let predecessor = self.predecessor_of(&joining);
            let replaced = predecessor.or_else(|| lost.filter(|_| voters >= target_voters));
            // One voter over the target bridges a planned replacement.
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

    /// Returns the member that stood on the newcomer's VM; its folder is surely gone.
    fn predecessor_of(&self, joining: &ReplicaId) -> Option<ReplicaId> {
        let members = self.log.members();
        let own = members.iter().find(|(id, _)| id.vm == joining.vm);
        own.map(|(id, _)| id.clone()).filter(|id| *id != self.id)
    }

    fn next_blank(&self) -> Option<ReplicaId> {
        let members = self.log.members();
        let is_open = |id: &&ReplicaId| members.get(id).is_none();
        let mut fresh = self.boot.recent_blanks(self.now, BLANK_TTL);
        fresh.find(is_open).cloned()
    }

    /// Returns the voter that has not answered for the longest time, where that is long enough.
    fn longest_silent_voter(&self) -> Option<ReplicaId> {
        let others = self.log.members().voters().filter(|id| **id != self.id);
        let silent = others.map(|id| (self.silence(id), id));
        let lost = silent.filter(|(silence, _)| *silence >= LOST_TIMEOUT);
        lost.max().map(|(_, id)| id.clone())
    }

    fn silence(&self, id: &ReplicaId) -> Millis {
        let progress = self.progress.get(id);
        let last_heard =
            progress.map_or(self.now, |own| own.acked.unwrap_or_default().max(own.since));
        self.now.since(last_heard)
    }

    /// Gives up a newcomer that was lost before it counted, so that another can be taken in.
    fn remove_lost_learner(&mut self) {
        let learners = self.log.members().iter().filter(|(_, m)| !m.voter);
        let ids: Vec<ReplicaId> = learners.map(|(id, _)| id.clone()).collect();
        let lost = ids.into_iter().find(|id| self.silence(id) >= LOST_TIMEOUT);
        if let Some(lost) = lost {
            self.remove_member(&lost);
        }
    }
}

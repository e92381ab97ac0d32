//! Repair without an operator: which blank replica is taken in, and which lost one goes.

use papayatray_core::clock::Millis;

use super::Replica;
use super::ReplicaId;
use super::Role;

/// Time without an answer after which a voter counts as lost once a blank replica could stand in.
pub(super) const LOST_AFTER: Millis = Millis::new(1_500);
/// Time after which a blank replica that is no longer heard of is left aside.
const BLANK_KEPT: Millis = Millis::new(1_000);

impl Replica {
    /// Lets the leader take in blank replicas and remove lost ones by itself, so that `voters`
    /// replicas count.
    pub const fn set_self_repair(&mut self, voters: usize) {
        self.target = Some(voters);
    }

    /// Begins the next step of a repair, one change of members at a time.
    pub(super) fn repair_members(&mut self) {
        let Some(target) = self.target else {
            return;
        };
        if self.role != Role::Leader || !self.is_current(self.now) {
            return;
        }
        let has_learner = self.log.members().iter().any(|(_, member)| !member.voter);
        if has_learner {
            self.drop_lost_learner();
            return;
        }
        let voters = self.log.members().voters().count();
        let lost = self.longest_lost();
        if let Some(newcomer) = self.newest_blank() {
            let predecessor = self.former_of(&newcomer);
            let replaced = predecessor.or_else(|| lost.filter(|_| voters >= target));
            // One voter over the target bridges a planned replacement.
            if replaced.is_some() || voters <= target {
                self.admit(&newcomer, replaced.as_ref());
            }
            return;
        }
        if voters > target
            && let Some(lost) = lost
        {
            self.dismiss(&lost);
        }
    }

    /// Returns the member that stood on the newcomer's VM; its folder is surely gone.
    fn former_of(&self, newcomer: &ReplicaId) -> Option<ReplicaId> {
        let members = self.log.members();
        let own = members.iter().find(|(id, _)| id.vm == newcomer.vm);
        own.map(|(id, _)| id.clone()).filter(|id| *id != self.id)
    }

    fn newest_blank(&self) -> Option<ReplicaId> {
        let members = self.log.members();
        let is_open = |id: &&ReplicaId| members.get(id).is_none();
        let mut fresh = self.boot.fresh_blanks(self.now, BLANK_KEPT);
        fresh.find(is_open).cloned()
    }

    /// Returns the voter that has not answered for the longest time, where that is long enough.
    fn longest_lost(&self) -> Option<ReplicaId> {
        let others = self.log.members().voters().filter(|id| **id != self.id);
        let silent = others.map(|id| (self.silence(id), id));
        let lost = silent.filter(|(silence, _)| *silence >= LOST_AFTER);
        lost.max().map(|(_, id)| id.clone())
    }

    fn silence(&self, id: &ReplicaId) -> Millis {
        let progress = self.progress.get(id);
        let heard = progress.map_or(self.now, |own| own.acked.unwrap_or_default().max(own.since));
        self.now.since(heard)
    }

    /// Gives up a newcomer that was lost before it counted, so that another can be taken in.
    fn drop_lost_learner(&mut self) {
        let learners = self.log.members().iter().filter(|(_, m)| !m.voter);
        let ids: Vec<ReplicaId> = learners.map(|(id, _)| id.clone()).collect();
        let lost = ids.into_iter().find(|id| self.silence(id) >= LOST_AFTER);
        if let Some(lost) = lost {
            self.dismiss(&lost);
        }
    }
}

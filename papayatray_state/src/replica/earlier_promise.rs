//! Promise to a leader that a replica may have made before its process started, and its release.
//!
//! Load: all control replicas lost power and start again within some tenths of a second, while
//! callers wait. A replica that has just started must not help another candidate while a leader's
//! lease may rely on an answer that it has forgotten. Once each other member has answered, after
//! that start, that it does not lead, no such lease is left, and an election need not wait for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use papayatray_core::clock::Millis;
use papayatray_core::id::Term;

use super::Index;
use super::Message;
use super::Replica;
use super::ReplicaId;
use super::Role;
use super::core::MIN_ELECTION_TIMEOUT;

/// Time from the release of a replica to its election: within a region, the others are released by
/// then, and one that is not would refuse its vote.
const ELECTION_DELAY: Millis = Millis::new(20);

/// Start-up of a replica as its peers confirm it, until the earlier promise is released or has ended.
#[derive(Clone, Debug)]
pub(super) struct EarlierPromise {
    /// Number drawn at the start of this replica, which ties answers to it: messages that were
    /// delayed may belong to an earlier start.
    start: u64,
    /// Replicas that did not lead when they answered a request of this start.
    released_by: BTreeSet<ReplicaId>,
    /// Term and last index of the replicas that have started at about the same time.
    positions: BTreeMap<ReplicaId, (Term, Index)>,
}

impl EarlierPromise {
    pub(super) const fn new(start: u64) -> Self {
        Self {
            start,
            released_by: BTreeSet::new(),
            positions: BTreeMap::new(),
        }
    }
}

impl Replica {
    /// Returns the number of this start, while answers to it are still of use.
    pub(super) fn awaited_start(&self) -> Option<u64> {
        self.earlier_promise.as_ref().map(|promise| promise.start)
    }

    /// Returns the confirmation to a peer with the given start that this replica does not lead.
    pub(super) fn confirm_start(&self, start: Option<u64>) -> Option<u64> {
        start.filter(|_| self.role != Role::Leader)
    }

    /// Returns whether `id` has still to confirm that it does not lead.
    pub(super) fn awaits_release_by(&self, id: &ReplicaId) -> bool {
        let promise = self.earlier_promise.as_ref();
        promise.is_some_and(|promise| !promise.released_by.contains(id))
    }

    /// Records the log position of a peer that is starting too.
    pub(super) fn record_starting_peer(&mut self, id: &ReplicaId, term: Term, last: Index) {
        if let Some(promise) = &mut self.earlier_promise {
            promise.positions.insert(id.clone(), (term, last));
        }
    }

    /// Records the confirmation of `id`, and releases the promise once all members have confirmed.
    pub(super) fn record_release(&mut self, id: &ReplicaId, confirmed_start: Option<u64>) {
        if confirmed_start.is_none() || confirmed_start != self.awaited_start() {
            return;
        }
        if let Some(promise) = &mut self.earlier_promise {
            promise.released_by.insert(id.clone());
        }
        self.release_if_confirmed();
    }

    /// Records that a VM has a blank replica, so that its earlier replica is gone and leads no more.
    pub(super) fn record_replaced(&mut self, blank: &ReplicaId) {
        let members = self.other_members();
        let replaced = members
            .into_iter()
            .find(|id| id.vm == blank.vm && id != blank);
        if let (Some(promise), Some(replaced)) = (&mut self.earlier_promise, replaced) {
            promise.released_by.insert(replaced);
            self.release_if_confirmed();
        }
    }

    /// Releases the promise if this replica is open and all other members have confirmed its start.
    ///
    /// The leader that the promise was made to is one of them: it counts no answer for its lease before
    /// the answering replica has stored the leader's member list.
    pub(super) fn release_if_confirmed(&mut self) {
        let others = self.other_members();
        let Some(promise) = &self.earlier_promise else {
            return;
        };
        let is_confirmed = others.iter().all(|id| promise.released_by.contains(id));
        if !self.boot.is_open() || others.is_empty() || !is_confirmed {
            return;
        }
        let own_position = (self.hard_state.term, self.log.last().index);
        let is_preceded = others.iter().any(|id| {
            let position = promise.positions.get(id).copied().unwrap_or_default();
            position > own_position || (position == own_position && *id < self.id)
        });
        self.earlier_promise = None;
        self.bound_since = None;
        // One replica starts the election at once; several would split the vote.
        if !is_preceded {
            let elapsed = self.election_timeout.since(ELECTION_DELAY);
            self.timer_start = self.timer_start.min(self.now.since(elapsed));
        }
    }

    /// Drops the promise once it has ended by itself.
    pub(super) fn expire_earlier_promise(&mut self) {
        let has_ended = self
            .bound_since
            .is_none_or(|since| self.now.since(since) >= MIN_ELECTION_TIMEOUT);
        if has_ended {
            self.earlier_promise = None;
        }
    }

    /// Sends the rollback check to a peer, with the number of this start while it is of use.
    pub(super) fn send_rollback_check(&mut self, to: &ReplicaId) {
        let message = Message::RollbackCheckRequest {
            term: self.hard_state.term,
            last: self.log.last().index,
            start: self.awaited_start(),
        };
        self.send(to, message);
    }
}

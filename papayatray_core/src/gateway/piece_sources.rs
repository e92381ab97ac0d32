//! From which control replica an entry takes the next piece of the plan.
//!
//! Load: hundreds of entries that learn of a version in the same tenth of a second, each over a
//! narrow link. Each takes one copy from one replica at a time, in its own data centre if one is
//! there, and goes on at another if that one does not answer.

use std::collections::BTreeMap;

use super::replicas::ReplicaView;
use crate::clock::Millis;
use crate::id::PlanVersion;

/// Time for which an entry waits until the replica in its data centre has a plan that another one
/// has.
const NEAR_PATIENCE: Millis = Millis::new(300);
/// Time for which a replica that did not answer is not asked again.
const AVOIDED_TIME: Millis = Millis::new(500);
/// Time-out of the first call for a piece; it doubles with each one in a row, so that a busy link
/// delays a piece and does not prevent it.
const MIN_TIMEOUT: Millis = Millis::new(500);
/// Longest time-out of a call for a piece.
const MAX_TIMEOUT: Millis = Millis::new(4_000);

/// Versions whose first naming is remembered.
const MAX_NAMED: usize = 64;

/// What an entry does next to bring its plan up to date.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NextPiece {
    /// No replica is known to have a newer plan.
    UpToDate,
    /// Asks the replica at this address.
    From(String),
    /// Decides again after this time, if no replica replies earlier.
    Wait(Millis),
}

/// Replica that sends pieces.
#[derive(Clone, Copy, Debug)]
struct Source {
    view: ReplicaView,
    avoided_until: Millis,
}

/// Replicas that send pieces, by address.
#[derive(Clone, Debug, Default)]
pub struct PieceSources {
    sources: BTreeMap<String, Source>,
    /// Versions that the entry lacked when it last decided, and when each was named first.
    named: BTreeMap<PlanVersion, Millis>,
    /// Calls for a piece that timed out since the last piece.
    timeouts: u32,
}

impl PieceSources {
    /// Records what a reply of a replica says about it; one that sends no pieces is forgotten.
    pub fn record_reply(
        &mut self,
        address: &str,
        view: &ReplicaView,
        sends_pieces: bool,
        now: Millis,
    ) {
        if !sends_pieces {
            self.sources.remove(address);
            return;
        }
        let new = Source {
            view: *view,
            avoided_until: Millis::ZERO,
        };
        let source = self.sources.entry(address.to_owned()).or_insert(new);
        source.view = *view;
        let newest = self.named.last_key_value();
        let is_new = newest.is_none_or(|(version, _)| view.plan > *version);
        if is_new && self.named.len() < MAX_NAMED {
            self.named.insert(view.plan, now);
        }
    }

    /// Records that a replica is of no use at present.
    pub fn avoid(&mut self, address: &str, now: Millis) {
        if let Some(source) = self.sources.get_mut(address) {
            source.avoided_until = now + AVOIDED_TIME;
        }
    }

    /// Records that a call for a piece timed out.
    pub fn record_timeout(&mut self, address: &str, now: Millis) {
        self.timeouts = self.timeouts.saturating_add(1);
        self.avoid(address, now);
    }

    /// Records that a piece was received.
    pub const fn record_success(&mut self) {
        self.timeouts = 0;
    }

    /// Returns whether a replica sends pieces.
    pub fn has_any(&self) -> bool {
        !self.sources.is_empty()
    }

    /// Returns the time-out of the next call.
    pub fn timeout(&self) -> Millis {
        MIN_TIMEOUT.doubled(self.timeouts, MAX_TIMEOUT)
    }

    /// Returns what an entry whose plan has the version `held` does next.
    ///
    /// While the replica of its data centre, or else the leader, has no newer plan yet, the entry
    /// waits for it a short time, so that one replica does not send the plan to all entries. The
    /// time counts from the first version that the entry lacks: later ones may follow faster than
    /// it passes.
    pub fn next(&mut self, held: PlanVersion, now: Millis) -> NextPiece {
        self.named.retain(|version, _| *version > held);
        let named_at = self.named.values().next().copied();
        let has_newer = |source: &Source| source.view.plan > held;
        let order = |source: &Source| {
            let is_avoided = source.avoided_until > now;
            (is_avoided, !source.view.is_near, !source.view.is_leader)
        };
        let newer = self.sources.iter().filter(|(_, source)| has_newer(source));
        let Some((address, best)) = newer.min_by_key(|(_, source)| order(source)) else {
            return NextPiece::UpToDate;
        };
        if best.avoided_until > now {
            return NextPiece::Wait(best.avoided_until.since(now));
        }
        let is_catching_up = |source: &&Source| {
            !has_newer(source)
                && source.view.plan > PlanVersion::default()
                && order(source) < order(best)
        };
        let waited = named_at.map_or(NEAR_PATIENCE, |named_at| now.since(named_at));
        let patience_left = NEAR_PATIENCE.since(waited);
        if patience_left > Millis::ZERO
            && self.sources.values().any(|source| is_catching_up(&source))
        {
            return NextPiece::Wait(patience_left);
        }
        NextPiece::From(address.clone())
    }
}

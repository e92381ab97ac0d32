//! Freshness of an entry's plan: requests with a key are refused once a key may have been revoked
//! without the entry knowing.
//!
//! After a simultaneous restart of all processes, callers retry before the control replicas have
//! elected a leader and before endpoints have sent a heartbeat; requests therefore wait a bounded
//! time for the first freshness proof and the first endpoint.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::PlanVersion;

/// Part of a bound that may be used up, in tenths; the rest covers clock differences and scheduling
/// delays.
const USED_BOUND_TENTHS: u64 = 9;
/// Longest wait of a request for the first proof: control VMs that start 0.5 s later, an election
/// of 0.7 s, and the time until the entry learns of the leader.
const MAX_STARTUP_WAIT: Millis = Millis::new(1_500);
/// A request waits at most its remaining time divided by this; the rest is for running it.
const TIME_LEFT_DIVISOR: u64 = 3;
/// Versions whose confirmations wait for a plan: those of some seconds of many changes.
const MAX_PENDING: usize = 64;
/// Process age after which requests no longer wait for the first proof.
const MAX_STARTUP_AGE: Millis = Millis::from_secs(4);

/// Returns how long a request may wait for the first freshness proof, or for the first endpoint of
/// its service, at a process of this age.
///
/// `time_left` is the time until the request's deadline, if it has one.
///
/// Callers retry only a few times. A request that waits until the control replicas have elected a
/// leader can be served, whereas a refused caller may use up its retries before then.
pub fn startup_wait(age: Millis, time_left: Option<Millis>) -> Millis {
    if age > MAX_STARTUP_AGE {
        return Millis::ZERO;
    }
    let part = time_left.map(|time_left| Millis::new(time_left.as_u64() / TIME_LEFT_DIVISOR));
    part.unwrap_or(MAX_STARTUP_WAIT).min(MAX_STARTUP_WAIT)
}

/// Requests of the leader's confirmations that a version is the newest.
#[derive(Clone, Copy, Debug)]
struct Confirmations {
    first: Millis,
    last: Millis,
}

/// Latest proof from a quorum that the entry's plan is the newest one.
///
/// Load: versions that follow each other faster than an entry receives them. A proof names the
/// version that was the newest when it was asked for. It counts once the plan in force is as new,
/// whenever that plan arrives and whatever has been published since.
#[derive(Clone, Debug)]
pub struct PlanFreshness {
    /// Age from which the latest proof is stale.
    max_age: Millis,
    /// Time for which the entry may work by a plan although it knows of a newer version.
    max_lag: Millis,
    /// Time at which the latest proof was requested.
    requested_at: Option<Millis>,
    /// Version of the plan in force.
    applied: PlanVersion,
    /// Confirmations of versions that are newer than the plan in force.
    pending: BTreeMap<PlanVersion, Confirmations>,
}

impl PlanFreshness {
    /// Creates the state without a proof; a revoked key must stop working within `revocation`, and
    /// a version must be in force within `in_force`.
    pub const fn new(revocation: Millis, in_force: Millis) -> Self {
        Self {
            max_age: used_part(revocation),
            max_lag: used_part(in_force),
            requested_at: None,
            applied: PlanVersion(0),
            pending: BTreeMap::new(),
        }
    }

    /// Records the leader's confirmation, requested at `requested_at`, that `version` is the
    /// newest.
    ///
    /// Its age counts from the request, since a key may have been revoked right after that.
    pub fn confirm(&mut self, version: PlanVersion, requested_at: Millis) {
        if version <= self.applied {
            self.requested_at = self.requested_at.max(Some(requested_at));
            return;
        }
        let new = Confirmations {
            first: requested_at,
            last: requested_at,
        };
        let confirmations = self.pending.entry(version).or_insert(new);
        confirmations.first = confirmations.first.min(requested_at);
        confirmations.last = confirmations.last.max(requested_at);
        if self.pending.len() > MAX_PENDING {
            // The first version tells how long the plan has been outdated, the last ones are the
            // likeliest to come into force.
            let second = self.pending.keys().nth(1).copied();
            second.and_then(|version| self.pending.remove(&version));
        }
    }

    /// Records that the plan of `version` is in force.
    pub fn apply(&mut self, version: PlanVersion) {
        self.applied = self.applied.max(version);
        while let Some(entry) = self.pending.first_entry() {
            if *entry.key() > self.applied {
                return;
            }
            let proof = entry.remove().last;
            self.requested_at = self.requested_at.max(Some(proof));
        }
    }

    /// Returns the age of the latest proof, if there is one.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.requested_at
            .map(|requested_at| now.since(requested_at))
    }

    /// Returns whether requests with a key may be served.
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < self.max_age)
    }

    /// Returns the time for which the entry has known that a newer version is in force, or zero.
    pub fn lag(&self, now: Millis) -> Millis {
        let oldest = self.pending.values().map(|pending| pending.first).min();
        oldest.map_or(Millis::ZERO, |first| now.since(first))
    }

    /// Returns whether the plan in force is known to have been outdated for too long to serve any
    /// request by it.
    pub fn is_overdue(&self, now: Millis) -> bool {
        self.lag(now) >= self.max_lag
    }
}

/// Returns the part of a bound that may be used up.
const fn used_part(bound: Millis) -> Millis {
    Millis::new(bound.as_u64() * USED_BOUND_TENTHS / 10)
}

//! Prompt parts that crash endpoints whatever request holds them, in the chat interface.
//!
//! Load: requests that differ but share a message that crashes each endpoint. Counted by whole request,
//! each of them would crash [`QUARANTINE_CRASHES`](crate::suspicion::QUARANTINE_CRASHES) endpoints.
//!
//! The evidence is crashes in isolation trials, which are due to the request on trial, so it needs no
//! comparison with other requests that were in flight. It is soft state of each entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::Fingerprint;

/// Different requests that crash an endpoint in their trials before a part that they share is refused.
/// With two crashes for each, four endpoints are lost; five is the target.
const MIN_REQUESTS: usize = 2;
/// Time for which a crash counts, and so the time after the last crash for which a part is refused.
const EVIDENCE_TTL: Millis = Millis::from_secs(300);
/// Maximum number of crashed requests; the oldest are evicted.
const MAX_REQUESTS: usize = 512;

/// Crash of an endpoint in an isolation trial.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialCrash {
    /// Request that was on trial.
    pub request: Fingerprint,
    /// Digests of the parts of its prompt that other requests may share.
    pub parts: BTreeSet<u64>,
}

/// Requests that crashed endpoints in their trials, with the parts that have not been cleared since.
#[derive(Clone, Debug, Default)]
pub struct SharedParts {
    crashed: BTreeMap<Fingerprint, (BTreeSet<u64>, Millis)>,
}

impl SharedParts {
    /// Records a crash in a trial.
    pub fn record_crash(&mut self, crash: &TrialCrash, now: Millis) {
        self.expire(now);
        self.crashed
            .insert(crash.request, (crash.parts.clone(), now));
        if self.crashed.len() > MAX_REQUESTS {
            let oldest = self.crashed.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(request) = oldest.map(|(request, _)| *request) {
                self.crashed.remove(&request);
            }
        }
    }

    /// Records that a request with these parts was answered: no crash before was due to them.
    ///
    /// Returns the parts that this clears, of which the other entries must hear.
    pub fn record_answer(&mut self, answered: &BTreeSet<u64>) -> BTreeSet<u64> {
        let mut cleared = BTreeSet::new();
        for (parts, _) in self.crashed.values_mut() {
            cleared.extend(parts.intersection(answered));
            parts.retain(|part| !answered.contains(part));
        }
        cleared
    }

    /// Returns a part that must not be sent, if there is one.
    ///
    /// Where as many other requests without the part crash endpoints in their trials, the endpoints
    /// have another fault, and the part is not refused.
    pub fn quarantined(&self, parts: &BTreeSet<u64>, now: Millis) -> Option<u64> {
        let recent: Vec<&BTreeSet<u64>> = self
            .crashed
            .values()
            .filter(|(_, at)| now.since(*at) <= EVIDENCE_TTL)
            .map(|(parts, _)| parts)
            .collect();
        parts.iter().copied().find(|part| {
            let with = recent.iter().filter(|parts| parts.contains(part)).count();
            with >= MIN_REQUESTS && with * 2 > recent.len()
        })
    }

    fn expire(&mut self, now: Millis) {
        self.crashed
            .retain(|_, (_, at)| now.since(*at) <= EVIDENCE_TTL);
    }
}

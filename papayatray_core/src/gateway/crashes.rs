//! Requests that crash the endpoints which run them, counted over the whole fleet.
//!
//! Load it answers: one request that its caller sends again and again, each time at another entry,
//! and that takes an endpoint down each time. The chat interface puts suspects on trial through the
//! replicated log; here counts are soft state, since an attempt has an id of its own and a trial
//! would hold up many innocent requests of every crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::suspicion::EndpointIncarnation;

/// Crashed endpoints after which a request is refused everywhere.
const CONDEMNING: usize = 3;
/// Time after which a suspicion is dropped; callers give up long before.
const KEPT: Millis = Millis::from_secs(120);
/// Suspects that are remembered; beyond that the oldest go.
const MOST: usize = 512;

/// Suspect as entries and control replicas tell each other of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Endpoints that crashed while they ran it.
    pub crashed: BTreeSet<EndpointIncarnation>,
}

/// Record of a suspect.
#[derive(Clone, Debug)]
struct Record {
    crashed: BTreeSet<EndpointIncarnation>,
    since: Millis,
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, Record>,
}

impl CrashTable {
    /// Records that `life` crashed while it ran a request.
    pub fn note(&mut self, fingerprint: Fingerprint, life: EndpointIncarnation, now: Millis) {
        self.merge(
            &[Suspect {
                fingerprint,
                crashed: BTreeSet::from([life]),
            }],
            now,
        );
    }

    /// Takes in what others have seen; a crash that is told twice counts once.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) {
        self.records
            .retain(|_, record| now.since(record.since) < KEPT);
        for suspect in suspects {
            let record = self.records.entry(suspect.fingerprint).or_insert(Record {
                crashed: BTreeSet::new(),
                since: now,
            });
            record.crashed.extend(suspect.crashed.iter().cloned());
        }
        while self.records.len() > MOST {
            let oldest = self.records.iter().min_by_key(|(_, record)| record.since);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&oldest);
        }
    }

    /// Tells whether a request is refused everywhere.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.crashed.len() >= CONDEMNING)
    }

    /// Returns all suspects.
    pub fn suspects(&self) -> Vec<Suspect> {
        let all = self.records.iter().map(|(fingerprint, record)| Suspect {
            fingerprint: *fingerprint,
            crashed: record.crashed.clone(),
        });
        all.collect()
    }

    /// Tells whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

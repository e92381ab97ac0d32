//! Poison requests: requests that crash the endpoints that run them, counted over the whole fleet.
//!
//! A caller may retry a poison request at a different entry each time and so take down one
//! endpoint per retry. The chat interface runs suspects in isolation trials that are coordinated
//! through the replicated log. The gateway only counts crashes in soft state: each attempt has an
//! id of its own, and trials would delay the many innocent requests in flight at every crash.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::Fingerprint;
use crate::suspicion::EndpointIncarnation;

/// Number of different endpoint incarnations that a request must have crashed to be quarantined.
const QUARANTINE_CRASHES: usize = 3;
/// Time from the first report of a suspect until it is forgotten; callers stop retrying long
/// before.
const SUSPECT_RETENTION: Millis = Millis::from_secs(120);
/// Maximum number of suspects; if there are more, those reported first are evicted.
const MAX_SUSPECTS: usize = 512;

/// Request that may have crashed endpoints, as exchanged between entries and control replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Endpoint incarnations that crashed while they ran it.
    pub crashed: BTreeSet<EndpointIncarnation>,
}

#[derive(Clone, Debug)]
struct Record {
    crashed: BTreeSet<EndpointIncarnation>,
    first_reported_at: Millis,
}

/// Suspects by fingerprint.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, Record>,
}

impl CrashTable {
    /// Records that `incarnation` crashed while it ran the request.
    pub fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        incarnation: EndpointIncarnation,
        now: Millis,
    ) {
        self.merge(
            &[Suspect {
                fingerprint,
                crashed: BTreeSet::from([incarnation]),
            }],
            now,
        );
    }

    /// Merges suspects reported by other processes, and drops expired ones.
    ///
    /// A crash that is reported repeatedly counts once.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) {
        self.records
            .retain(|_, record| now.since(record.first_reported_at) < SUSPECT_RETENTION);
        for suspect in suspects {
            let record = self.records.entry(suspect.fingerprint).or_insert(Record {
                crashed: BTreeSet::new(),
                first_reported_at: now,
            });
            record.crashed.extend(suspect.crashed.iter().cloned());
        }
        while self.records.len() > MAX_SUSPECTS {
            let oldest = self
                .records
                .iter()
                .min_by_key(|(_, record)| record.first_reported_at);
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.records.remove(&oldest);
        }
    }

    /// Returns whether the request has crashed so many endpoints that every entry refuses it.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| record.crashed.len() >= QUARANTINE_CRASHES)
    }

    /// Returns all suspects with their crashes.
    pub fn suspects(&self) -> Vec<Suspect> {
        let all = self.records.iter().map(|(fingerprint, record)| Suspect {
            fingerprint: *fingerprint,
            crashed: record.crashed.clone(),
        });
        all.collect()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

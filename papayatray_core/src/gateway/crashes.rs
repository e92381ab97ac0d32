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
/// Maximum number of suspects of an entry; of more, those with the fewest crashes are evicted, and
/// among these the ones reported first.
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
#[derive(Clone, Debug)]
pub struct CrashTable {
    records: BTreeMap<Fingerprint, Record>,
    capacity: usize,
}

impl Default for CrashTable {
    fn default() -> Self {
        Self::with_capacity(MAX_SUSPECTS)
    }
}

impl CrashTable {
    /// Creates a table that keeps at most `capacity` suspects.
    pub const fn with_capacity(capacity: usize) -> Self {
        Self {
            records: BTreeMap::new(),
            capacity,
        }
    }

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
    /// A crash that is reported repeatedly counts once. Returns the suspects that are quarantined
    /// from now on.
    pub fn merge(&mut self, suspects: &[Suspect], now: Millis) -> Vec<Suspect> {
        self.records
            .retain(|_, record| now.since(record.first_reported_at) < SUSPECT_RETENTION);
        let mut quarantined = Vec::new();
        for suspect in suspects {
            let was_quarantined = self.is_quarantined(suspect.fingerprint);
            let record = self.records.entry(suspect.fingerprint).or_insert(Record {
                crashed: BTreeSet::new(),
                first_reported_at: now,
            });
            record.crashed.extend(suspect.crashed.iter().cloned());
            if !was_quarantined && record.crashed.len() >= QUARANTINE_CRASHES {
                quarantined.push(Suspect {
                    fingerprint: suspect.fingerprint,
                    crashed: record.crashed.clone(),
                });
            }
        }
        self.evict_beyond_capacity();
        quarantined
    }

    /// A crash of one endpoint makes suspects of all requests that it ran; few crash a second one.
    fn evict_beyond_capacity(&mut self) {
        let excess = self.records.len().saturating_sub(self.capacity);
        if excess == 0 {
            return;
        }
        let mut ranked: Vec<(usize, Millis, Fingerprint)> = self
            .records
            .iter()
            .map(|(fingerprint, record)| {
                (record.crashed.len(), record.first_reported_at, *fingerprint)
            })
            .collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(excess) {
            self.records.remove(&fingerprint);
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

    /// Returns the number of suspects.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no suspect.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

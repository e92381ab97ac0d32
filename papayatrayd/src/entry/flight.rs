//! Requests in flight at this entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use displaydoc::Display;
use papayatray_core::id::Fingerprint;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::RequestKey;
use papayatray_core::suspicion::EndpointIncarnation;

/// Shards, each under its own lock.
const SHARDS: usize = 16;

/// Why a request may not fly.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InFlightError {
    /// the same request is running at this entry
    DuplicateRequest,
    /// the organisation has too many requests in flight
    LimitReached,
}

impl std::error::Error for InFlightError {}

/// Requests of some organisations.
#[derive(Debug, Default)]
struct Shard {
    keys: BTreeMap<OrganisationId, BTreeSet<RequestKey>>,
}

/// Requests in flight.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    shards: [Mutex<Shard>; SHARDS],
    lives: Mutex<BTreeMap<EndpointIncarnation, BTreeMap<u64, Fingerprint>>>,
    count: AtomicU64,
}

impl InFlightRequests {
    /// Lets a request fly, at most `limit` of its organisation at once.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn begin(
        self: &Arc<Self>,
        key: &RequestKey,
        limit: u32,
    ) -> Result<InFlightGuard, InFlightError> {
        let mut shard = self.shard(&key.organisation);
        let keys = shard.keys.entry(key.organisation.clone()).or_default();
        if keys.contains(key) {
            return Err(InFlightError::DuplicateRequest);
        }
        if keys.len() >= limit as usize {
            return Err(InFlightError::LimitReached);
        }
        keys.insert(key.clone());
        self.count.fetch_add(1, Ordering::Relaxed);
        Ok(InFlightGuard {
            in_flight: Arc::clone(self),
            key: key.clone(),
        })
    }

    /// Returns how many requests are in flight.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn shard(&self, organisation: &OrganisationId) -> MutexGuard<'_, Shard> {
        let sum: usize = organisation.as_str().bytes().map(usize::from).sum();
        self.shards[sum % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lives(&self) -> MutexGuard<'_, BTreeMap<EndpointIncarnation, BTreeMap<u64, Fingerprint>>> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the attempt runs on an endpoint.
    pub fn board(&self, life: &EndpointIncarnation, attempt: u64, fingerprint: Fingerprint) {
        self.lives()
            .entry(life.clone())
            .or_default()
            .insert(attempt, fingerprint);
    }

    /// Notes that the attempt no longer runs.
    pub fn end_attempt(&self, life: &EndpointIncarnation, attempt: u64) {
        let mut lives = self.lives();
        if let Some(attempts) = lives.get_mut(life) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                lives.remove(life);
            }
        }
    }

    /// Returns the requests that run on an endpoint.
    pub fn aboard(&self, life: &EndpointIncarnation) -> BTreeSet<Fingerprint> {
        let lives = self.lives();
        lives
            .get(life)
            .map(|attempts| attempts.values().copied().collect())
            .unwrap_or_default()
    }
}

/// Request in flight, until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    in_flight: Arc<InFlightRequests>,
    key: RequestKey,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut shard = self.in_flight.shard(&self.key.organisation);
        if let Some(keys) = shard.keys.get_mut(&self.key.organisation) {
            keys.remove(&self.key);
            if keys.is_empty() {
                shard.keys.remove(&self.key.organisation);
            }
        }
        self.in_flight.count.fetch_sub(1, Ordering::Relaxed);
    }
}

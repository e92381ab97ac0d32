//! In-flight requests of this entry, by organisation and by endpoint.

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

/// Number of shards, each with a lock of its own to reduce contention.
const SHARDS: usize = 16;

/// Reason why a request may not start at this entry.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum InFlightError {
    /// a request with the same id is already running at this entry
    DuplicateRequest,
    /// the organisation has too many requests in flight
    LimitReached,
}

impl std::error::Error for InFlightError {}

/// In-flight requests of the organisations that hash to one shard.
#[derive(Debug, Default)]
struct Shard {
    keys: BTreeMap<OrganisationId, BTreeSet<RequestKey>>,
}

/// In-flight requests and the endpoint attempts that they run.
#[derive(Debug, Default)]
pub struct InFlightRequests {
    shards: [Mutex<Shard>; SHARDS],
    attempts_by_endpoint: Mutex<BTreeMap<EndpointIncarnation, BTreeMap<u64, Fingerprint>>>,
    count: AtomicU64,
}

impl InFlightRequests {
    /// Registers a request as in flight if its organisation has fewer than `limit` in flight.
    ///
    /// # Errors
    ///
    /// Returns an error if the request is a duplicate or the limit is reached.
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

    /// Returns the number of requests in flight.
    pub fn count(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    fn shard(&self, organisation: &OrganisationId) -> MutexGuard<'_, Shard> {
        let sum: usize = organisation.as_str().bytes().map(usize::from).sum();
        self.shards[sum % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn attempts_by_endpoint(
        &self,
    ) -> MutexGuard<'_, BTreeMap<EndpointIncarnation, BTreeMap<u64, Fingerprint>>> {
        self.attempts_by_endpoint
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an attempt runs on an endpoint.
    pub fn start_attempt(
        &self,
        endpoint: &EndpointIncarnation,
        attempt: u64,
        fingerprint: Fingerprint,
    ) {
        self.attempts_by_endpoint()
            .entry(endpoint.clone())
            .or_default()
            .insert(attempt, fingerprint);
    }

    /// Removes an attempt that has ended.
    pub fn end_attempt(&self, endpoint: &EndpointIncarnation, attempt: u64) {
        let mut attempts_by_endpoint = self.attempts_by_endpoint();
        if let Some(attempts) = attempts_by_endpoint.get_mut(endpoint) {
            attempts.remove(&attempt);
            if attempts.is_empty() {
                attempts_by_endpoint.remove(endpoint);
            }
        }
    }

    /// Returns the fingerprints of the requests that this entry runs on an endpoint.
    pub fn running_on(&self, endpoint: &EndpointIncarnation) -> BTreeSet<Fingerprint> {
        let attempts_by_endpoint = self.attempts_by_endpoint();
        attempts_by_endpoint
            .get(endpoint)
            .map(|attempts| attempts.values().copied().collect())
            .unwrap_or_default()
    }
}

/// Marks one request of an organisation as in flight at this entry until dropped.
///
/// Dropping it frees the request's id and its place under the organisation's limit. The gateway's
/// type of the same name only counts requests.
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

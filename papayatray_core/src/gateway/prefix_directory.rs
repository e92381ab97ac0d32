//! Directory of the prompt prefixes that endpoints are assumed to have cached.
//!
//! A wrong record is costly for long prompts on a slow model: if a prefix is assumed to be cached
//! but is not, seconds of prefill are missing from the expected wait of all requests behind it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::EndpointId;

/// Time for which an endpoint is assumed to keep a prefix cached: under light load, an endpoint's
/// cache memory is filled about once in this time.
pub const PREFIX_RETENTION: Millis = Millis::from_secs(60);
/// Maximum number of queued expiry times, a few times the number of prefixes requested within
/// [`PREFIX_RETENTION`].
const MAX_PREFIXES: usize = 2_048;
/// Bound on the endpoints recorded for each prefix; popular prefixes are cached at several.
const MAX_ENDPOINTS_PER_PREFIX: usize = 4;

/// Prefix cached at an endpoint, as exchanged between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Digest of the prefix and the model, since caches are per model.
    pub digest: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Endpoint that is assumed to have a prefix cached.
#[derive(Clone, Debug)]
struct Holder {
    endpoint: EndpointId,
    expires_at: Millis,
}

/// Prompt prefixes with the endpoints that have them cached.
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    holders: BTreeMap<u64, Vec<Holder>>,
    /// Expiry time and digest of each record made, oldest first; a prefix recorded repeatedly
    /// occurs repeatedly.
    expiry_queue: VecDeque<(Millis, u64)>,
}

impl PrefixDirectory {
    /// Records that an endpoint caches a prefix, and renews its expiry.
    ///
    /// Returns whether other entries should be notified: the endpoint was not recorded for the
    /// prefix, or less than half of the retention remained.
    pub fn record(&mut self, prefix: &CachedPrefix, now: Millis) -> bool {
        self.expire(now);
        let expires_at = now + PREFIX_RETENTION;
        let holders = self.holders.entry(prefix.digest).or_default();
        let index = holders.iter().position(|p| p.endpoint == prefix.endpoint);
        let previous = index.map(|index| holders.remove(index));
        if holders.len() >= MAX_ENDPOINTS_PER_PREFIX {
            holders.remove(0);
        }
        holders.push(Holder {
            endpoint: prefix.endpoint.clone(),
            expires_at,
        });
        self.expiry_queue.push_back((expires_at, prefix.digest));
        previous.is_none_or(|holder| {
            holder.expires_at.since(now).as_u64() * 2 < PREFIX_RETENTION.as_u64()
        })
    }

    /// Returns whether an endpoint is assumed to have the prefix `digest` cached.
    pub fn has_prefix(&self, digest: u64, endpoint: &EndpointId, now: Millis) -> bool {
        let holders = self.holders.get(&digest);
        holders.is_some_and(|holders| {
            let mut matching = holders.iter().filter(|holder| holder.endpoint == *endpoint);
            matching.any(|holder| now < holder.expires_at)
        })
    }

    /// Removes an endpoint from all prefixes, as its cache is empty after a restart.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for holders in self.holders.values_mut() {
            holders.retain(|holder| holder.endpoint != *endpoint);
        }
    }

    /// Returns the number of recorded prefixes.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// Drops expired prefixes and, if the queue is full, those that expire next.
    fn expire(&mut self, now: Millis) {
        while let Some((expires_at, digest)) = self.expiry_queue.front().copied() {
            if now < expires_at && self.expiry_queue.len() < MAX_PREFIXES {
                return;
            }
            self.expiry_queue.pop_front();
            // A prefix that was recorded again has a later record in the queue.
            let is_last = self
                .holders
                .get(&digest)
                .is_none_or(|holders| holders.iter().all(|holder| holder.expires_at <= expires_at));
            if is_last {
                self.holders.remove(&digest);
            }
        }
    }
}

//! Warmth: which endpoints have read the prefix of a prompt lately.
//!
//! Load it answers: long prompts on a slow model that share their prefixes with few others.
//! Taking an unread prefix for a kept one hides seconds of reading from everybody who is
//! placed behind it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::EndpointId;

/// Time for which an endpoint is taken to keep a prefix: the quiet load of the sites at hand
/// fills an endpoint's memory about once in it.
pub const KEPT: Millis = Millis::from_secs(60);
/// Prefixes remembered, a few times those asked for within [`KEPT`] at the sites at hand.
const PREFIXES_MOST: usize = 2_048;
/// Endpoints remembered for each prefix: a popular one is read at several.
const PLACES_MOST: usize = 4;

/// Prefix that an endpoint has read, as entries tell one another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Digest of the prefix, together with the model that read it.
    pub digest: u64,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Endpoint that has read a prefix.
#[derive(Clone, Debug)]
struct Place {
    endpoint: EndpointId,
    until: Millis,
}

/// Prefixes of prompts, each with the endpoints that keep it.
#[derive(Clone, Debug, Default)]
pub struct PrefixDirectory {
    places: BTreeMap<u64, Vec<Place>>,
    /// Prefixes by the moment of their last note, the oldest first.
    order: VecDeque<(Millis, u64)>,
}

impl PrefixDirectory {
    /// Notes that an endpoint reads a prefix; tells whether that is worth passing on.
    pub fn note(&mut self, read: &CachedPrefix, now: Millis) -> bool {
        self.expire(now);
        let until = now + KEPT;
        let places = self.places.entry(read.digest).or_default();
        let known = places.iter().position(|p| p.endpoint == read.endpoint);
        let known = known.map(|at| places.remove(at));
        if places.len() >= PLACES_MOST {
            places.remove(0);
        }
        places.push(Place {
            endpoint: read.endpoint.clone(),
            until,
        });
        self.order.push_back((until, read.digest));
        known.is_none_or(|place| place.until.since(now).as_u64() * 2 < KEPT.as_u64())
    }

    /// Tells whether an endpoint is taken to keep the prefix `digest`.
    pub fn has_prefix(&self, digest: u64, endpoint: &EndpointId, now: Millis) -> bool {
        let places = self.places.get(&digest);
        places.is_some_and(|places| {
            let mut own = places.iter().filter(|place| place.endpoint == *endpoint);
            own.any(|place| now < place.until)
        })
    }

    /// Forgets what an endpoint kept, as it has started anew.
    pub fn forget(&mut self, endpoint: &EndpointId) {
        for places in self.places.values_mut() {
            places.retain(|place| place.endpoint != *endpoint);
        }
    }

    /// Returns how many prefixes are remembered.
    pub fn count(&self) -> usize {
        self.places.len()
    }

    fn expire(&mut self, now: Millis) {
        while let Some((until, digest)) = self.order.front().copied() {
            if now < until && self.order.len() < PREFIXES_MOST {
                return;
            }
            self.order.pop_front();
            // A later note of the same prefix stands further back in the order.
            let is_last = self
                .places
                .get(&digest)
                .is_none_or(|places| places.iter().all(|place| place.until <= until));
            if is_last {
                self.places.remove(&digest);
            }
        }
    }
}

//! Short keys of endpoints, for hints that are sent often and may be lost.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::id::EndpointId;

/// First four bytes of the hash of an endpoint's id.
///
/// Two endpoints may have the same key, so it only identifies endpoints in hints.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndpointKey([u8; 4]);

impl From<&EndpointId> for EndpointKey {
    fn from(id: &EndpointId) -> Self {
        let hash = blake3::hash(id.as_str().as_bytes());
        let mut key = [0; 4];
        key.copy_from_slice(&hash.as_bytes()[..4]);
        Self(key)
    }
}

/// Ids of the known endpoints by key.
#[derive(Clone, Debug, Default)]
pub struct EndpointKeys {
    ids: BTreeMap<EndpointKey, EndpointId>,
}

impl EndpointKeys {
    /// Adds an endpoint; of two with the same key the later one is found.
    pub fn insert(&mut self, id: &EndpointId) {
        self.ids.insert(EndpointKey::from(id), id.clone());
    }

    /// Returns the endpoint with a key, if it is known.
    pub fn find(&self, key: EndpointKey) -> Option<&EndpointId> {
        self.ids.get(&key)
    }
}

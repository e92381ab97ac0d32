//! Compact form of the loads and cached prefixes that the leader sends to entries.
//!
//! Load: hundreds of entries that sync five times a second and hear of each endpoint's load each time.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use displaydoc::Display;
use papayatray_core::gateway::endpoint_key::EndpointKey;
use papayatray_core::gateway::endpoint_key::EndpointKeys;
use papayatray_core::gateway::load_table::EndpointWork;
use papayatray_core::gateway::load_table::WorkUpdates;
use papayatray_core::gateway::prefix_directory::CachedPrefix;
use papayatray_core::gateway::updates::UpdateBatch;
use serde::Deserialize;
use serde::Serialize;

/// Reason why hints cannot be decoded.
#[derive(Debug, Display)]
pub enum HintsError {
    /// the hints are not valid Base64: {0}
    Text(base64::DecodeError),
    /// the records of the hints cannot be decoded: {0}
    Records(postcard::Error),
}

impl std::error::Error for HintsError {}

impl From<base64::DecodeError> for HintsError {
    fn from(cause: base64::DecodeError) -> Self {
        Self::Text(cause)
    }
}

impl From<postcard::Error> for HintsError {
    fn from(cause: postcard::Error) -> Self {
        Self::Records(cause)
    }
}

/// Loads and cached prefixes as Base64 of their binary form, with keys in place of endpoint ids.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CompactHints(String);

/// Changes of loads, and cached prefixes, of one reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints {
    /// Changes of the outstanding work at endpoints.
    pub loads: WorkUpdates,
    /// Prompt prefixes that endpoints have cached.
    pub prefixes: UpdateBatch<CachedPrefix>,
}

/// Binary form of [`Hints`].
#[derive(Debug, Serialize, Deserialize)]
struct Records {
    loads_number: u64,
    is_complete: bool,
    loads: Vec<(EndpointKey, EndpointWork)>,
    prefixes_number: u64,
    /// Digests, as bytes since a variable-length integer of this size takes ten.
    prefixes: Vec<(EndpointKey, [u8; 8])>,
}

impl CompactHints {
    /// Encodes hints.
    ///
    /// # Errors
    ///
    /// Returns [`HintsError::Records`] if the records cannot be encoded.
    pub fn encode(hints: &Hints) -> Result<Self, HintsError> {
        let Hints { loads, prefixes } = hints;
        let changed = loads.changed.iter();
        let updates = prefixes.updates.iter();
        let records = Records {
            loads_number: loads.number,
            is_complete: loads.is_complete,
            loads: changed
                .map(|(id, work)| (EndpointKey::from(id), *work))
                .collect(),
            prefixes_number: prefixes.last_number,
            prefixes: updates
                .map(|prefix| {
                    let key = EndpointKey::from(&prefix.endpoint);
                    (key, prefix.digest.to_le_bytes())
                })
                .collect(),
        };
        let bytes = postcard::to_stdvec(&records)?;
        Ok(Self(STANDARD_NO_PAD.encode(bytes)))
    }

    /// Decodes the hints; records of endpoints that are not among `keys` are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the text or its records cannot be decoded.
    pub fn decode(&self, keys: &EndpointKeys) -> Result<Hints, HintsError> {
        let bytes = STANDARD_NO_PAD.decode(&self.0)?;
        let records: Records = postcard::from_bytes(&bytes)?;
        let loads = records.loads.into_iter();
        let prefixes = records.prefixes.into_iter();
        Ok(Hints {
            loads: WorkUpdates {
                number: records.loads_number,
                is_complete: records.is_complete,
                changed: loads
                    .filter_map(|(key, work)| Some((keys.find(key)?.clone(), work)))
                    .collect(),
            },
            prefixes: UpdateBatch {
                last_number: records.prefixes_number,
                updates: prefixes
                    .filter_map(|(key, digest)| {
                        Some(CachedPrefix {
                            digest: u64::from_le_bytes(digest),
                            endpoint: keys.find(key)?.clone(),
                        })
                    })
                    .collect(),
            },
        })
    }
}

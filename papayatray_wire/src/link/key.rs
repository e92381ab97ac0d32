//! Key that all processes of a deployment share.

use std::fmt;

/// Purpose that keys are derived for.
const CONTEXT: &str = "papayatray 2026-12 deployment key";

/// Key of a deployment.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from the secret text in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, secret.as_bytes()))
    }

    /// Returns a proof of the key over `parts`.
    pub fn compute_mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Tells, in constant time, whether `proof` was made with this key over `parts`.
    pub fn verify_mac(&self, parts: &[&[u8]], proof: [u8; 32]) -> bool {
        self.compute_mac(parts) == blake3::Hash::from_bytes(proof)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

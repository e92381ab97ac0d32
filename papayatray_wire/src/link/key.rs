//! Key shared by all processes of a deployment.

use std::fmt;

/// Context string of the key derivation; processes with another one cannot connect.
const CONTEXT: &str = "papayatray 2026-12 deployment key";

/// Key of a deployment, with which its processes authenticate each other.
#[derive(Clone)]
pub struct ClusterKey([u8; 32]);

impl ClusterKey {
    /// Derives the key from the secret in the settings.
    pub fn new(secret: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, secret.as_bytes()))
    }

    /// Returns a message authentication code over `parts`.
    ///
    /// Each part is preceded by its length, so that no other split of the same bytes has the same
    /// code.
    pub fn compute_mac(&self, parts: &[&[u8]]) -> blake3::Hash {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.finalize()
    }

    /// Tells whether `mac` is the code over `parts` under this key, in constant time.
    pub fn verify_mac(&self, parts: &[&[u8]], mac: [u8; 32]) -> bool {
        self.compute_mac(parts) == blake3::Hash::from_bytes(mac)
    }
}

impl fmt::Debug for ClusterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ClusterKey(..)")
    }
}

//! Hash digests truncated to integers.

use blake3::Hash;

/// Returns the first eight bytes of a digest, as a little-endian integer.
pub fn short(hash: &Hash) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first)
}

/// Returns the first sixteen bytes of a digest, as a little-endian integer.
pub fn long(hash: &Hash) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(first)
}

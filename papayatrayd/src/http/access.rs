//! Authentication by bearer key.

use http_types::Request;
use papayatray_core::id::KeyHash;
use papayatray_core::id::OperatorId;

use super::header_value;
use crate::entry::Entry;

/// Returns the bearer key of a request, if its `authorization` header has one.
pub fn bearer_key(request: &Request) -> Option<&str> {
    let value = header_value(request, "authorization")?;
    let (scheme, key) = value.split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case("bearer") && !key.is_empty()).then_some(key)
}

/// Returns the digest under which the catalogue stores a bearer key.
pub fn hash_key(key: &str) -> KeyHash {
    KeyHash::new(blake3::hash(key.as_bytes()).to_hex().as_str())
}

/// Returns the operator whose bearer key a request has; digests are compared in constant time.
pub fn authenticate_operator(entry: &Entry, request: &Request) -> Option<OperatorId> {
    let hash = blake3::hash(bearer_key(request)?.as_bytes());
    let operators = &entry.daemon_settings.file.operators;
    let found = operators
        .iter()
        .find(|(_, configured)| *configured.hash() == hash);
    found.map(|(id, _)| id.clone())
}

/// Returns whether a request has the key of a platform component, such as an endpoint.
pub fn has_platform_key(entry: &Entry, request: &Request) -> bool {
    let Some(key) = bearer_key(request) else {
        return false;
    };
    let hash = blake3::hash(key.as_bytes());
    entry
        .daemon_settings
        .file
        .platform
        .values()
        .any(|configured| *configured.hash() == hash)
}

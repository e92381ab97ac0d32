//! Session tokens, which bind a session to a model version; their MAC lets every entry verify them
//! without shared state.

use displaydoc::Display;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::VersionId;
use papayatray_wire::link::ClusterKey;

/// Separator of the parts of a token; no id contains it.
const SEPARATOR: char = '~';
/// First part of each token, which names its format.
const FORMAT_PREFIX: &str = "s1";
/// Domain separation: keeps MACs computed for other purposes from being valid here.
const PURPOSE: &[u8] = b"session";

/// Why a session token is not valid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum SessionTokenError {
    /// this is not a session token of this deployment
    Invalid,
    /// this session token belongs to another organisation
    OtherOrganisation,
}

/// Returns a new token for a session of `organisation` on `version`.
pub(super) fn sign(key: &ClusterKey, organisation: &OrganisationId, version: &VersionId) -> String {
    let nonce: u64 = rand::random();
    let body =
        format!("{FORMAT_PREFIX}{SEPARATOR}{organisation}{SEPARATOR}{version}{SEPARATOR}{nonce:x}");
    let mac = key.compute_mac(&[PURPOSE, body.as_bytes()]);
    format!("{body}{SEPARATOR}{}", mac.to_hex())
}

/// Verifies a token of a session of `organisation` and returns the session's version.
pub(super) fn verify(
    key: &ClusterKey,
    organisation: &OrganisationId,
    token: &str,
) -> Result<VersionId, SessionTokenError> {
    let (body, mac) = token
        .rsplit_once(SEPARATOR)
        .ok_or(SessionTokenError::Invalid)?;
    let mac = blake3::Hash::from_hex(mac).map_err(|_bad| SessionTokenError::Invalid)?;
    if !key.verify_mac(&[PURPOSE, body.as_bytes()], *mac.as_bytes()) {
        return Err(SessionTokenError::Invalid);
    }
    let mut parts = body.split(SEPARATOR).skip(1);
    if parts.next() != Some(organisation.as_str()) {
        return Err(SessionTokenError::OtherOrganisation);
    }
    let version = parts.next().and_then(|text| text.parse().ok());
    version.ok_or(SessionTokenError::Invalid)
}

//! Handles of sessions: signed, so that no entry has to look anything up.

use displaydoc::Display;
use papayatray_core::id::OrganisationId;
use papayatray_core::id::VersionId;
use papayatray_wire::link::ClusterKey;

/// Sign between the parts of a handle; no name has it.
const SEPARATOR: char = '~';
/// First part of each handle.
const MARK: &str = "s1";
/// What the proof is for.
const PURPOSE: &[u8] = b"session";

/// What is wrong with a handle.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum HandleError {
    /// this is no handle of this deployment
    Foreign,
    /// this handle belongs to another organisation
    Other,
}

/// Returns the handle of a session of `organisation` on `version`.
pub(super) fn sign(key: &ClusterKey, organisation: &OrganisationId, version: &VersionId) -> String {
    let number: u64 = rand::random();
    let body = format!("{MARK}{SEPARATOR}{organisation}{SEPARATOR}{version}{SEPARATOR}{number:x}");
    let proof = key.compute_mac(&[PURPOSE, body.as_bytes()]);
    format!("{body}{SEPARATOR}{}", proof.to_hex())
}

/// Returns the version that a session of `organisation` runs on.
pub(super) fn verify(
    key: &ClusterKey,
    organisation: &OrganisationId,
    handle: &str,
) -> Result<VersionId, HandleError> {
    let (body, proof) = handle.rsplit_once(SEPARATOR).ok_or(HandleError::Foreign)?;
    let proof = blake3::Hash::from_hex(proof).map_err(|_bad| HandleError::Foreign)?;
    if !key.verify_mac(&[PURPOSE, body.as_bytes()], *proof.as_bytes()) {
        return Err(HandleError::Foreign);
    }
    let mut parts = body.split(SEPARATOR).skip(1);
    if parts.next() != Some(organisation.as_str()) {
        return Err(HandleError::Other);
    }
    let version = parts.next().and_then(|text| text.parse().ok());
    version.ok_or(HandleError::Foreign)
}

//! Errors of catalogue edits.

use displaydoc::Display;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Reason why a change is refused.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EditError {
    /// organisation {0} does not exist; create it first with `papayatray org create`
    UnknownOrganisation(OrganisationId),
    /// organisation {0} exists already
    OrganisationExists(OrganisationId),
    /// version {0} is not declared; declare it first with `papayatray version declare`
    UnknownVersion(VersionId),
    /// version {0} is declared already
    VersionExists(VersionId),
    /// service {0} is not declared; declare it first with `papayatray service`
    UnknownService(ServiceId),
    /// {0} is not a declared model or version; declare it first with `papayatray version declare`
    UnknownGrant(String),
    /// version {0} is withdrawn for good; declare a new version instead
    Withdrawn(VersionId),
    /// version {0} is {1}, and this edit is not allowed at that stage
    WrongStage(VersionId, &'static str),
    /// a roll-out needs at least one step, each of at least one exposure and larger than the last
    InvalidSteps,
    /// all versions granted to class {0} are halted or withdrawn; grant at least one other
    ClassWithoutVersion(&'static str),
    /// all versions granted to organisation {0} are halted or withdrawn; grant at least one other
    OrganisationWithoutVersion(OrganisationId),
    /// an exception needs a reason that is not blank
    MissingReason,
    /// no exception has number {0}; `papayatray exceptions` lists them
    UnknownException(u64),
    /// the value {0} is out of range; quality is in thousandths, from 0 to 1000
    OutOfRange(u32),
    /// a change needs at least one edit
    EmptyChange,
    /// organisation {0} already has this key or a key with this label
    KeyExists(OrganisationId),
    /// organisation {0} has no key with this label
    UnknownKey(OrganisationId),
}

impl std::error::Error for EditError {}

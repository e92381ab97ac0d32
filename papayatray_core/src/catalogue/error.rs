//! What can be wrong with an edit.

use displaydoc::Display;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::id::VersionId;

/// Reasons why a change is refused as a whole.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum EditError {
    /// organisation {0} does not exist; create it first with `papayatray org create`
    NoOrganisation(OrganisationId),
    /// organisation {0} exists already
    OrganisationStands(OrganisationId),
    /// version {0} is not declared; declare it first with `papayatray version declare`
    RouteError(VersionId),
    /// version {0} is declared already
    VersionStands(VersionId),
    /// service {0} is not declared; declare it first with `papayatray service`
    NoService(ServiceId),
    /// {0} names no declared model or version
    NoGrant(String),
    /// version {0} is withdrawn for good; declare a new version instead
    Withdrawn(VersionId),
    /// version {0} is {1}, and that does not allow this step
    WrongStage(VersionId, &'static str),
    /// a roll-out needs at least one step, each of at least one exposure and larger than the last
    BadSteps,
    /// class {0} would be left with no version on offer
    ClassWithoutVersion(&'static str),
    /// organisation {0} would be left with no version on offer
    OrganisationWithoutVersion(OrganisationId),
    /// an exception needs a written reason
    NoReason,
    /// no exception has number {0}; `papayatray exceptions` lists them
    NoException(u64),
    /// the value {0} is out of range; quality is in thousandths, from 0 to 1000
    OutOfRange(u32),
    /// a change needs at least one edit
    NoEdit,
    /// this key stands already with organisation {0}
    KeyStands(OrganisationId),
    /// no key with this label stands with organisation {0}
    NoKey(OrganisationId),
}

impl std::error::Error for EditError {}

//! Configuration changes as requested by operators.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use super::Class;
use super::ClassDefault;
use super::Grant;
use super::Rule;
use super::Service;
use crate::id::ChangeId;
use crate::id::KeyHash;
use crate::id::OperatorId;
use crate::id::OrganisationId;
use crate::id::Revision;
use crate::id::ServiceId;
use crate::id::VersionId;

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Edit {
    /// Creates an organisation without keys.
    CreateOrganisation {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Class of the organisation.
        class: Class,
    },
    /// Removes an organisation with its keys and exceptions.
    RemoveOrganisation {
        /// Name of the organisation.
        organisation: OrganisationId,
    },
    /// Adds a bearer key by its digest.
    AddKey {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Label by which operators refer to the key.
        label: String,
        /// Digest of the key.
        hash: KeyHash,
    },
    /// Removes a bearer key.
    RemoveKey {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Label of the key.
        label: String,
    },
    /// Sets the models and versions that an organisation may use.
    SetGrants {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Models and versions; if empty, the default of the class applies.
        grants: BTreeSet<Grant>,
    },
    /// Sets the class of an organisation.
    SetClass {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Class of the organisation.
        class: Class,
    },
    /// Declares a version, which is not served yet.
    DeclareVersion {
        /// Name of the version.
        version: VersionId,
        /// Price of 1,000 prompt tokens in millionths of the currency.
        price_in: u32,
        /// Price of 1,000 completion tokens in millionths of the currency.
        price_out: u32,
        /// Quality assumed without ratings, in thousandths.
        prior: u32,
    },
    /// Offers a version without limit on its exposure.
    Offer {
        /// Name of the version.
        version: VersionId,
    },
    /// Starts to roll out a version in steps.
    StartRollOut {
        /// Name of the version.
        version: VersionId,
        /// Cumulative number of exposures that each step allows.
        steps: Vec<u32>,
    },
    /// Advances a roll-out to its next step; after the last step, the version is offered in full.
    StepRollOut {
        /// Name of the version.
        version: VersionId,
    },
    /// Pauses or continues a roll-out.
    PauseRollOut {
        /// Name of the version.
        version: VersionId,
        /// Whether to pause it.
        paused: bool,
    },
    /// Halts a version that is in roll-out or offered: no new sessions start on it.
    Halt {
        /// Name of the version.
        version: VersionId,
        /// Why it is halted.
        reason: String,
    },
    /// Resumes a halted version at the stage and step at which it was halted.
    Resume {
        /// Name of the version.
        version: VersionId,
    },
    /// Withdraws a version permanently: it serves no requests, not even of existing sessions.
    Withdraw {
        /// Name of the version.
        version: VersionId,
    },
    /// Sets the defaults of a class.
    SetDefault {
        /// Class that the defaults apply to.
        class: Class,
        /// Quality, limits and grants of each organisation of the class.
        default: ClassDefault,
    },
    /// Adds an exception from the defaults of a class for one organisation.
    AddException {
        /// Organisation that the exception applies to.
        organisation: OrganisationId,
        /// Rule that overrides the default.
        rule: Rule,
        /// Reason given by the author.
        reason: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Number of the exception.
        number: u64,
    },
    /// Declares or redefines a plain HTTP service.
    DeclareService {
        /// Name of the service.
        service: ServiceId,
        /// Properties of the service.
        about: Service,
    },
    /// Removes a plain HTTP service.
    RemoveService {
        /// Name of the service.
        service: ServiceId,
    },
}

/// Atomic change of the configuration: all of its edits are applied, or none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Id of the change, the same when it is sent again.
    pub id: ChangeId,
    /// Revision that the change is based on; it must be the current one.
    pub base: Revision,
    /// Operator who requests the change.
    pub author: OperatorId,
    /// Reason given by the author.
    pub why: String,
    /// Edits, in the order in which they are applied.
    pub edits: Vec<Edit>,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change was applied and produced this revision.
    Accepted(Revision),
    /// The change's base is not the current revision.
    Conflict {
        /// Current revision.
        standing: Revision,
        /// Changes accepted since the base, one per line.
        differs: Vec<String>,
    },
    /// An edit is not allowed, for this reason; nothing was changed.
    Refused(String),
}

//! Changes of the configuration, as operators ask for them.

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
        /// Label that operators know the key by.
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
    /// Sets what an organisation may use.
    SetGrants {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Models and versions; the class's default where empty.
        grants: BTreeSet<Grant>,
    },
    /// Sets the class of an organisation.
    SetClass {
        /// Name of the organisation.
        organisation: OrganisationId,
        /// Class of the organisation.
        class: Class,
    },
    /// Makes a version known.
    DeclareVersion {
        /// Name of the version.
        version: VersionId,
        /// Price of 1,000 prompt tokens in millionths of the currency.
        price_in: u32,
        /// Price of 1,000 answer tokens in millionths of the currency.
        price_out: u32,
        /// Quality expected before any rating, in thousandths.
        prior: u32,
    },
    /// Serves a version in full.
    Offer {
        /// Name of the version.
        version: VersionId,
    },
    /// Begins to serve a version in steps.
    StartRollOut {
        /// Name of the version.
        version: VersionId,
        /// Exposures that each step allows in all.
        steps: Vec<u32>,
    },
    /// Goes on to the next step, or serves in full after the last.
    StepRollOut {
        /// Name of the version.
        version: VersionId,
    },
    /// Holds back or lets go new exposures.
    PauseRollOut {
        /// Name of the version.
        version: VersionId,
        /// Whether to hold them back.
        paused: bool,
    },
    /// Stops a version that is in roll-out or on offer.
    Halt {
        /// Name of the version.
        version: VersionId,
        /// Why it is stopped.
        reason: String,
    },
    /// Takes up a halted version where it was stopped.
    Resume {
        /// Name of the version.
        version: VersionId,
    },
    /// Ends a version's life: no new work, for good.
    Withdraw {
        /// Name of the version.
        version: VersionId,
    },
    /// Sets the default of a class.
    SetDefault {
        /// Class that the default is for.
        class: Class,
        /// What each organisation of the class gets.
        default: ClassDefault,
    },
    /// Adds an exception.
    AddException {
        /// Organisation that the exception is for.
        organisation: OrganisationId,
        /// What differs.
        rule: Rule,
        /// Why, in the author's words.
        reason: String,
    },
    /// Removes an exception.
    RemoveException {
        /// Number of the exception.
        number: u64,
    },
    /// Makes a plain service known, or sets it anew.
    DeclareService {
        /// Name of the service.
        service: ServiceId,
        /// What is known of it.
        about: Service,
    },
    /// Forgets a plain service.
    RemoveService {
        /// Name of the service.
        service: ServiceId,
    },
}

/// Change of the configuration, accepted or refused as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Name of the change, the same when it is sent again.
    pub id: ChangeId,
    /// Revision that the author looked at.
    pub base: Revision,
    /// Who asks for it.
    pub author: OperatorId,
    /// Why, in the author's words.
    pub why: String,
    /// What is to change, in this order.
    pub edits: Vec<Edit>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The change made this revision.
    Accepted(Revision),
    /// Another change was faster.
    Conflict {
        /// Revision that stands.
        standing: Revision,
        /// What came after the change's base, a line each.
        differs: Vec<String>,
    },
    /// The change breaks a rule; nothing was changed.
    Refused(String),
}

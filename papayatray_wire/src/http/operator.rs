//! HTTP bodies for operators.

use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Outcome;
use papayatray_core::id::ChangeId;
use papayatray_core::id::OperatorId;
use papayatray_core::id::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Change that an operator requests; its author is identified by the operator's key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Id chosen by the operator; a retry with the same id returns the first outcome.
    pub id: ChangeId,
    /// Revision that the change is based on.
    pub base: Revision,
    /// Reason given by the operator.
    pub why: String,
    /// Edits to apply.
    pub edits: Vec<Edit>,
}

impl ChangeRequest {
    /// Converts the request into a change by `author`.
    pub fn into_change(self, author: OperatorId) -> Change {
        Change {
            id: self.id,
            base: self.base,
            author,
            why: self.why,
            edits: self.edits,
        }
    }
}

/// Response to a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeResponse {
    /// Whether the change was accepted.
    pub outcome: Outcome,
}

/// Response to the query for the revision in force.
///
/// A revision is in force at an entry once no request that the entry checked against an older one
/// can still reach an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceResponse {
    /// Revision of the committed configuration.
    pub revision: Revision,
    /// Highest revision that is in force at every entry, if known.
    pub in_force: Option<Revision>,
}

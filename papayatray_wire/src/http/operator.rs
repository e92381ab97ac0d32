//! Bodies for operators.

use papayatray_core::catalogue::Change;
use papayatray_core::catalogue::Edit;
use papayatray_core::catalogue::Outcome;
use papayatray_core::id::ChangeId;
use papayatray_core::id::OperatorId;
use papayatray_core::id::Revision;
use serde::Deserialize;
use serde::Serialize;

/// Change that an operator asks for; its author is known by the key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRequest {
    /// Name of the change, the same when it is sent again.
    pub id: ChangeId,
    /// Revision that the operator looked at.
    pub base: Revision,
    /// Why, in the operator's words.
    pub why: String,
    /// What is to change.
    pub edits: Vec<Edit>,
}

impl ChangeRequest {
    /// Returns the change with its author.
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

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeReply {
    /// The outcome.
    pub outcome: Outcome,
}

/// Revision that is in force everywhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForceReply {
    /// Revision that stands.
    pub revision: Revision,
    /// Revision that is in force everywhere, where that is known.
    pub in_force: Option<Revision>,
}

//! Published plan in compressed form, in which it is logged from format level 2 on.
//!
//! Load: plans of 10,000 routes. As text, such a log entry has 6 MB, and the heartbeats between the
//! replicas wait while it is encoded, sent to each of them and stored.

use papayatray_core::gateway::plan::PublishedPlan;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;

use crate::compression::Effort;
use crate::compression::compress;
use crate::compression::decompress;
use crate::plan_document::DocumentForm;
use crate::plan_document::PlanDocument;

/// Maximum size of the plan's or the publisher's text, in bytes; that of a frame between replicas.
const MAX_TEXT_BYTES: u64 = 64 << 20;

/// Published plan with its JSON text, compressed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PackedDocument {
    document: PlanDocument,
    /// Kept, since compressing takes longer than anything else that is done with the command.
    packed: PackedForm,
}

/// Form of a [`PackedDocument`] in the log; the order of the fields must stay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct PackedForm {
    /// The plan as JSON text.
    plan: Vec<u8>,
    /// Text that the publisher sent.
    source: Vec<u8>,
}

impl PackedDocument {
    /// Returns the plan as JSON text.
    pub fn text(&self) -> &str {
        self.document.text()
    }

    /// Returns the plan.
    pub const fn publication(&self) -> &PublishedPlan {
        self.document.publication()
    }
}

impl From<PlanDocument> for PackedDocument {
    fn from(document: PlanDocument) -> Self {
        let packed = PackedForm {
            plan: compress(document.text(), Effort::Time),
            source: compress(&document.publication().source, Effort::Time),
        };
        Self { document, packed }
    }
}

impl Serialize for PackedDocument {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        self.packed.serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for PackedDocument {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        let packed = PackedForm::deserialize(deserializer)?;
        let unpack = |bytes| decompress(bytes, MAX_TEXT_BYTES).map_err(D::Error::custom);
        let form = DocumentForm {
            plan: unpack(&packed.plan)?,
            source: unpack(&packed.source)?,
        };
        let document = PlanDocument::try_from(form).map_err(D::Error::custom)?;
        Ok(Self { document, packed })
    }
}

//! Published plan as JSON text, the form in which it is logged from format level 1 on.

use papayatray_core::gateway::plan::PublishedPlan;
use serde::Deserialize;
use serde::Serialize;

use crate::plan_form::PublishedPlanForm;

/// Published plan with its JSON text; fields that the text lacks have their defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "DocumentForm", into = "DocumentForm")]
pub struct PlanDocument {
    text: String,
    publication: PublishedPlan,
}

/// Form of a [`PlanDocument`] in the log; the order of the fields must stay.
#[derive(Serialize, Deserialize)]
pub(crate) struct DocumentForm {
    /// The plan as JSON text.
    pub(crate) plan: String,
    /// Text that the publisher sent.
    pub(crate) source: String,
}

impl PlanDocument {
    /// Returns the plan as JSON text.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the plan.
    pub const fn publication(&self) -> &PublishedPlan {
        &self.publication
    }
}

impl TryFrom<PublishedPlan> for PlanDocument {
    type Error = serde_json::Error;

    fn try_from(publication: PublishedPlan) -> Result<Self, serde_json::Error> {
        Ok(Self {
            text: serde_json::to_string(&publication.plan)?,
            publication,
        })
    }
}

impl TryFrom<DocumentForm> for PlanDocument {
    type Error = serde_json::Error;

    fn try_from(form: DocumentForm) -> Result<Self, serde_json::Error> {
        Ok(Self {
            publication: PublishedPlan {
                plan: serde_json::from_str(&form.plan)?,
                source: form.source,
            },
            text: form.plan,
        })
    }
}

impl From<PlanDocument> for DocumentForm {
    fn from(document: PlanDocument) -> Self {
        Self {
            plan: document.text,
            source: document.publication.source,
        }
    }
}

/// Returns whether the binary form of level 0 has all fields of a plan.
pub fn fits_binary_form(publication: &PublishedPlan) -> bool {
    PublishedPlan::from(PublishedPlanForm::from(publication)) == *publication
}

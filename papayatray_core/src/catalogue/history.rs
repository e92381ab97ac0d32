//! History of the catalogue: accepted changes, and the outcome of each change id.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use super::Catalogue;
use super::Change;
use super::Edit;
use super::Outcome;
use crate::clock::Millis;
use crate::id::ChangeId;
use crate::id::OperatorId;
use crate::id::Revision;

/// Number of accepted changes stored for incremental updates and for operators.
pub const MAX_HISTORY: usize = 2_000;
/// Number of outcomes stored, so that a repeated change gets its first outcome.
pub const MAX_OUTCOMES: usize = 20_000;

/// Accepted change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change produced.
    pub revision: Revision,
    /// Id of the change.
    pub id: ChangeId,
    /// Operator who requested the change.
    pub author: OperatorId,
    /// Reason given by the author.
    pub why: String,
    /// Wall-clock time of acceptance.
    pub at: Millis,
    /// Edits of the change, in order.
    pub edits: Vec<Edit>,
}

/// Catalogue with its history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeHistory {
    catalogue: Catalogue,
    history: VecDeque<Accepted>,
    outcomes: BTreeMap<ChangeId, Outcome>,
    /// Ids of `outcomes`, oldest first.
    #[serde(rename = "order")]
    outcome_order: VecDeque<ChangeId>,
}

impl ChangeHistory {
    /// Returns the current configuration.
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the latest accepted changes, at most [`MAX_HISTORY`], oldest first.
    pub const fn history(&self) -> &VecDeque<Accepted> {
        &self.history
    }

    /// Applies or rejects `change` at the wall-clock time `at`.
    ///
    /// A repeated change id gets the first outcome again.
    pub fn decide(&mut self, change: &Change, at: Millis) -> Outcome {
        if let Some(first) = self.outcomes.get(&change.id) {
            return first.clone();
        }
        let outcome = self.apply_change(change, at);
        self.outcomes.insert(change.id.clone(), outcome.clone());
        self.outcome_order.push_back(change.id.clone());
        if self.outcome_order.len() > MAX_OUTCOMES
            && let Some(oldest) = self.outcome_order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        outcome
    }

    fn apply_change(&mut self, change: &Change, at: Millis) -> Outcome {
        if change.base != self.catalogue.revision {
            return Outcome::Conflict {
                standing: self.catalogue.revision,
                differs: self.describe_changes_since(change.base),
            };
        }
        match self.catalogue.with_edits(&change.edits) {
            Ok(next) => {
                self.accept(change, next, at);
                Outcome::Accepted(self.catalogue.revision)
            }
            Err(error) => Outcome::Refused(error.to_string()),
        }
    }

    fn accept(&mut self, change: &Change, next: Catalogue, at: Millis) {
        self.catalogue = next;
        self.history.push_back(Accepted {
            revision: self.catalogue.revision,
            id: change.id.clone(),
            author: change.author.clone(),
            why: change.why.clone(),
            at,
            edits: change.edits.clone(),
        });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn describe_changes_since(&self, base: Revision) -> Vec<String> {
        let later = self.history.iter().filter(|a| a.revision > base);
        later
            .map(|a| format!("revision {} by {}: {:?}", a.revision, a.author, a.edits))
            .collect()
    }

    /// Returns the changes after `base`, or nothing if the history does not reach back to `base`.
    pub fn since(&self, base: Revision) -> Option<Vec<Accepted>> {
        if base == self.catalogue.revision {
            return Some(Vec::new());
        }
        let first = self.history.front()?.revision;
        if base > self.catalogue.revision || base.next() < first {
            return None;
        }
        let later = self.history.iter().filter(|a| a.revision > base);
        Some(later.cloned().collect())
    }
}

//! Book of changes: the catalogue, its history, and the outcome of each change id.

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

/// Accepted changes that are kept for differences and for readers.
pub const HISTORY: usize = 2_000;
/// Outcomes that are kept for changes sent again.
pub const OUTCOMES: usize = 20_000;

/// Accepted change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Revision that the change made.
    pub revision: Revision,
    /// Name of the change.
    pub id: ChangeId,
    /// Who asked for it.
    pub author: OperatorId,
    /// Why, in the author's words.
    pub why: String,
    /// When, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// What changed.
    pub edits: Vec<Edit>,
}

/// Catalogue with its history.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeHistory {
    catalogue: Catalogue,
    history: VecDeque<Accepted>,
    outcomes: BTreeMap<ChangeId, Outcome>,
    order: VecDeque<ChangeId>,
}

impl ChangeHistory {
    /// Returns the configuration that stands.
    pub const fn catalogue(&self) -> &Catalogue {
        &self.catalogue
    }

    /// Returns the accepted changes that are kept, oldest first.
    pub const fn history(&self) -> &VecDeque<Accepted> {
        &self.history
    }

    /// Decides on `change`; the same change id gets the same outcome ever after.
    pub fn decide(&mut self, change: &Change, at: Millis) -> Outcome {
        if let Some(first) = self.outcomes.get(&change.id) {
            return first.clone();
        }
        let outcome = self.judge(change, at);
        self.outcomes.insert(change.id.clone(), outcome.clone());
        self.order.push_back(change.id.clone());
        if self.order.len() > OUTCOMES
            && let Some(oldest) = self.order.pop_front()
        {
            self.outcomes.remove(&oldest);
        }
        outcome
    }

    fn judge(&mut self, change: &Change, at: Millis) -> Outcome {
        if change.base != self.catalogue.revision {
            return Outcome::Conflict {
                standing: self.catalogue.revision,
                differs: self.differs(change.base),
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
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }

    fn differs(&self, base: Revision) -> Vec<String> {
        let later = self.history.iter().filter(|a| a.revision > base);
        later
            .map(|a| format!("revision {} by {}: {:?}", a.revision, a.author, a.edits))
            .collect()
    }

    /// Returns the changes after `base`, or nothing where the history no longer reaches back.
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

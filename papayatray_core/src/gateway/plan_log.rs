//! Log of the changes of the plan at a control replica, by item, from which entries take pieces.
//!
//! Load: hundreds of entries behind narrow links, plans of thousands of routes, and versions that
//! follow each other faster than a whole plan is sent. The log holds the last change of each item,
//! in the order of the versions. An entry that has received a part of it goes on from there,
//! whatever has been published meanwhile and whichever replica sends the rest; what was overwritten
//! meanwhile is sent once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::ops::RangeBounds;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use super::plan::Plan;
use super::plan_items::ItemDigest;
use super::plan_items::ItemKey;
use super::plan_items::PlanChange;
use super::plan_items::changes_between;
use crate::id::PlanVersion;

/// Removals that are remembered for entries that lag; an entry from before the others starts anew.
const MAX_REMOVALS: usize = 4_096;

/// Position in the log up to which an entry has received the changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PlanCursor {
    /// Version that numbers all older changes in the log of the replica that sent the last piece.
    pub base: PlanVersion,
    /// Newest version that a replica had when it sent a piece: changes that it had overwritten by
    /// then were not sent, so a replica without that version cannot go on.
    pub newest: PlanVersion,
    /// Version of the last change received; version 0 stands for the start of the log.
    pub version: PlanVersion,
    /// Key of the last change received, or `None` if all changes of the version were.
    pub key: Option<ItemKey>,
}

/// Consecutive changes of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlanPiece {
    /// Whether the changes are the first of the log, so that what the entry has received does not
    /// count.
    pub is_restart: bool,
    /// Texts of the changes, one a line.
    pub text: String,
    /// Position after the changes.
    pub cursor: PlanCursor,
    /// Digest of all items, if the changes go up to the newest version.
    pub digest: Option<ItemDigest>,
}

/// Last change of an item.
#[derive(Debug)]
struct LoggedChange {
    version: PlanVersion,
    text: String,
    /// Digest of the item, or `None` if it was removed.
    digest: Option<ItemDigest>,
}

/// Reason why a plan cannot be logged.
pub type EncodeError = serde_json::Error;

/// Changes of the plan since the log began, without those that later ones overwrote.
#[derive(Debug, Default)]
pub struct PlanLog {
    /// Newest plan.
    plan: Option<Arc<Plan>>,
    changes: BTreeMap<ItemKey, LoggedChange>,
    /// Keys in the order in which entries receive the changes.
    order: BTreeSet<(PlanVersion, ItemKey)>,
    /// Versions and keys of the removals.
    removals: BTreeSet<(PlanVersion, ItemKey)>,
    /// Version that numbers all changes from before the log began.
    base: PlanVersion,
    /// Version before which an entry cannot go on, as removals from then on are not all known.
    oldest: PlanVersion,
    /// Digest of all items of the newest plan.
    digest: ItemDigest,
}

impl PlanLog {
    /// Returns the newest plan.
    pub const fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }

    /// Returns the version of the newest plan, or 0 without one.
    pub fn version(&self) -> PlanVersion {
        self.plan
            .as_ref()
            .map_or_else(PlanVersion::default, |plan| plan.version)
    }

    /// Adds the changes that make `plan` of the newest one; a plan that is not newer changes
    /// nothing.
    ///
    /// Every version that was in force must be added: an entry may hold any of them.
    ///
    /// # Errors
    ///
    /// Fails if an item cannot be encoded.
    pub fn record(&mut self, plan: &Arc<Plan>) -> Result<(), EncodeError> {
        if plan.version <= self.version() {
            return Ok(());
        }
        let changes = match self.plan.as_deref() {
            Some(current) => changes_between(current, plan),
            None => first_changes(plan),
        };
        for change in changes {
            self.add(&change, plan.version)?;
        }
        self.plan = Some(Arc::clone(plan));
        self.drop_removals();
        Ok(())
    }

    /// Replaces the log by one that begins with `plan`, as versions before it may be missing; a
    /// plan that is not newer changes nothing.
    ///
    /// # Errors
    ///
    /// Fails if an item cannot be encoded.
    pub fn restart(&mut self, plan: &Arc<Plan>) -> Result<(), EncodeError> {
        if plan.version <= self.version() {
            return Ok(());
        }
        *self = Self {
            base: plan.version,
            oldest: plan.version,
            ..Self::default()
        };
        self.record(plan)
    }

    /// Returns the changes after `cursor` up to about `max_bytes` of text, at least one if there is
    /// any.
    ///
    /// An entry that has heard of a newer version gets no change.
    pub fn piece(&self, cursor: &PlanCursor, max_bytes: usize) -> PlanPiece {
        let head = self.version();
        if cursor.newest > head {
            return PlanPiece {
                is_restart: false,
                text: String::new(),
                cursor: cursor.clone(),
                digest: None,
            };
        }
        let start = PlanCursor::default();
        let is_restart = !self.can_continue(cursor);
        let after = if is_restart { &start } else { cursor };
        let mut piece = PlanPiece {
            is_restart,
            text: String::new(),
            cursor: PlanCursor {
                base: self.base,
                newest: head,
                version: head,
                key: None,
            },
            digest: self.plan.is_some().then_some(self.digest),
        };
        let mut last: Option<&(PlanVersion, ItemKey)> = None;
        for position in self.order.range(range_after(after)) {
            if let Some((version, key)) = last
                && piece.text.len() >= max_bytes
            {
                piece.cursor.version = *version;
                piece.cursor.key = Some(key.clone());
                piece.digest = None;
                break;
            }
            if let Some(change) = self.changes.get(&position.1) {
                piece.text.push_str(&change.text);
                piece.text.push('\n');
            }
            last = Some(position);
        }
        piece
    }

    /// Returns whether an entry at `cursor` gets all that it lacks from the changes after it.
    ///
    /// An entry that has a whole version lacks only later changes. Of one in the middle of a
    /// version, the removals of that version must be known, and the changes numbered alike: those
    /// up to the base of a log bear its number.
    fn can_continue(&self, cursor: &PlanCursor) -> bool {
        if cursor.key.is_none() {
            return cursor.version > PlanVersion::default() && cursor.version >= self.oldest;
        }
        if cursor.base == self.base {
            let is_in_base = cursor.version == self.base && self.oldest == self.base;
            return is_in_base || cursor.version > self.oldest;
        }
        cursor.version > cursor.base && cursor.version > self.oldest
    }

    fn add(&mut self, change: &PlanChange, version: PlanVersion) -> Result<(), EncodeError> {
        let key = change.key();
        let text = serde_json::to_string(change)?;
        let digest = match change {
            PlanChange::Set(_) => Some(ItemDigest::of_text(&text)),
            PlanChange::Remove(_) => None,
        };
        if let Some(digest) = digest {
            self.digest.add(digest);
        } else {
            self.removals.insert((version, key.clone()));
        }
        let logged = LoggedChange {
            version,
            text,
            digest,
        };
        if let Some(previous) = self.changes.insert(key.clone(), logged) {
            let position = (previous.version, key.clone());
            self.order.remove(&position);
            match previous.digest {
                Some(digest) => self.digest.remove(digest),
                None => {
                    self.removals.remove(&position);
                }
            }
        }
        self.order.insert((version, key));
        Ok(())
    }

    /// Forgets the oldest removals beyond the limit.
    fn drop_removals(&mut self) {
        while self.removals.len() > MAX_REMOVALS {
            let Some(position) = self.removals.pop_first() else {
                return;
            };
            self.oldest = self.oldest.max(position.0);
            self.changes.remove(&position.1);
            self.order.remove(&position);
        }
    }
}

/// Returns the changes that make a plan of none.
fn first_changes(plan: &Plan) -> Vec<PlanChange> {
    let items = super::plan_items::items(plan.clone());
    items.map(PlanChange::Set).collect()
}

fn range_after(cursor: &PlanCursor) -> impl RangeBounds<(PlanVersion, ItemKey)> {
    let start = match &cursor.key {
        Some(key) => Bound::Excluded((cursor.version, key.clone())),
        // `Limits` is the first key of the next version.
        None => Bound::Included((PlanVersion(cursor.version.0 + 1), ItemKey::Limits)),
    };
    (start, Bound::Unbounded)
}

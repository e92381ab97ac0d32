//! An entry's copy of the plan, which it receives in pieces.

use std::collections::BTreeMap;

use displaydoc::Display;

use super::plan_items::ItemDigest;
use super::plan_items::ItemKey;
use super::plan_items::PlanChange;
use super::plan_log::PlanCursor;
use super::plan_log::PlanPiece;
use super::table::RouteTable;
use crate::id::PlanVersion;

/// Reason why a piece cannot be applied.
#[derive(Debug, Display)]
pub enum CopyError {
    /// a change of the plan cannot be decoded: {0}
    Malformed(serde_json::Error),
    /// the copy of version {0} differs from the plan of the control replica
    Different(PlanVersion),
}

impl std::error::Error for CopyError {}

/// Copy of the plan, complete or not.
#[derive(Debug, Default)]
pub struct PlanCopy {
    cursor: PlanCursor,
    /// Items received so far.
    table: RouteTable,
    digests: BTreeMap<ItemKey, ItemDigest>,
    digest: ItemDigest,
}

impl PlanCopy {
    /// Returns the position up to which changes have been received.
    pub const fn cursor(&self) -> &PlanCursor {
        &self.cursor
    }

    /// Applies the changes that follow the cursor; returns the plan if they complete it.
    ///
    /// # Errors
    ///
    /// Fails if a change cannot be decoded, or if the completed plan is not that of the replica;
    /// the copy is then empty.
    pub fn apply(&mut self, piece: PlanPiece) -> Result<Option<RouteTable>, CopyError> {
        if piece.is_restart {
            *self = Self::default();
        }
        let result = self.apply_changes(piece);
        if result.is_err() {
            *self = Self::default();
        }
        result
    }

    fn apply_changes(&mut self, piece: PlanPiece) -> Result<Option<RouteTable>, CopyError> {
        for text in piece.text.lines() {
            let change: PlanChange = serde_json::from_str(text).map_err(CopyError::Malformed)?;
            self.apply_change(change, text);
        }
        self.cursor = piece.cursor;
        let Some(expected) = piece.digest else {
            return Ok(None);
        };
        let version = self.cursor.version;
        if self.digest != expected {
            return Err(CopyError::Different(version));
        }
        Ok(Some(self.table.at_version(version)))
    }

    fn apply_change(&mut self, change: PlanChange, text: &str) {
        let key = change.key();
        let digest = match change {
            PlanChange::Set(item) => {
                self.table.set(item);
                Some(ItemDigest::of_text(text))
            }
            PlanChange::Remove(key) => {
                self.table.remove(&key);
                None
            }
        };
        let previous = match digest {
            Some(digest) => {
                self.digest.add(digest);
                self.digests.insert(key, digest)
            }
            None => self.digests.remove(&key),
        };
        if let Some(previous) = previous {
            self.digest.remove(previous);
        }
    }
}

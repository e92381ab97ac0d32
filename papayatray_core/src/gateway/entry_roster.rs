//! Roster of the entries that share a bound of the whole deployment.
//!
//! Load: hundreds of entries that divide a bound among themselves while control replicas restart.
//! A replica that has just started lists only the entries that have synced with it, and each of
//! those would take too large a part. Entries therefore stay on the roster for some time after
//! they left the lists.

use std::collections::BTreeMap;

use crate::clock::Millis;
use crate::id::VmId;

/// Time for which an entry stays on the roster after it left the lists; entries find a restarted
/// replica within a few seconds.
const RETENTION: Millis = Millis::from_secs(10);

/// Place of one entry among those that share a bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryShare {
    /// Index of the entry.
    pub index: u64,
    /// Number of entries, at least 1.
    pub count: u64,
}

impl Default for EntryShare {
    /// Returns the share of an entry that knows no other.
    fn default() -> Self {
        Self { index: 0, count: 1 }
    }
}

/// Entries that are listed, and those that were listed a short time ago.
#[derive(Clone, Debug, Default)]
pub struct EntryRoster {
    /// Time at which each entry was listed last.
    listed_at: BTreeMap<VmId, Millis>,
}

impl EntryRoster {
    /// Records the entries that are listed now, and drops those that have not been for some time.
    pub fn update<'a, I>(&mut self, listed: I, now: Millis)
    where
        I: IntoIterator<Item = &'a VmId>,
    {
        for vm in listed {
            match self.listed_at.get_mut(vm) {
                Some(listed_at) => *listed_at = now,
                None => {
                    self.listed_at.insert(vm.clone(), now);
                }
            }
        }
        self.listed_at
            .retain(|_, listed_at| now.since(*listed_at) <= RETENTION);
    }

    /// Returns the number of entries on the roster.
    pub fn len(&self) -> usize {
        self.listed_at.len()
    }

    /// Returns whether the roster has no entry.
    pub fn is_empty(&self) -> bool {
        self.listed_at.is_empty()
    }

    /// Returns the share of the entry `vm`, which counts even if it is not on the roster.
    pub fn share(&self, vm: &VmId) -> EntryShare {
        let others = self.listed_at.keys().filter(|listed| *listed != vm);
        EntryShare {
            index: self.listed_at.range(..vm.clone()).count() as u64,
            count: others.count() as u64 + 1,
        }
    }
}

//! Register of the entries that sync with a control replica, numbered so that only changes are sent.
//!
//! Load: hundreds of entries that start, stop or are added at the same moment. Were each told the
//! whole list at each change, the bytes would grow with the cube of their number.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::VmId;
use crate::lease::EntryInfo;

/// Removals retained for entries that sync late; those that miss more get the whole list.
const MAX_REMOVALS: usize = 1_024;

/// Entry with the time of its last sync.
#[derive(Clone, Debug)]
struct Record {
    info: EntryInfo,
    last_sync: Millis,
    /// Number of the change that set `info`.
    number: u64,
}

/// Changes of the list of entries since a number.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpdates {
    /// Number of the last change included.
    pub number: u64,
    /// Whether entries that are not listed are gone.
    pub is_complete: bool,
    /// Entries that started or changed.
    pub changed: Vec<EntryInfo>,
    /// Entries that are gone.
    pub removed: Vec<VmId>,
}

/// Entries by VM.
#[derive(Clone, Debug, Default)]
pub struct EntryRegister {
    records: BTreeMap<VmId, Record>,
    removals: VecDeque<(u64, VmId)>,
    last_number: u64,
}

impl EntryRegister {
    /// Records a sync of an entry; returns false if a later incarnation of it has synced already.
    pub fn record(&mut self, info: &EntryInfo, now: Millis) -> bool {
        let previous = self.records.get(&info.vm);
        if previous.is_some_and(|record| record.info.incarnation > info.incarnation) {
            return false;
        }
        let unchanged = previous.filter(|record| record.info == *info);
        let number = unchanged.map_or_else(|| self.last_number + 1, |record| record.number);
        self.last_number = self.last_number.max(number);
        let record = Record {
            info: info.clone(),
            last_sync: now,
            number,
        };
        self.records.insert(info.vm.clone(), record);
        true
    }

    /// Removes the entries whose last sync is `ttl` ago or more, and returns them.
    pub fn expire(&mut self, ttl: Millis, now: Millis) -> Vec<VmId> {
        let is_expired = |record: &Record| now.since(record.last_sync) >= ttl;
        let expired = self.records.iter().filter(|(_, r)| is_expired(r));
        let expired: Vec<VmId> = expired.map(|(vm, _)| vm.clone()).collect();
        for vm in &expired {
            self.records.remove(vm);
            self.last_number += 1;
            self.removals.push_back((self.last_number, vm.clone()));
        }
        while self.removals.len() > MAX_REMOVALS {
            self.removals.pop_front();
        }
        expired
    }

    /// Returns the changes after number `seen`, or the whole list if some of them are forgotten.
    pub fn updates_after(&self, seen: u64) -> EntryUpdates {
        // The numbers of removals that were dropped lie below that of the oldest one retained.
        let oldest = self.removals.front().map_or(0, |(number, _)| *number);
        let has_dropped = self.removals.len() == MAX_REMOVALS;
        let is_complete = seen == 0 || seen > self.last_number || (has_dropped && seen < oldest);
        let changed = self
            .records
            .values()
            .filter(|record| is_complete || record.number > seen);
        let removed = self.removals.iter().filter(|(number, vm)| {
            !is_complete && *number > seen && !self.records.contains_key(vm)
        });
        EntryUpdates {
            number: self.last_number,
            is_complete,
            changed: changed.map(|record| record.info.clone()).collect(),
            removed: removed.map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Returns the incarnation that an entry last synced with.
    pub fn get(&self, vm: &VmId) -> Option<&EntryInfo> {
        self.records.get(vm).map(|record| &record.info)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Leaves out the entries that are cut off from endpoints, if at least half of all remain: callers of the
/// others need no second hop, and the others must not be overrun.
pub fn leave_out_cut_off(entries: &mut BTreeMap<VmId, EntryInfo>) {
    let sound = entries.values().filter(|info| !info.is_cut_off).count();
    if sound * 2 >= entries.len() {
        entries.retain(|_, info| !info.is_cut_off);
    }
}

/// List of entries as its receiver keeps it.
#[derive(Clone, Debug, Default)]
pub struct EntryList {
    entries: BTreeMap<VmId, EntryInfo>,
    number: u64,
}

impl EntryList {
    /// Applies changes.
    pub fn apply(&mut self, updates: EntryUpdates) {
        if updates.is_complete {
            self.entries.clear();
        }
        for vm in &updates.removed {
            self.entries.remove(vm);
        }
        for info in updates.changed {
            self.entries.insert(info.vm.clone(), info);
        }
        self.number = updates.number;
    }

    /// Returns the number of the last change applied.
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = &EntryInfo> {
        self.entries.values()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

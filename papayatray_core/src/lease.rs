//! Leases of entries on the configuration, and the revision in force at all entries.
//!
//! An entry starts new requests only while it holds a lease. A revision is in force once every
//! entry with a lease has applied it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::DataCentre;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::VmId;

/// Duration of a lease at the entry, counted from the entry's request for it.
pub const LEASE_DURATION: Millis = Millis::new(2_500);
/// Duration of a lease at the leader, longer to allow for different clock rates.
pub const LEADER_LEASE_DURATION: Millis = Millis::new(2_800);

/// Bound on the removed entries listed for updates; readers that are further behind get the full
/// list.
const MAX_REMOVED: usize = 1_024;

/// Entry process and its VM, as known to the other processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Name of the VM.
    pub vm: VmId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: String,
    /// Address for other entry and control processes.
    pub peer_address: String,
    /// Whether the entry is draining and takes no new callers.
    pub draining: bool,
    /// Whether the entry is cut off from endpoints that other entries reach.
    #[serde(default)]
    pub is_cut_off: bool,
    /// Processor share in thousandths of a core, or 0 if the settings state none.
    #[serde(default)]
    pub size: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct EntryLease {
    info: EntryInfo,
    /// Revision that the entry has applied.
    revision: Revision,
    expires_at: Millis,
    /// Version of the list in which the entry was added or last changed.
    changed_in: u64,
}

/// Changes to the list of entries since one of its versions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Whether the update holds the full list, replacing the previous one.
    #[serde(rename = "anew")]
    pub is_full: bool,
    /// Entries added or changed.
    #[serde(rename = "put")]
    pub upserted: Vec<EntryInfo>,
    /// Entries removed.
    #[serde(rename = "gone")]
    pub removed: Vec<VmId>,
}

/// Leases granted by a leader; held in memory only and rebuilt by each new leader.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<VmId, EntryLease>,
    /// Removed entries, each with the version of the list that removed it.
    removed: VecDeque<(u64, VmId)>,
    /// Number of entries on each revision, for finding the lowest.
    revisions: BTreeMap<Revision, usize>,
    /// Lower bound on the expiry of all leases; renewals only extend leases.
    earliest_expiry: Millis,
    /// Time from which revisions in force are reported.
    in_force_from: Millis,
    /// Version of the list before which readers get the full list.
    oldest_version: u64,
    /// Current version of the list.
    version: u64,
}

impl LeaseTable {
    /// Creates the empty table of a leader whose term began at `now`.
    ///
    /// Leases of the previous leader may still be valid; until they have expired, no revision is
    /// reported to be in force.
    pub fn new(now: Millis) -> Self {
        Self {
            leases: BTreeMap::new(),
            removed: VecDeque::new(),
            revisions: BTreeMap::new(),
            earliest_expiry: now,
            in_force_from: now + LEADER_LEASE_DURATION,
            oldest_version: now.as_u64(),
            version: now.as_u64(),
        }
    }

    /// Grants or renews the lease of the entry `info`, which has applied `revision`.
    pub fn renew(&mut self, info: &EntryInfo, revision: Revision, now: Millis) {
        let unchanged = self
            .leases
            .get(&info.vm)
            .filter(|lease| lease.info == *info);
        let changed_in = unchanged.map(|lease| lease.changed_in);
        let changed_in = changed_in.unwrap_or_else(|| {
            self.version += 1;
            self.version
        });
        let lease = EntryLease {
            info: info.clone(),
            revision,
            expires_at: now + LEADER_LEASE_DURATION,
            changed_in,
        };
        *self.revisions.entry(revision).or_default() += 1;
        if let Some(before) = self.leases.insert(info.vm.clone(), lease) {
            self.decrement_count(before.revision);
        }
    }

    /// Counts one entry fewer on `revision`.
    fn decrement_count(&mut self, revision: Revision) {
        if let Some(count) = self.revisions.get_mut(&revision) {
            *count -= 1;
            if *count == 0 {
                self.revisions.remove(&revision);
            }
        }
    }

    /// Drops expired leases and removes their entries from the list.
    pub fn expire(&mut self, now: Millis) {
        if now <= self.earliest_expiry {
            return;
        }
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at < now);
        let expired: Vec<VmId> = expired.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            if let Some(lease) = self.leases.remove(&vm) {
                self.decrement_count(lease.revision);
            }
            self.version += 1;
            self.removed.push_back((self.version, vm));
        }
        let earliest_expiry = self.leases.values().map(|lease| lease.expires_at).min();
        self.earliest_expiry = earliest_expiry.unwrap_or(now);
        while self.removed.len() > MAX_REMOVED {
            // Readers at an older version get the full list.
            self.oldest_version = self
                .removed
                .pop_front()
                .map_or(self.oldest_version, |(version, _)| version);
        }
    }

    /// Returns the changes to the list of entries since `version`.
    pub fn updates_since(&self, version: u64) -> EntryUpdate {
        let is_full = version < self.oldest_version || version > self.version;
        let is_new = |lease: &&EntryLease| is_full || lease.changed_in > version;
        let upserted = self
            .leases
            .values()
            .filter(is_new)
            .map(|lease| lease.info.clone());
        let removed = self
            .removed
            .iter()
            .filter(|(removed_in, _)| !is_full && *removed_in > version);
        EntryUpdate {
            is_full,
            upserted: upserted.collect(),
            removed: removed.map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Returns the lowest revision applied by the entries that hold a lease, at most `committed`.
    ///
    /// Returns nothing while leases of an earlier leader may still be valid.
    pub fn in_force(&self, committed: Revision, now: Millis) -> Option<Revision> {
        if now < self.in_force_from {
            return None;
        }
        // Expired leases that have not been dropped yet can only lower the result.
        let lowest = self.revisions.keys().next().copied();
        Some(lowest.unwrap_or(committed).min(committed))
    }

    /// Returns the entries that hold a lease, with the revision that each has applied.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryInfo, Revision)> {
        self.leases
            .values()
            .map(|lease| (&lease.info, lease.revision))
    }

    /// Returns the version of the list, which increases whenever the list changes.
    pub const fn version(&self) -> u64 {
        self.version
    }
}

impl EntryUpdate {
    /// Applies the changes to a list of entries.
    pub fn apply(&self, entries: &mut BTreeMap<VmId, EntryInfo>) {
        if self.is_full {
            entries.clear();
        }
        for vm in &self.removed {
            entries.remove(vm);
        }
        for info in &self.upserted {
            entries.insert(info.vm.clone(), info.clone());
        }
    }
}

/// Lease as held by an entry, with the revision that it has applied.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    revision: Revision,
    expires_at: Millis,
}

impl HeldLease {
    /// Applies a renewal that was requested at `requested_at`.
    ///
    /// Returns false for a reply with an older revision, which is ignored: the configuration never
    /// reverts.
    pub fn renew(&mut self, revision: Revision, requested_at: Millis) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.expires_at = self.expires_at.max(requested_at + LEASE_DURATION);
        true
    }

    /// Returns whether the lease is valid, so that new requests may start.
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.expires_at
    }

    /// Returns the revision that the entry has applied.
    pub const fn revision(&self) -> Revision {
        self.revision
    }
}

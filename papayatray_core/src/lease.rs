//! Leases of entries on the configuration, and the revision that is in force everywhere.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::id::DataCentre;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::id::VmId;

/// Time for which an entry may go on after it asked for the lease, by the entry's clock.
pub const LEASE: Millis = Millis::new(2_500);
/// Longer time that the leader counts, for clocks that run at unlike rates.
pub const LEADER_LEASE_DURATION: Millis = Millis::new(2_800);

/// Departures that are remembered, so that the whole list need not be sent.
const GONE_KEPT: usize = 1_024;

/// What is known of a VM that runs an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Name of the VM.
    pub vm: VmId,
    /// Number of the process's start.
    pub incarnation: Incarnation,
    /// Data centre that the VM stands in.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub caller_address: String,
    /// Address for the system's own processes.
    pub peer_address: String,
    /// Whether the VM is to be left alone by new callers.
    pub draining: bool,
}

/// Lease of one entry.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EntryLease {
    info: EntryInfo,
    revision: Revision,
    until: Millis,
    changed: u64,
}

/// Entries that came, changed or went since a version of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// Whether the list begins anew.
    pub anew: bool,
    /// Entries that came or changed.
    pub put: Vec<EntryInfo>,
    /// Entries that went.
    pub gone: Vec<VmId>,
}

/// Leases that a leader has given; kept in memory only, and built anew by the next leader.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<VmId, EntryLease>,
    gone: VecDeque<(u64, VmId)>,
    /// Entries by the revision that they work by, so that the lowest is at hand.
    revisions: BTreeMap<Revision, usize>,
    /// Moment before which no lease ends; renewals only make leases longer.
    earliest: Millis,
    settled: Millis,
    first: u64,
    version: u64,
}

impl LeaseTable {
    /// Creates the empty book of a leader whose term began at `now`.
    ///
    /// Leases of the leader before may still run; until they have ended, nothing is in force.
    pub fn new(now: Millis) -> Self {
        Self {
            leases: BTreeMap::new(),
            gone: VecDeque::new(),
            revisions: BTreeMap::new(),
            earliest: now,
            settled: now + LEADER_LEASE_DURATION,
            first: now.as_u64(),
            version: now.as_u64(),
        }
    }

    /// Gives a lease to the entry `info`, which works by `revision`.
    pub fn renew(&mut self, info: &EntryInfo, revision: Revision, now: Millis) {
        let known = self
            .leases
            .get(&info.vm)
            .filter(|lease| lease.info == *info);
        let changed = known.map(|lease| lease.changed);
        let changed = changed.unwrap_or_else(|| {
            self.version += 1;
            self.version
        });
        let lease = EntryLease {
            info: info.clone(),
            revision,
            until: now + LEADER_LEASE_DURATION,
            changed,
        };
        *self.revisions.entry(revision).or_default() += 1;
        if let Some(before) = self.leases.insert(info.vm.clone(), lease) {
            self.uncount(before.revision);
        }
    }

    fn uncount(&mut self, revision: Revision) {
        if let Some(count) = self.revisions.get_mut(&revision) {
            *count -= 1;
            if *count == 0 {
                self.revisions.remove(&revision);
            }
        }
    }

    /// Drops leases that have ended.
    pub fn expire(&mut self, now: Millis) {
        if now <= self.earliest {
            return;
        }
        let ended = self.leases.iter().filter(|(_, lease)| lease.until < now);
        let ended: Vec<VmId> = ended.map(|(vm, _)| vm.clone()).collect();
        for vm in ended {
            if let Some(lease) = self.leases.remove(&vm) {
                self.uncount(lease.revision);
            }
            self.version += 1;
            self.gone.push_back((self.version, vm));
        }
        let earliest = self.leases.values().map(|lease| lease.until).min();
        self.earliest = earliest.unwrap_or(now);
        while self.gone.len() > GONE_KEPT {
            // Whoever has not heard of this one gets the whole list.
            self.first = self
                .gone
                .pop_front()
                .map_or(self.first, |(version, _)| version);
        }
    }

    /// Returns what came, changed or went since `version` of the list.
    pub fn news(&self, version: u64) -> EntryUpdate {
        let anew = version < self.first || version > self.version;
        let is_news = |lease: &&EntryLease| anew || lease.changed > version;
        let put = self
            .leases
            .values()
            .filter(is_news)
            .map(|lease| lease.info.clone());
        let gone = self.gone.iter().filter(|(at, _)| !anew && *at > version);
        EntryUpdate {
            anew,
            put: put.collect(),
            gone: gone.map(|(_, vm)| vm.clone()).collect(),
        }
    }

    /// Returns the revision that every entry with a lease works by, at most `committed`.
    ///
    /// Nothing is returned while leases of an earlier leader may run.
    pub fn in_force(&self, committed: Revision, now: Millis) -> Option<Revision> {
        if now < self.settled {
            return None;
        }
        // A lease that has ended and was not dropped yet can only make the answer too low.
        let lowest = self.revisions.keys().next().copied();
        Some(lowest.unwrap_or(committed).min(committed))
    }

    /// Returns the entries that hold a lease, with the revision that each works by.
    pub fn entries(&self) -> impl Iterator<Item = (&EntryInfo, Revision)> {
        self.leases
            .values()
            .map(|lease| (&lease.info, lease.revision))
    }

    /// Returns a number that changes whenever the set of entries does.
    pub const fn version(&self) -> u64 {
        self.version
    }
}

impl EntryUpdate {
    /// Applies the news to a list of entries.
    pub fn apply(&self, entries: &mut BTreeMap<VmId, EntryInfo>) {
        if self.anew {
            entries.clear();
        }
        for vm in &self.gone {
            entries.remove(vm);
        }
        for info in &self.put {
            entries.insert(info.vm.clone(), info.clone());
        }
    }
}

/// Lease as the entry itself sees it.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeldLease {
    revision: Revision,
    until: Millis,
}

impl HeldLease {
    /// Takes an answer to a renewal that was asked for at `asked`.
    ///
    /// An answer with an older revision is left aside: a configuration never reverts.
    pub fn renew(&mut self, revision: Revision, asked: Millis) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        self.until = self.until.max(asked + LEASE);
        true
    }

    /// Tells whether new work may start.
    pub fn is_held(&self, now: Millis) -> bool {
        now < self.until
    }

    /// Returns the revision that the entry works by.
    pub const fn revision(&self) -> Revision {
        self.revision
    }
}

//! Entries that callers may be sent to, and the stages of this one's stop.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Millis;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;

use super::EntryList;
use super::Gateway;
use super::StopStage;
use super::lock;

/// Time for which the list of entries of a control replica counts.
const LIST_KEPT: Millis = Millis::from_secs(3);

/// # Entries
impl Gateway {
    /// Returns what the others are told of this entry.
    pub fn info(&self) -> EntryInfo {
        EntryInfo {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            caller_address: self.caller_address.clone(),
            peer_address: String::new(),
            draining: !self.is_ready(),
        }
    }

    pub(super) fn set_entries(&self, control: &str, entries: Vec<EntryInfo>, version: u64) {
        let heard = self.clock.now();
        let list = EntryList {
            entries,
            version,
            heard,
        };
        lock(&self.lists).insert(control.to_owned(), list);
        let count = self.entry_count();
        self.budget().set_entries(count);
    }

    /// Notes that the list of a control replica still holds.
    pub(super) fn touch_entries(&self, control: &str) {
        if let Some(list) = lock(&self.lists).get_mut(control) {
            list.heard = self.clock.now();
        }
    }

    pub(in crate::gateway) fn entries_version(&self, control: &str) -> u64 {
        lock(&self.lists)
            .get(control)
            .map_or(0, |list| list.version)
    }

    /// Returns the entries that callers may be sent to, by VM.
    ///
    /// While no control replica can be reached, the last lists hold.
    pub fn entries(&self) -> BTreeMap<VmId, EntryInfo> {
        let now = self.clock.now();
        let lists = lock(&self.lists);
        let is_fresh = |list: &&EntryList| now.since(list.heard) < LIST_KEPT;
        let has_fresh = lists.values().any(|list| is_fresh(&list));
        let counted = lists.values().filter(|list| !has_fresh || is_fresh(list));
        let all = counted.flat_map(|list| &list.entries);
        let mut entries: BTreeMap<VmId, EntryInfo> = BTreeMap::new();
        for info in all.filter(|info| info.vm != self.vm) {
            let known = entries.get(&info.vm);
            // Of two lists, the one that has heard of the stop, or of a later start, is newer.
            let is_newer = known.is_none_or(|own| {
                (info.incarnation, info.draining) > (own.incarnation, own.draining)
            });
            if is_newer {
                entries.insert(info.vm.clone(), info.clone());
            }
        }
        drop(lists);
        entries.insert(self.vm.clone(), self.info());
        entries.retain(|_, info| !info.draining);
        entries
    }

    pub(super) fn entry_count(&self) -> usize {
        let lists = lock(&self.lists);
        let counts = lists.values().map(|list| list.entries.len());
        counts.max().unwrap_or(1).max(1)
    }
}

/// # Stopping
impl Gateway {
    /// Returns the stage of a planned stop.
    pub fn stop(&self) -> StopStage {
        match self.stop.load(Ordering::Relaxed) {
            0 => StopStage::Serving,
            1 => StopStage::Announced,
            _ => StopStage::Closed,
        }
    }

    /// Goes on to the next stage of a planned stop.
    pub fn set_stop(&self, stage: StopStage) {
        self.stop.fetch_max(stage as u8, Ordering::Relaxed);
        self.news.notify(usize::MAX);
        if stage == StopStage::Closed {
            self.closing.notify(usize::MAX);
        }
    }

    /// Counts a request in flight until the guard is dropped.
    pub(in crate::gateway) fn fly(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightGuard(Arc::clone(self))
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Request in flight.
#[derive(Debug)]
pub(in crate::gateway) struct FlightGuard(Arc<Gateway>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

//! List of entries for callers, and the shutdown stage of this entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use papayatray_core::clock::Millis;
use papayatray_core::gateway::address_list;
use papayatray_core::gateway::address_list::CallerPlace;
use papayatray_core::gateway::entry_register::EntryUpdates;
use papayatray_core::gateway::entry_register::leave_out_cut_off;
use papayatray_core::id::VmId;
use papayatray_core::lease::EntryInfo;

use super::Gateway;
use super::ReceivedEntries;
use super::ShutdownStage;
use super::lock;

/// Time for which a control replica's list of entries is used after the replica last confirmed it.
const ENTRY_LIST_TTL: Millis = Millis::from_secs(3);

impl ReceivedEntries {
    fn is_fresh(&self, now: Millis) -> bool {
        now.since(self.updated_at) < ENTRY_LIST_TTL
    }
}

/// # Entries
impl Gateway {
    /// Returns the description of this entry that is sent to the other processes.
    pub fn info(&self) -> EntryInfo {
        EntryInfo {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            caller_address: self.caller_address.clone(),
            // Empty if the entry carries no attempts of other entries.
            peer_address: self
                .hops
                .as_ref()
                .map_or_else(String::new, |hops| hops.address.to_string()),
            // An entry that is not ready yet must not be listed to callers either.
            draining: !self.is_ready(),
            is_cut_off: self.fleet().is_cut_off(),
            size: self.size,
        }
    }

    /// Applies changes of a control replica's list of entries.
    pub(super) fn apply_entries(&self, control: &str, updates: EntryUpdates, is_leader: bool) {
        {
            let mut entry_lists = lock(&self.entry_lists);
            let received = entry_lists.entry(control.to_owned()).or_default();
            received.list.apply(updates);
            received.is_from_leader = is_leader;
            received.updated_at = self.clock.now();
        }
        self.update_roster();
        let count = self.entry_count();
        self.budget().set_entries(count);
    }

    /// Updates the roster from the lists that are up to date, or from all if none is.
    fn update_roster(&self) {
        let now = self.clock.now();
        let entry_lists = lock(&self.entry_lists);
        let has_fresh = entry_lists.values().any(|list| list.is_fresh(now));
        let used = entry_lists
            .values()
            .filter(|received| !has_fresh || received.is_fresh(now));
        let listed = used.flat_map(|received| received.list.entries());
        let mut roster = lock(&self.roster);
        roster.update(listed.map(|info| &info.vm), now);
        let share = roster.share(&self.vm);
        drop(roster);
        drop(entry_lists);
        self.fleet().set_share(share, now);
    }

    /// Returns the number of the last change received of a control replica's list of entries.
    pub(in crate::gateway) fn entries_number(&self, control: &str) -> u64 {
        lock(&self.entry_lists)
            .get(control)
            .map_or(0, |received| received.list.number())
    }

    /// Returns the entries to which a caller is led, in the order of their names.
    pub fn entries_for(&self, place: &CallerPlace) -> Vec<EntryInfo> {
        let entries = self.caller_entries();
        let named = address_list::choose(&entries, place, &self.regions, rand::random());
        named.into_iter().cloned().collect()
    }

    /// Returns whether a control replica confirmed its list of entries a short time ago.
    fn has_fresh_list(&self) -> bool {
        let now = self.clock.now();
        let entry_lists = lock(&self.entry_lists);
        entry_lists.values().any(|list| list.is_fresh(now))
    }

    /// Returns the entries to which callers are led, by VM.
    ///
    /// While no list is up to date, this is only this entry, which has a plan and can be reached: the
    /// lists may name entries that have ended.
    pub fn caller_entries(&self) -> BTreeMap<VmId, EntryInfo> {
        if !self.has_fresh_list() {
            let is_serving = self.shutdown_stage() == ShutdownStage::Serving;
            let is_named = is_serving && self.route_table().is_some();
            let own = is_named.then(|| (self.vm.clone(), self.info()));
            return own.into_iter().collect();
        }
        let mut entries = self.entries();
        leave_out_cut_off(&mut entries);
        entries
    }

    /// Returns the entries that serve requests, by VM.
    ///
    /// The leader's list is used, as all entries that can prove their plan sync with it most often;
    /// without one, the lists of the other replicas. While no control replica can be reached, the
    /// last lists are used although they are outdated.
    pub fn entries(&self) -> BTreeMap<VmId, EntryInfo> {
        let now = self.clock.now();
        let entry_lists = lock(&self.entry_lists);
        let is_leading =
            |received: &ReceivedEntries| received.is_fresh(now) && received.is_from_leader;
        let has_fresh = entry_lists.values().any(|list| list.is_fresh(now));
        let has_leading = entry_lists.values().any(is_leading);
        let used = entry_lists.values().filter(|received| {
            is_leading(received) || (!has_leading && (!has_fresh || received.is_fresh(now)))
        });
        let all = used.flat_map(|received| received.list.entries());
        let mut entries: BTreeMap<VmId, EntryInfo> = BTreeMap::new();
        for info in all.filter(|info| info.vm != self.vm) {
            let listed = entries.get(&info.vm);
            // If lists differ, the later incarnation is used, or of the same incarnation the one
            // that is shutting down.
            let is_newer = listed.is_none_or(|other| {
                (info.incarnation, info.draining) > (other.incarnation, other.draining)
            });
            if is_newer {
                entries.insert(info.vm.clone(), info.clone());
            }
        }
        drop(entry_lists);
        entries.insert(self.vm.clone(), self.info());
        entries.retain(|_, info| !info.draining);
        entries
    }

    /// Returns the number of entries that share the bounds of the deployment, at least 1; it
    /// includes those that are shutting down or were listed a short time ago.
    pub(super) fn entry_count(&self) -> usize {
        lock(&self.roster).len().max(1)
    }
}

/// # Graceful shutdown
impl Gateway {
    /// Returns the stage of the graceful shutdown.
    pub fn shutdown_stage(&self) -> ShutdownStage {
        match self.shutdown_stage.load(Ordering::Relaxed) {
            0 => ShutdownStage::Serving,
            1 => ShutdownStage::Draining,
            _ => ShutdownStage::Closed,
        }
    }

    /// Advances the graceful shutdown; an earlier stage than the current one has no effect.
    pub fn set_shutdown_stage(&self, stage: ShutdownStage) {
        self.shutdown_stage
            .fetch_max(stage as u8, Ordering::Relaxed);
        self.sync_needed.notify(usize::MAX);
        if stage == ShutdownStage::Closed {
            self.close_event.notify(usize::MAX);
        }
    }

    /// Counts a request as in flight until the guard is dropped.
    pub(in crate::gateway) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub(in crate::gateway) fn track_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(Arc::clone(self))
    }

    /// Returns whether a request is in flight, or a response has not been written to its end.
    pub(in crate::gateway) fn is_busy(&self) -> bool {
        self.in_flight() > 0 || self.open_connections.load(Ordering::Relaxed) > 0
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }
}

/// Guard that counts one connection of a caller as open.
#[derive(Debug)]
pub struct ConnectionGuard(Arc<Gateway>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard that counts one request as in flight.
#[derive(Debug)]
pub(in crate::gateway) struct InFlightGuard(Arc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

//! Endpoints to which this entry can open connections.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::reach::ReachChange;
use papayatray_core::id::EndpointId;
use papayatray_core::id::Incarnation;
use papayatray_core::id::ServiceId;

use super::Fleet;
use super::SelectedEndpoint;

/// # Reach
impl Fleet {
    /// Records that a connection to an endpoint was opened.
    pub(in crate::gateway) fn record_opened(
        &mut self,
        selected: &SelectedEndpoint,
        now: Millis,
    ) -> Option<ReachChange> {
        let count = self.count_accepting(&selected.service);
        self.reach
            .record_opened(&selected.service, &selected.id, count, now)
    }

    /// Records that no connection to an endpoint could be opened, from `started_at` until now.
    ///
    /// The endpoint is ejected, unless requests got to it through other entries before (`path`) or do so
    /// from now on. Once this entry takes itself for cut off from the service, the endpoints that it
    /// ejected so are readmitted.
    pub(in crate::gateway) fn record_unreachable(
        &mut self,
        selected: &SelectedEndpoint,
        path: Path,
        started_at: Millis,
        now: Millis,
    ) -> Option<ReachChange> {
        let (service, id) = (&selected.service, &selected.id);
        let count = self.count_accepting(service);
        let change = self
            .reach
            .record_failed(service, id, count, started_at, now);
        if path == Path::Direct && self.path(selected) == Path::Direct {
            self.health(service).record_unreachable(id, now);
        }
        if change == Some(ReachChange::CutOff) && self.has_hops {
            let health = self.health.entry(service.clone()).or_default();
            for id in self.reach.unreachable(service) {
                health.readmit(id);
            }
        }
        change
    }

    /// Records that an endpoint answered through another entry.
    pub(in crate::gateway) fn record_answered_elsewhere(
        &mut self,
        selected: &SelectedEndpoint,
    ) -> Option<ReachChange> {
        self.reach
            .record_answered_elsewhere(&selected.service, &selected.id)
    }

    /// Records that another entry could not connect to an endpoint either, and ejects it.
    pub(in crate::gateway) fn record_unreachable_elsewhere(
        &mut self,
        selected: &SelectedEndpoint,
        now: Millis,
    ) -> Option<ReachChange> {
        let (service, id) = (&selected.service, &selected.id);
        self.health(service).record_unreachable(id, now);
        let count = self.count_accepting(service);
        self.reach.record_failed_elsewhere(service, id, count, now)
    }

    /// Makes use of other entries to get to endpoints that this entry does not reach.
    pub(in crate::gateway) const fn enable_hops(&mut self) {
        self.has_hops = true;
    }

    /// Returns the way to an endpoint.
    pub(in crate::gateway) fn path(&self, selected: &SelectedEndpoint) -> Path {
        if self.has_hops {
            self.reach.path(&selected.service, &selected.id)
        } else {
            Path::Direct
        }
    }

    /// Returns whether this entry takes itself for cut off from a service.
    pub(in crate::gateway) fn is_cut_off_from(&self, service: &ServiceId) -> bool {
        self.has_hops && self.reach.is_cut_off_from(service)
    }

    /// Returns whether this entry is cut off from all services that it uses.
    pub(in crate::gateway) fn is_cut_off(&self) -> bool {
        self.has_hops && self.reach.is_cut_off()
    }

    /// Returns an endpoint for a request of another entry, if it accepts requests, is not evacuated, wants
    /// no pause from this entry and is not out of its reach.
    pub(in crate::gateway) fn find_direct(
        &self,
        id: &EndpointId,
        incarnation: Incarnation,
        now: Millis,
    ) -> Option<SelectedEndpoint> {
        let endpoint = self.directory.get(id)?;
        let is_usable = endpoint.incarnation == incarnation
            && !endpoint.leaving
            && !self.is_evacuated(endpoint)
            && self.pauses.remaining(id, incarnation, now).is_none();
        let selected = SelectedEndpoint::new(endpoint).filter(|_| is_usable)?;
        (self.path(&selected) == Path::Direct).then_some(selected)
    }

    /// Returns the endpoints that requests get to only through other entries; those that are evacuated are
    /// left out, as they are not probed.
    pub(in crate::gateway) fn indirect_endpoints(&self) -> Vec<SelectedEndpoint> {
        let accepting = self.directory.accepting();
        let accepting = accepting.filter(|endpoint| !self.is_evacuated(endpoint));
        let selected = accepting.filter_map(SelectedEndpoint::new);
        selected
            .filter(|selected| self.path(selected) == Path::Indirect)
            .collect()
    }

    /// Returns the number of endpoints to which the last connection failed.
    pub(in crate::gateway) fn unreachable_count(&self) -> usize {
        self.reach.unreachable_count()
    }

    fn count_accepting(&self, service: &ServiceId) -> usize {
        let accepting = self.directory.accepting();
        accepting.filter(|e| e.runs(service)).count()
    }
}

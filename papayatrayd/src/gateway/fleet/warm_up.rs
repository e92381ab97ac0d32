//! Endpoints in their warm-up, and the bounds on requests to them.

use std::collections::BTreeMap;

use papayatray_core::clock::Millis;
use papayatray_core::directory::Endpoint;
use papayatray_core::gateway::entry_roster::EntryShare;
use papayatray_core::gateway::warm_up::ColdRule;
use papayatray_core::id::EndpointId;
use papayatray_core::id::ServiceId;

use super::Fleet;
use super::SelectedEndpoint;

/// # Shares of bounds
impl Fleet {
    /// Sets this entry's share of rate limits and of the rates of cold endpoints.
    pub(in crate::gateway) fn set_share(&mut self, share: EntryShare, now: Millis) {
        self.rate_limits.set_share(share, now);
        self.warm_ups.set_share(share, now);
    }

    /// Sets the difference between the leader's wall clock and this process's monotonic clock.
    pub(in crate::gateway) fn set_wall_offset(&mut self, offset: Millis, now: Millis) {
        self.rate_limits.set_wall_offset(offset, now);
        self.warm_ups.set_wall_offset(offset, now);
    }
}

/// # Warm-up
impl Fleet {
    /// Sets the rules of the plan in force for cold endpoints.
    pub(in crate::gateway) fn set_cold_rules(
        &mut self,
        rules: BTreeMap<ServiceId, ColdRule>,
        now: Millis,
    ) {
        if self.warm_ups.set_rules(rules) {
            for endpoint in self.directory.all() {
                self.warm_ups.track(endpoint, now);
            }
        }
    }

    /// Returns the endpoints that became cold or warm since the last call, with the remaining
    /// warm-up.
    pub(in crate::gateway) fn take_warm_up_changes(&mut self) -> Vec<(EndpointId, Millis)> {
        std::mem::take(&mut self.warm_up_changes)
    }

    /// Applies an announcement to the bounds; the prefixes of an endpoint that became cold are
    /// forgotten.
    pub(super) fn track_warm_up(&mut self, endpoint: &Endpoint, was_cold: bool, now: Millis) {
        self.warm_ups.track(endpoint, now);
        let is_cold = endpoint.warm_up_left > Millis::ZERO;
        if is_cold == was_cold || !self.warm_ups.is_bounded(endpoint) {
            return;
        }
        if is_cold {
            self.cached_prefixes.forget(&endpoint.id);
        }
        let change = (endpoint.id.clone(), endpoint.warm_up_left);
        self.warm_up_changes.push(change);
    }

    /// Records the remaining warm-up that an endpoint stated in a response.
    pub(in crate::gateway) fn record_warm_up(
        &mut self,
        selected: &SelectedEndpoint,
        left: Millis,
        now: Millis,
    ) {
        let (id, incarnation) = (&selected.id, selected.incarnation);
        self.warm_ups.record_statement(id, incarnation, left, now);
    }

    /// Records that a connection to an endpoint was lost during a request.
    pub(in crate::gateway) fn record_lost_connection(
        &mut self,
        selected: &SelectedEndpoint,
        now: Millis,
    ) {
        let SelectedEndpoint {
            id,
            incarnation,
            service,
            ..
        } = selected;
        self.warm_ups.record_lost(id, service, *incarnation, now);
    }

    /// Returns the number of endpoints that count as cold and whose requests are bounded.
    pub(in crate::gateway) fn cold_count(&self, now: Millis) -> usize {
        let accepting = self.directory.accepting();
        accepting.filter(|e| self.is_cold(e, now)).count()
    }

    fn is_cold(&self, endpoint: &Endpoint, now: Millis) -> bool {
        let last_heard = self.directory.last_heard(&endpoint.id).unwrap_or_default();
        self.warm_ups.is_cold(endpoint, last_heard, now)
    }

    /// Returns whether an endpoint is slow because of its warm-up.
    pub(super) fn is_starting(&self, endpoint: &Endpoint, now: Millis) -> bool {
        if self.warm_ups.is_bounded(endpoint) {
            return self.is_cold(endpoint, now);
        }
        let last_heard = self.directory.last_heard(&endpoint.id).unwrap_or_default();
        endpoint.warm_up_left > now.since(last_heard)
    }

    /// Returns the time until an endpoint may get a request from this entry, or `None` if it may
    /// now or does not count as cold.
    pub(super) fn warm_up_wait(&self, endpoint: &Endpoint, now: Millis) -> Option<Millis> {
        let remaining = || {
            self.warm_ups
                .remaining(&endpoint.id, endpoint.incarnation, now)
        };
        self.is_cold(endpoint, now).then(remaining).flatten()
    }

    /// Uses the time slot of a request to an endpoint that counts as cold.
    pub(super) fn use_warm_up_slot(&mut self, selected: &SelectedEndpoint, now: Millis) {
        let endpoint = self.directory.get(&selected.id);
        if endpoint.is_some_and(|endpoint| self.is_cold(endpoint, now)) {
            let (id, incarnation) = (&selected.id, selected.incarnation);
            self.warm_ups.take(id, incarnation, now);
        }
    }
}

//! Endpoints to which this entry can open connections.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::ReachChange;
use papayatray_core::id::ServiceId;

use super::Fleet;
use super::SelectedEndpoint;

/// # Reach
impl Fleet {
    /// Records that a connection to an endpoint was opened.
    pub(in crate::gateway) fn record_opened(
        &mut self,
        selected: &SelectedEndpoint,
    ) -> Option<ReachChange> {
        let count = self.count_accepting(&selected.service);
        self.reach
            .record_opened(&selected.service, &selected.id, count)
    }

    /// Records that no connection to an endpoint could be opened, and ejects it.
    pub(in crate::gateway) fn record_unreachable(
        &mut self,
        selected: &SelectedEndpoint,
        now: Millis,
    ) -> Option<ReachChange> {
        self.health(&selected.service)
            .record_unreachable(&selected.id, now);
        let count = self.count_accepting(&selected.service);
        self.reach
            .record_failed(&selected.service, &selected.id, count, now)
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

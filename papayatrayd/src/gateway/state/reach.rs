//! Which endpoints this entry can open connections to.

use papayatray_core::gateway::reach::ReachChange;

use super::Gateway;
use crate::gateway::connection_pool::ExchangeError;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// # Reach
impl Gateway {
    /// Records that a connection to an endpoint was opened.
    pub(in crate::gateway) fn record_opened(&self, endpoint: &SelectedEndpoint) {
        let change = self.fleet().record_opened(endpoint);
        self.log_reach(endpoint, change);
    }

    /// Records that no connection to an endpoint could be opened, and closes the pooled ones.
    pub(in crate::gateway) fn record_unreachable(
        &self,
        endpoint: &SelectedEndpoint,
        error: &ExchangeError,
    ) {
        self.connections.close_idle(&endpoint.id);
        self.metrics.count_event("endpoint_unreachable");
        event(
            Level::Info,
            "endpoint_unreachable",
            &[("endpoint", &endpoint.id), ("error", error)],
        );
        let change = self.fleet().record_unreachable(endpoint, self.clock.now());
        self.log_reach(endpoint, change);
    }

    fn log_reach(&self, endpoint: &SelectedEndpoint, change: Option<ReachChange>) {
        let Some(change) = change else {
            return;
        };
        let name = match change {
            ReachChange::CutOff => "cut_off",
            ReachChange::Confirmed => "confirmed",
            ReachChange::Refuted => "refuted",
            ReachChange::Restored => "restored",
        };
        self.metrics.count_event(name);
        let unreachable = self.fleet().unreachable_count();
        event(
            Level::Warn,
            "reach_changed",
            &[
                ("service", &endpoint.service),
                ("change", &name),
                ("endpoint", &endpoint.id),
                ("unreachable", &unreachable),
            ],
        );
    }
}

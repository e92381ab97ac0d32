//! Which endpoints this entry can open connections to.

use std::sync::Arc;

use http::HeaderMap;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::reach::ReachChange;
use smol::Timer;

use super::Gateway;
use crate::gateway::connection_pool::ExchangeError;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// Interval of the probes that find out whether an entry reaches endpoints again: service returns to
/// direct connections within a second of the end of a cut.
const REACH_INTERVAL: Millis = Millis::new(250);
/// Endpoints to which connections are opened at once to find out whether a cut is over: enough to meet
/// two in a row soon after its end, and few while it lasts.
const MAX_PROBES: usize = 3;

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
        let is_known = self.fleet().path(endpoint) == Path::Indirect;
        event(
            if is_known { Level::Debug } else { Level::Info },
            "endpoint_unreachable",
            &[("endpoint", &endpoint.id), ("error", error)],
        );
        let change = self.fleet().record_unreachable(endpoint, self.clock.now());
        self.log_reach(endpoint, change);
    }

    /// Records that an endpoint answered through another entry.
    pub(in crate::gateway) fn record_answered_elsewhere(&self, endpoint: &SelectedEndpoint) {
        let change = self.fleet().record_answered_elsewhere(endpoint);
        self.log_reach(endpoint, change);
    }

    /// Records that another entry could not connect to an endpoint either.
    pub(in crate::gateway) fn record_unreachable_elsewhere(&self, endpoint: &SelectedEndpoint) {
        let now = self.clock.now();
        let change = self.fleet().record_unreachable_elsewhere(endpoint, now);
        self.log_reach(endpoint, change);
    }

    /// Finds out, until the process ends, when endpoints are within reach again that requests get to only
    /// through other entries.
    pub async fn watch_reach(self: Arc<Self>) {
        loop {
            Timer::after(REACH_INTERVAL.to_duration()).await;
            self.probe_reach();
        }
    }

    /// Opens connections to some of the endpoints that requests get to only through other entries.
    fn probe_reach(self: &Arc<Self>) {
        let mut endpoints = self.fleet().indirect_endpoints();
        for _ in 0..MAX_PROBES.min(endpoints.len()) {
            let endpoint = endpoints.swap_remove(rand::random_range(0..endpoints.len()));
            let gateway = Arc::clone(self);
            self.tasks.spawn(async move {
                match gateway.connections.open(&endpoint).await {
                    Ok(connection) => {
                        gateway.record_opened(&endpoint);
                        let now = gateway.clock.now();
                        gateway.connections.put(connection, &HeaderMap::new(), now);
                    }
                    Err(error) => gateway.record_unreachable(&endpoint, &error),
                }
            });
        }
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
        // Other entries must hear of it, so that they do not send through this one.
        self.sync_needed.notify(usize::MAX);
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

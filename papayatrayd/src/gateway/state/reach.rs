//! Which endpoints this entry can open connections to.

use std::sync::Arc;

use http::HeaderMap;
use papayatray_core::clock::Millis;
use papayatray_core::gateway::reach::Path;
use papayatray_core::gateway::reach::ReachChange;
use smol::Timer;

use super::Gateway;
use crate::gateway::connection_pool::EndpointConnection;
use crate::gateway::connection_pool::ExchangeError;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// Interval of the probes that find out whether an entry reaches endpoints again: service returns to
/// direct connections within a second of the end of a cut.
const REACH_INTERVAL: Millis = Millis::new(250);
/// Endpoints that are probed at the same time: enough to meet two in a row soon after the end of a cut, and
/// few while it lasts.
const MAX_PROBES: usize = 3;

/// # Reach
impl Gateway {
    /// Records that a connection to an endpoint was opened.
    fn record_opened(&self, endpoint: &SelectedEndpoint) {
        let change = self.fleet().record_opened(endpoint, self.clock.now());
        self.log_reach(endpoint, change);
    }

    /// Opens a connection to an endpoint, and records whether that succeeded.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Unreachable`] if the connection is refused or not established in time,
    /// and [`ExchangeError::NotSent`] if it cannot be used.
    pub(in crate::gateway) async fn connect(
        &self,
        endpoint: &SelectedEndpoint,
    ) -> Result<EndpointConnection, ExchangeError> {
        let started_at = self.clock.now();
        let path = self.fleet().path(endpoint);
        let opened = self.connections.open(endpoint).await;
        match &opened {
            Ok(_) => self.record_opened(endpoint),
            Err(error) => self.record_unreachable(endpoint, error, path, started_at),
        }
        opened
    }

    /// Records that no connection to an endpoint could be opened, and closes the pooled ones.
    fn record_unreachable(
        &self,
        endpoint: &SelectedEndpoint,
        error: &ExchangeError,
        path: Path,
        started_at: Millis,
    ) {
        self.connections.close_idle(&endpoint.id);
        self.metrics.count_event("endpoint_unreachable");
        let level = match path {
            Path::Direct => Level::Info,
            Path::Indirect => Level::Debug,
        };
        event(
            level,
            "endpoint_unreachable",
            &[("endpoint", &endpoint.id), ("error", error)],
        );
        let change = self
            .fleet()
            .record_unreachable(endpoint, path, started_at, self.clock.now());
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

    /// Opens connections to some of the endpoints that requests get to only through other entries; where
    /// one is opened, goes on with the next endpoint.
    fn probe_reach(self: &Arc<Self>) {
        for _ in 0..MAX_PROBES {
            let Some(first) = self.random_indirect() else {
                return;
            };
            let gateway = Arc::clone(self);
            self.tasks.spawn(async move {
                let mut next = Some(first);
                while let Some(endpoint) = next {
                    let Ok(connection) = gateway.connect(&endpoint).await else {
                        // The failure has been recorded.
                        return;
                    };
                    let now = gateway.clock.now();
                    gateway.connections.put(connection, &HeaderMap::new(), now);
                    next = gateway.random_indirect();
                }
            });
        }
    }

    /// Returns one of the endpoints that requests get to only through other entries.
    fn random_indirect(&self) -> Option<SelectedEndpoint> {
        let mut endpoints = self.fleet().indirect_endpoints();
        if endpoints.is_empty() {
            return None;
        }
        Some(endpoints.swap_remove(rand::random_range(0..endpoints.len())))
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

//! What endpoints state about themselves in their responses.

use papayatray_core::clock::Millis;
use papayatray_core::gateway::rate_limits::RateStatement;
use papayatray_core::gateway::rate_limits::RequestRate;
use papayatray_core::gateway::updates::UpdateBatch;

use super::Gateway;
use crate::gateway::dialect::ResponseMetadata;
use crate::gateway::dialect::StatedRate;
use crate::gateway::fleet::SelectedEndpoint;
use crate::observe::Level;
use crate::observe::event;

/// # Statements of endpoints
impl Gateway {
    /// Records what an endpoint states about itself in the head of the response to `request`, which
    /// was sent at `sent_at`: that it is leaving, wants no requests for a time, or how many a second
    /// it takes.
    pub(in crate::gateway) fn record_statements(
        &self,
        endpoint: &SelectedEndpoint,
        metadata: &ResponseMetadata,
        request: &str,
        sent_at: Millis,
    ) {
        if metadata.is_leaving && self.fleet().record_departure(endpoint) {
            self.connections.close_idle(&endpoint.id);
            self.metrics.count_event("endpoint_leaving");
            event(
                Level::Info,
                "endpoint_leaving",
                &[
                    ("endpoint", &endpoint.id),
                    ("incarnation", &endpoint.incarnation),
                ],
            );
        }
        if let Some(pause) = metadata.pause {
            let now = self.clock.now();
            self.fleet().record_pause(endpoint, pause, now);
            self.metrics.count_event("endpoint_paused");
            event(
                Level::Info,
                "endpoint_paused",
                &[("endpoint", &endpoint.id), ("pause_ms", &pause.as_u64())],
            );
        }
        if let Some(left) = metadata.warm_up_left {
            let now = self.clock.now();
            self.fleet().record_warm_up(endpoint, left, now);
        }
        // Rejections, and late responses to earlier requests, do not say that a limit ended.
        let is_own = metadata.has_run && metadata.request_id.as_deref() == Some(request);
        match metadata.rate_limit {
            StatedRate::Limit(rate) => self.record_rate_limit(endpoint, rate),
            StatedRate::Absent if is_own => self.lift_rate_limit(endpoint, sent_at),
            StatedRate::Absent | StatedRate::Unreadable => {}
        }
    }

    fn record_rate_limit(&self, endpoint: &SelectedEndpoint, rate: RequestRate) {
        let now = self.clock.now();
        if self.fleet().record_rate_limit(endpoint, rate, now) {
            self.metrics.count_event("endpoint_limited");
            event(
                Level::Info,
                "endpoint_limited",
                &[
                    ("endpoint", &endpoint.id),
                    ("incarnation", &endpoint.incarnation),
                    ("rate", &rate),
                ],
            );
        }
    }

    fn lift_rate_limit(&self, endpoint: &SelectedEndpoint, sent_at: Millis) {
        let now = self.clock.now();
        if self.fleet().lift_rate_limit(endpoint, sent_at, now) {
            self.metrics.count_event("endpoint_unlimited");
            event(
                Level::Info,
                "endpoint_unlimited",
                &[("endpoint", &endpoint.id)],
            );
        }
    }

    /// Puts the rules of the plan in force for cold endpoints into effect.
    pub(super) fn apply_cold_rules(&self, now: Millis) {
        let Some(table) = self.route_table() else {
            return;
        };
        let services = table.services().iter();
        let rules = services.filter_map(|(id, service)| Some((id.clone(), service.cold?)));
        self.fleet().set_cold_rules(rules.collect(), now);
    }

    /// Logs the endpoints that became cold or warm, and counts them.
    pub(super) fn log_warm_ups(&self) {
        let changes = self.fleet().take_warm_up_changes();
        for (endpoint, left) in changes {
            if left > Millis::ZERO {
                self.metrics.count_event("endpoint_cold");
                let left_ms = left.as_u64();
                event(
                    Level::Info,
                    "endpoint_cold",
                    &[("endpoint", &endpoint), ("left_ms", &left_ms)],
                );
            } else {
                self.metrics.count_event("endpoint_warm");
                event(Level::Info, "endpoint_warm", &[("endpoint", &endpoint)]);
            }
        }
    }

    /// Records the rate limits that endpoints stated to other entries.
    pub(super) fn learn_rate_limits(&self, statements: &[RateStatement]) {
        let now = self.clock.now();
        for statement in statements {
            if self.fleet().rate_limits().learn(statement, now) {
                let rate = statement
                    .rate
                    .map_or_else(|| "none".to_owned(), |rate| rate.to_string());
                event(
                    Level::Info,
                    "rate_limit_learned",
                    &[
                        ("endpoint", &statement.endpoint),
                        ("incarnation", &statement.incarnation),
                        ("rate", &rate),
                    ],
                );
            }
        }
    }

    /// Returns the changes of rate limits that endpoints stated to this entry, after statement
    /// number `number`.
    pub fn rate_statements_since(&self, number: u64) -> UpdateBatch<RateStatement> {
        self.fleet().rate_statements_since(number)
    }
}
